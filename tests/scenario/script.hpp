// The lines of a scenario file, split into words and options.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace scenario {

// A line that is not empty, without its comment. Reading a missing word throws std::out_of_range, and reading
// a word that is not a number as one throws std::invalid_argument.
struct Line {
  int lineNumber = 0;
  std::vector<std::string> words;

  const std::string& word(std::size_t index) const { return words.at(index); }
  double real(std::size_t index) const { return std::stod(words.at(index)); }
  int integer(std::size_t index) const { return std::stoi(words.at(index)); }
  std::size_t count(std::size_t index) const { return static_cast<std::size_t>(real(index)); }
};

// The options of a line: its words "name=value" from the given index on. A word without "=" is a flag.
class Options {
 public:
  Options(const Line& line, std::size_t from) {
    for (std::size_t i = from; i < line.words.size(); ++i) {
      const std::string& word = line.words[i];
      const auto equals = word.find('=');
      values_[word.substr(0, equals)] = equals == std::string::npos ? "" : word.substr(equals + 1);
    }
  }
  bool has(const std::string& name) const { return values_.contains(name); }
  std::string string(const std::string& name, const std::string& fallback) const {
    const auto found = values_.find(name);
    return found == values_.end() ? fallback : found->second;
  }
  double real(const std::string& name, double fallback) const {
    const auto found = values_.find(name);
    return found == values_.end() ? fallback : std::stod(found->second);
  }
  template <class Integer>
  Integer count(const std::string& name, Integer fallback) const {
    return static_cast<Integer>(real(name, static_cast<double>(fallback)));
  }

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace scenario
