// Reads a settings file as a whole.
#pragma once

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace reachhoist::config {

// The contents of the file; nothing if it can't be read.
inline std::optional<std::string> readFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace reachhoist::config
