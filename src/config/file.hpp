// Reading a settings file as a whole.
#pragma once

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace reachhoist::config {

inline std::optional<std::string> readFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace reachhoist::config
