// The operators' own settings: HCL blocks, read by libconfuse.
#include <confuse.h>

#include <array>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <sstream>

#include "config/file.hpp"
#include "config/settings.hpp"

namespace reachhoist::config {

namespace {

struct CfgFree {
  void operator()(cfg_t* cfg) const { cfg_free(cfg); }
};

struct NumberKey {
  const char* name;
  double least;
  double most;
  double Operators::*real;
  int Operators::*whole;
};

constexpr NumberKey kSizingKeys[] = {
    {"round_s", 5, 3600, &Operators::sizingRoundS, nullptr},
    {"scale_up_cooldown_s", 0, 3600, &Operators::scaleUpCooldownS, nullptr},
    {"scale_down_cooldown_s", 0, 3600, &Operators::scaleDownCooldownS, nullptr},
    {"step_divisor", 1, 1000, nullptr, &Operators::stepDivisor},
    {"probe_chance", 0, 1, &Operators::probeChance, nullptr},
    {"probe_decay", 0, 1, &Operators::probeDecay, nullptr},
    {"probe_floor", 0, 1, &Operators::probeFloor, nullptr},
    {"episodes", 1, 100, nullptr, &Operators::episodes},
    {"spare_share", 0, 2, &Operators::spareShare, nullptr},
    {"reserve_share", 0, 2, &Operators::reserveShare, nullptr},
    {"idle_return_s", 5, 3600, &Operators::idleReturnS, nullptr},
};

// The option's text, or nothing when the file doesn't set it.
std::optional<std::string> textOf(cfg_t* section, const char* name) {
  cfg_opt_t* option = cfg_getopt(section, name);
  if (option == nullptr || cfg_opt_size(option) == 0) return std::nullopt;
  return cfg_opt_getnstr(option, 0);
}

// Numbers are read as text, so that 30, 30.5 and "30" are all told apart from what is no number.
std::optional<Problem> readNumber(const std::string& path, const std::string& text, double least, double most,
                                  double& out) {
  char* end = nullptr;
  const double number = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(number >= least) || !(number <= most)) {
    std::ostringstream reason;
    reason << "must be a number from " << least << " to " << most;
    return Problem{path, reason.str()};
  }
  out = number;
  return std::nullopt;
}

std::optional<Problem> setNumber(cfg_t* section, const NumberKey& known, Operators& out) {
  const auto text = textOf(section, known.name);
  if (!text) return std::nullopt;
  const std::string path = std::string("sizing.") + known.name;
  double number = 0;
  if (auto problem = readNumber(path, *text, known.least, known.most, number)) return problem;
  if (known.real != nullptr) {
    out.*known.real = number;
  } else if (number != std::floor(number)) {
    return Problem{path, "must be a whole number"};
  } else {
    out.*known.whole = static_cast<int>(number);
  }
  return std::nullopt;
}

std::optional<Problem> setShareNumber(cfg_t* section, const char* name, double least, double most,
                                      double& out) {
  const auto text = textOf(section, name);
  return text ? readNumber(std::string("shares.") + name, *text, least, most, out) : std::nullopt;
}

std::optional<Problem> setShares(cfg_t* section, ShareSettings& out) {
  constexpr double kGenerationMost = 1e15;  // whole numbers are exact up to here
  constexpr double kStepLeast = 0.001;
  out.on = true;
  double generation = static_cast<double>(out.generation);
  if (auto problem = setShareNumber(section, "generation", 1, kGenerationMost, generation)) return problem;
  if (generation != std::floor(generation)) return Problem{"shares.generation", "must be a whole number"};
  out.generation = static_cast<std::uint64_t>(generation);
  if (auto problem = setShareNumber(section, "others", 0, constants::kMaxShareWeight, out.othersWeight))
    return problem;
  if (auto problem = setShareNumber(section, "reclaim_step", kStepLeast, 1, out.reclaimStep)) return problem;
  for (unsigned i = 0; i < cfg_size(section, "group"); ++i) {
    cfg_t* group = cfg_getnsec(section, "group", i);
    ShareLine line{cfg_title(group), 0};
    const std::string path = "shares.group " + line.group + " weight";
    const auto weight = textOf(group, "weight");
    if (!weight) return Problem{path, "is missing"};
    if (auto problem = readNumber(path, *weight, 0, constants::kMaxShareWeight, line.weight)) return problem;
    out.groups.push_back(std::move(line));
  }
  return std::nullopt;
}

// The parser's complaint, on one line, kept where its callback can reach it: the settings' own object.
void keepComplaint(cfg_t* cfg, const char* format, va_list arguments) {
  std::array<char, 256> line{};
  std::vsnprintf(line.data(), line.size(), format, arguments);
  // The top-level options hold a place for it, since the callback gets nothing else.
  cfg_t* top = cfg;
  if (cfg_opt_t* place = cfg_getopt(top, "__complaint"); place != nullptr && cfg_opt_size(place) == 0)
    cfg_opt_setnstr(place, ("line " + std::to_string(cfg->line) + ": " + line.data()).c_str(), 0);
}

std::optional<std::string> complaintOf(cfg_t* section) { return textOf(section, "__complaint"); }

// The first complaint that the parser has left in any of the sections.
std::optional<std::string> anyComplaint(cfg_t* cfg) {
  if (auto found = complaintOf(cfg)) return found;
  if (cfg_t* sizing = cfg_getsec(cfg, "sizing"); sizing != nullptr)
    if (auto found = complaintOf(sizing)) return found;
  cfg_t* shares = cfg_getsec(cfg, "shares");
  if (shares == nullptr) return std::nullopt;
  if (auto found = complaintOf(shares)) return found;
  for (unsigned i = 0; i < cfg_size(shares, "group"); ++i)
    if (auto found = complaintOf(cfg_getnsec(shares, "group", i))) return found;
  return std::nullopt;
}

}  // namespace

