// Reads the operators' file, which consists of HCL blocks, with libconfuse.
#include <confuse.h>

#include <array>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <sstream>

#include "config/read_file.hpp"
#include "config/settings.hpp"

namespace reachhoist::config {

namespace {

// An option of every section that stores the parser's error message. libconfuse passes only the section to
// the error callback, so the message is stored there.
constexpr const char* kMessageOption = "__complaint";

struct CfgDeleter {
  void operator()(cfg_t* cfg) const { cfg_free(cfg); }
};

// A number of the block `sizing` with its range and the member that stores it. Either `realMember` or
// `wholeMember` is set.
struct SizingOption {
  const char* name;
  double min;
  double max;
  double OperatorSettings::*realMember;
  int OperatorSettings::*wholeMember;
};

constexpr SizingOption kSizingOptions[] = {
    {"round_s", 5, 3600, &OperatorSettings::sizingRoundS, nullptr},
    {"scale_up_cooldown_s", 0, 3600, &OperatorSettings::scaleUpCooldownS, nullptr},
    {"scale_down_cooldown_s", 0, 3600, &OperatorSettings::scaleDownCooldownS, nullptr},
    {"step_divisor", 1, 1000, nullptr, &OperatorSettings::stepDivisor},
    {"probe_chance", 0, 1, &OperatorSettings::probeChance, nullptr},
    {"probe_decay", 0, 1, &OperatorSettings::probeDecay, nullptr},
    {"probe_floor", 0, 1, &OperatorSettings::probeFloor, nullptr},
    {"episodes", 1, 100, nullptr, &OperatorSettings::episodes},
    {"spare_share", 0, 2, &OperatorSettings::headroomShare, nullptr},
    {"reserve_share", 0, 2, &OperatorSettings::reserveShare, nullptr},
    {"idle_return_s", 5, 3600, &OperatorSettings::idleScaleInS, nullptr},
};

// Returns the text of the option, or nothing if the file does not set it.
std::optional<std::string> optionText(cfg_t* section, const char* name) {
  cfg_opt_t* option = cfg_getopt(section, name);
  if (option == nullptr || cfg_opt_size(option) == 0) return std::nullopt;
  return cfg_opt_getnstr(option, 0);
}

// Numbers are read as text: 30, 30.5 and "30" are all valid, and anything that is not a number is rejected.
std::optional<FieldError> readNumber(const std::string& path, const std::string& text, double min, double max,
                                     double& target) {
  char* end = nullptr;
  const double number = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(number >= min) || !(number <= max)) {
    std::ostringstream reason;
    reason << "must be a number from " << min << " to " << max;
    return FieldError{path, reason.str()};
  }
  target = number;
  return std::nullopt;
}

std::optional<FieldError> readSizingOption(cfg_t* section, const SizingOption& option,
                                           OperatorSettings& settings) {
  const auto text = optionText(section, option.name);
  if (!text) return std::nullopt;
  const std::string path = std::string("sizing.") + option.name;
  double number = 0;
  if (auto error = readNumber(path, *text, option.min, option.max, number)) return error;
  if (option.realMember != nullptr) {
    settings.*option.realMember = number;
  } else if (number != std::floor(number)) {
    return FieldError{path, "must be a whole number"};
  } else {
    settings.*option.wholeMember = static_cast<int>(number);
  }
  return std::nullopt;
}

std::optional<FieldError> readSizing(cfg_t* section, OperatorSettings& settings) {
  for (const SizingOption& option : kSizingOptions)
    if (auto error = readSizingOption(section, option, settings)) return error;
  return std::nullopt;
}

std::optional<FieldError> readShareNumber(cfg_t* section, const char* name, double min, double max,
                                          double& target) {
  const auto text = optionText(section, name);
  return text ? readNumber(std::string("shares.") + name, *text, min, max, target) : std::nullopt;
}

std::optional<FieldError> readGeneration(cfg_t* section, std::uint64_t& target) {
  constexpr double kMaxGeneration = 1e15;  // A double represents every whole number up to here exactly.
  auto generation = static_cast<double>(target);
  if (auto error = readShareNumber(section, "generation", 1, kMaxGeneration, generation)) return error;
  if (generation != std::floor(generation)) return FieldError{"shares.generation", "must be a whole number"};
  target = static_cast<std::uint64_t>(generation);
  return std::nullopt;
}

std::optional<FieldError> readGroup(cfg_t* section, ShareWeight& group) {
  group.group = cfg_title(section);
  const std::string path = "shares.group " + group.group + " weight";
  const auto weight = optionText(section, "weight");
  if (!weight) return FieldError{path, "is missing; the group needs a weight"};
  return readNumber(path, *weight, 0, constants::kMaxShareWeight, group.weight);
}

std::optional<FieldError> readShares(cfg_t* section, ShareSettings& shares) {
  constexpr double kMinReclaimStep = 0.001;
  shares.enabled = true;
  if (auto error = readGeneration(section, shares.generation)) return error;
  if (auto error = readShareNumber(section, "others", 0, constants::kMaxShareWeight, shares.othersWeight))
    return error;
  if (auto error = readShareNumber(section, "reclaim_step", kMinReclaimStep, 1, shares.reclaimStep))
    return error;
  for (unsigned i = 0; i < cfg_size(section, "group"); ++i) {
    ShareWeight group;
    if (auto error = readGroup(cfg_getnsec(section, "group", i), group)) return error;
    shares.groups.push_back(std::move(group));
  }
  return std::nullopt;
}

// The error callback of the parser. It stores the first message, as one line, in the message option of the
// section.
void storeParserMessage(cfg_t* section, const char* format, va_list arguments) {
  std::array<char, 256> message{};
  std::vsnprintf(message.data(), message.size(), format, arguments);
  cfg_opt_t* option = cfg_getopt(section, kMessageOption);
  if (option == nullptr || cfg_opt_size(option) != 0) return;
  cfg_opt_setnstr(option, ("line " + std::to_string(section->line) + ": " + message.data()).c_str(), 0);
}

std::optional<std::string> parserMessage(cfg_t* section) { return optionText(section, kMessageOption); }

// Returns the first message that the parser stored in any of the sections.
std::optional<std::string> firstParserMessage(cfg_t* cfg) {
  if (auto found = parserMessage(cfg)) return found;
  if (cfg_t* sizing = cfg_getsec(cfg, "sizing"); sizing != nullptr)
    if (auto found = parserMessage(sizing)) return found;
  cfg_t* shares = cfg_getsec(cfg, "shares");
  if (shares == nullptr) return std::nullopt;
  if (auto found = parserMessage(shares)) return found;
  for (unsigned i = 0; i < cfg_size(shares, "group"); ++i)
    if (auto found = parserMessage(cfg_getnsec(shares, "group", i))) return found;
  return std::nullopt;
}

using Options = std::vector<cfg_opt_t>;
using Config = std::unique_ptr<cfg_t, CfgDeleter>;

// Returns text options without defaults, so that an option is set only if the file sets it.
Options textOptions(const std::vector<const char*>& names) {
  Options options;
  for (const char* name : names) options.push_back(CFG_STR(name, nullptr, CFGF_NODEFAULT));
  return options;
}

// Adds the message option and the end marker that libconfuse requires.
Options terminated(Options options) {
  options.push_back(CFG_STR(kMessageOption, nullptr, CFGF_NODEFAULT));
  options.push_back(CFG_END());
  return options;
}

Options sizingOptions() {
  std::vector<const char*> names;
  for (const SizingOption& option : kSizingOptions) names.push_back(option.name);
  return terminated(textOptions(names));
}

// Returns an empty configuration that accepts the blocks of the operators' file. libconfuse copies the
// options.
Config makeConfig() {
  Options sizing = sizingOptions();
  Options group = terminated(textOptions({"weight"}));
  Options shares = textOptions({"generation", "others", "reclaim_step"});
  shares.push_back(CFG_SEC("group", group.data(), CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES));
  shares = terminated(std::move(shares));
  // A section without a default exists only if the file contains it.
  Options top = terminated(
      {CFG_SEC("sizing", sizing.data(), CFGF_NONE), CFG_SEC("shares", shares.data(), CFGF_NODEFAULT)});
  return Config(cfg_init(top.data(), CFGF_NONE));
}

}  // namespace

std::optional<FieldError> parseOperators(const std::string& text, Settings& settings) {
  const Config config = makeConfig();
  cfg_set_error_function(config.get(), storeParserMessage);
  if (cfg_parse_buf(config.get(), text.c_str()) != CFG_SUCCESS)
    return FieldError{"operators' file",
                      firstParserMessage(config.get()).value_or("cannot be parsed as HCL blocks")};
  if (cfg_t* section = cfg_getsec(config.get(), "sizing"); section != nullptr)
    if (auto error = readSizing(section, settings.operators)) return error;
  if (cfg_t* section = cfg_getsec(config.get(), "shares"); section != nullptr)
    return readShares(section, settings.operators.shares);
  return std::nullopt;
}

std::optional<FieldError> loadOperators(const std::string& path, Settings& settings) {
  const auto text = readFile(path);
  if (!text) return FieldError{path, "cannot be read"};
  return parseOperators(*text, settings);
}

}  // namespace reachhoist::config
