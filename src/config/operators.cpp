// The operators' own settings: HCL blocks, read by libconfuse.
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

// The option of every section that keeps the parser's message, since its callback gets nothing but the
// section.
constexpr const char* kMessageOption = "__complaint";

struct CfgDeleter {
  void operator()(cfg_t* cfg) const { cfg_free(cfg); }
};

// A number of the block `sizing`: its range and the member that takes it, which is either real or whole.
struct SizingNumber {
  const char* name;
  double min;
  double max;
  double OperatorSettings::*real;
  int OperatorSettings::*whole;
};

constexpr SizingNumber kSizingNumbers[] = {
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

// The option's text, or nothing if the file doesn't set it.
std::optional<std::string> textOf(cfg_t* section, const char* name) {
  cfg_opt_t* option = cfg_getopt(section, name);
  if (option == nullptr || cfg_opt_size(option) == 0) return std::nullopt;
  return cfg_opt_getnstr(option, 0);
}

// Numbers are read as text, so that 30, 30.5 and "30" are all told apart from what is no number.
std::optional<FieldError> readNumber(const std::string& path, const std::string& text, double min, double max,
                                     double& out) {
  char* end = nullptr;
  const double number = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(number >= min) || !(number <= max)) {
    std::ostringstream reason;
    reason << "must be a number from " << min << " to " << max;
    return FieldError{path, reason.str()};
  }
  out = number;
  return std::nullopt;
}

std::optional<FieldError> readSizingNumber(cfg_t* section, const SizingNumber& known, OperatorSettings& out) {
  const auto text = textOf(section, known.name);
  if (!text) return std::nullopt;
  const std::string path = std::string("sizing.") + known.name;
  double number = 0;
  if (auto error = readNumber(path, *text, known.min, known.max, number)) return error;
  if (known.real != nullptr) {
    out.*known.real = number;
  } else if (number != std::floor(number)) {
    return FieldError{path, "must be a whole number"};
  } else {
    out.*known.whole = static_cast<int>(number);
  }
  return std::nullopt;
}

std::optional<FieldError> readSizing(cfg_t* section, OperatorSettings& out) {
  for (const SizingNumber& known : kSizingNumbers)
    if (auto error = readSizingNumber(section, known, out)) return error;
  return std::nullopt;
}

std::optional<FieldError> readShareNumber(cfg_t* section, const char* name, double min, double max,
                                          double& out) {
  const auto text = textOf(section, name);
  return text ? readNumber(std::string("shares.") + name, *text, min, max, out) : std::nullopt;
}

std::optional<FieldError> readGeneration(cfg_t* section, std::uint64_t& out) {
  constexpr double kMaxGeneration = 1e15;  // whole numbers are exact up to here
  auto generation = static_cast<double>(out);
  if (auto error = readShareNumber(section, "generation", 1, kMaxGeneration, generation)) return error;
  if (generation != std::floor(generation)) return FieldError{"shares.generation", "must be a whole number"};
  out = static_cast<std::uint64_t>(generation);
  return std::nullopt;
}

std::optional<FieldError> readGroup(cfg_t* section, ShareWeight& out) {
  out.group = cfg_title(section);
  const std::string path = "shares.group " + out.group + " weight";
  const auto weight = textOf(section, "weight");
  if (!weight) return FieldError{path, "is missing"};
  return readNumber(path, *weight, 0, constants::kMaxShareWeight, out.weight);
}

std::optional<FieldError> readShares(cfg_t* section, ShareSettings& out) {
  constexpr double kMinReclaimStep = 0.001;
  out.enabled = true;
  if (auto error = readGeneration(section, out.generation)) return error;
  if (auto error = readShareNumber(section, "others", 0, constants::kMaxShareWeight, out.othersWeight))
    return error;
  if (auto error = readShareNumber(section, "reclaim_step", kMinReclaimStep, 1, out.reclaimStep))
    return error;
  for (unsigned i = 0; i < cfg_size(section, "group"); ++i) {
    ShareWeight group;
    if (auto error = readGroup(cfg_getnsec(section, "group", i), group)) return error;
    out.groups.push_back(std::move(group));
  }
  return std::nullopt;
}