std::optional<Problem> parseOperators(const std::string& text, Settings& out) {
  std::vector<cfg_opt_t> sizing;
  for (const NumberKey& known : kSizingKeys) sizing.push_back(CFG_STR(known.name, nullptr, CFGF_NODEFAULT));
  sizing.push_back(CFG_STR("__complaint", nullptr, CFGF_NODEFAULT));
  sizing.push_back(CFG_END());
  std::vector<cfg_opt_t> group = {CFG_STR("weight", nullptr, CFGF_NODEFAULT),
                                  CFG_STR("__complaint", nullptr, CFGF_NODEFAULT), CFG_END()};
  std::vector<cfg_opt_t> shares = {
      CFG_STR("generation", nullptr, CFGF_NODEFAULT),
      CFG_STR("others", nullptr, CFGF_NODEFAULT),
      CFG_STR("reclaim_step", nullptr, CFGF_NODEFAULT),
      CFG_SEC("group", group.data(), CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
      CFG_STR("__complaint", nullptr, CFGF_NODEFAULT),
      CFG_END()};
  // Without a default a section is there only if the file has it.
  std::vector<cfg_opt_t> top = {CFG_SEC("sizing", sizing.data(), CFGF_NONE),
                                CFG_SEC("shares", shares.data(), CFGF_NODEFAULT),
                                CFG_STR("__complaint", nullptr, CFGF_NODEFAULT), CFG_END()};
  const std::unique_ptr<cfg_t, CfgFree> cfg(cfg_init(top.data(), CFGF_NONE));
  cfg_set_error_function(cfg.get(), keepComplaint);
  if (cfg_parse_buf(cfg.get(), text.c_str()) != CFG_SUCCESS)
    return Problem{"operators' file", anyComplaint(cfg.get()).value_or("cannot be parsed")};
  if (cfg_t* section = cfg_getsec(cfg.get(), "sizing"); section != nullptr)
    for (const NumberKey& known : kSizingKeys)
      if (auto problem = setNumber(section, known, out.operators)) return problem;
  if (cfg_t* section = cfg_getsec(cfg.get(), "shares"); section != nullptr)
    return setShares(section, out.operators.shares);
  return std::nullopt;
}

std::optional<Problem> loadOperators(const std::string& path, Settings& out) {
  const auto text = readFile(path);
  if (!text) return Problem{path, "cannot be read"};
  return parseOperators(*text, out);
}

}  // namespace reachhoist::config
