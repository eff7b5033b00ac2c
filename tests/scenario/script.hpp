// A scenario's text: lines of words, some of them options.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace scenario {

struct Line {
  int number = 0;
  std::vector<std::string> words;
};

// name=value words of a line; a bare word counts as a flag.
class Options {
 public:
  explicit Options(const std::vector<std::string>& words, std::size_t from) {
    for (std::size_t i = from; i < words.size(); ++i) {
      const auto equals = words[i].find('=');
      if (equals == std::string::npos) {
        values_[words[i]] = "";
      } else {
        values_[words[i].substr(0, equals)] = words[i].substr(equals + 1);
      }
    }
  }
  bool has(const std::string& key) const { return values_.contains(key); }
  std::string text(const std::string& key, const std::string& otherwise) const {
    const auto found = values_.find(key);
    return found == values_.end() ? otherwise : found->second;
  }
  double number(const std::string& key, double otherwise) const {
    const auto found = values_.find(key);
    return found == values_.end() ? otherwise : std::stod(found->second);
  }

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace scenario