// The parser's error callback: keeps its first message, on one line, in the section's own message option.
void keepMessage(cfg_t* section, const char* format, va_list arguments) {
  std::array<char, 256> line{};
  std::vsnprintf(line.data(), line.size(), format, arguments);
  cfg_opt_t* option = cfg_getopt(section, kMessageOption);
  if (option == nullptr || cfg_opt_size(option) != 0) return;
  cfg_opt_setnstr(option, ("line " + std::to_string(section->line) + ": " + line.data()).c_str(), 0);
}

std::optional<std::string> messageOf(cfg_t* section) { return textOf(section, kMessageOption); }

// The first message that the parser has left in any of the sections.
std::optional<std::string> anyMessage(cfg_t* cfg) {
  if (auto found = messageOf(cfg)) return found;
  if (cfg_t* sizing = cfg_getsec(cfg, "sizing"); sizing != nullptr)
    if (auto found = messageOf(sizing)) return found;
  cfg_t* shares = cfg_getsec(cfg, "shares");
  if (shares == nullptr) return std::nullopt;
  if (auto found = messageOf(shares)) return found;
  for (unsigned i = 0; i < cfg_size(shares, "group"); ++i)
    if (auto found = messageOf(cfg_getnsec(shares, "group", i))) return found;
  return std::nullopt;
}

using Options = std::vector<cfg_opt_t>;
using Config = std::unique_ptr<cfg_t, CfgDeleter>;

// Text options without defaults, so that an option is set only if the file sets it.
Options textOptions(const std::vector<const char*>& names) {
  Options out;
  for (const char* name : names) out.push_back(CFG_STR(name, nullptr, CFGF_NODEFAULT));
  return out;
}

// Adds the message option and the end mark that libconfuse wants.
Options finished(Options options) {
  options.push_back(CFG_STR(kMessageOption, nullptr, CFGF_NODEFAULT));
  options.push_back(CFG_END());
  return options;
}

Options sizingOptions() {
  std::vector<const char*> names;
  for (const SizingNumber& known : kSizingNumbers) names.push_back(known.name);
  return finished(textOptions(names));
}

// An empty configuration with the blocks that operators may write. libconfuse copies the options.
Config makeConfig() {
  Options sizing = sizingOptions();
  Options group = finished(textOptions({"weight"}));
  Options shares = textOptions({"generation", "others", "reclaim_step"});
  shares.push_back(CFG_SEC("group", group.data(), CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES));
  shares = finished(std::move(shares));
  // Without a default, a section is there only if the file has it.
  Options top = finished(
      {CFG_SEC("sizing", sizing.data(), CFGF_NONE), CFG_SEC("shares", shares.data(), CFGF_NODEFAULT)});
  return Config(cfg_init(top.data(), CFGF_NONE));
}

}  // namespace

std::optional<FieldError> parseOperators(const std::string& text, Settings& out) {
  const Config config = makeConfig();
  cfg_set_error_function(config.get(), keepMessage);
  if (cfg_parse_buf(config.get(), text.c_str()) != CFG_SUCCESS)
    return FieldError{"operators' file", anyMessage(config.get()).value_or("cannot be parsed")};
  if (cfg_t* section = cfg_getsec(config.get(), "sizing"); section != nullptr)
    if (auto error = readSizing(section, out.operators)) return error;
  if (cfg_t* section = cfg_getsec(config.get(), "shares"); section != nullptr)
    return readShares(section, out.operators.shares);
  return std::nullopt;
}

std::optional<FieldError> loadOperators(const std::string& path, Settings& out) {
  const auto text = readFile(path);
  if (!text) return FieldError{path, "cannot be read"};
  return parseOperators(*text, out);
}

}  // namespace reachhoist::config
