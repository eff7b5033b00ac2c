// Reads a whole file.
#pragma once

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace reachhoist::config {

// Returns the contents of the file, or nothing if it cannot be read.
inline std::optional<std::string> readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream contents;
  contents << file.rdbuf();
  return contents.str();
}

}  // namespace reachhoist::config
