// reachhoist: runs a controller or checks a settings file.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "config/settings.hpp"
#include "service/runtime.hpp"

namespace {

using reachhoist::config::FieldError;
using reachhoist::config::Settings;
using reachhoist::service::LogLevel;

constexpr const char* kVersion = "reachhoist " REACHHOIST_VERSION;

// Exit statuses of the process.
constexpr int kSuccess = 0;
constexpr int kFailure = 1;
constexpr int kUsageError = 2;

// The command line. A path is empty if its flag is not given.
struct Options {
  std::string platformPath;   // --config
  std::string operatorsPath;  // --operators
  std::string checkPath;      // --check
};

void addOptions(CLI::App& app, Options& options) {
  app.set_version_flag("--version", kVersion);
  auto* config = app.add_option("--config", options.platformPath,
                                "runs a controller with this settings file of the platform (JSON)");
  auto* check = app.add_option("--check", options.checkPath,
                               "checks this settings file of the platform (JSON) and exits");
  app.add_option("--operators", options.operatorsPath, "settings file of the operators (HCL blocks)");
  config->excludes(check);
}

// Loads both settings files and validates the fair-share table in them. Returns the first error, if any.
std::optional<FieldError> loadSettings(const std::string& platformPath, const std::string& operatorsPath,
                                       Settings& settings) {
  if (auto problem = reachhoist::config::loadPlatform(platformPath, settings)) return problem;
  if (!operatorsPath.empty()) {
    if (auto problem = reachhoist::config::loadOperators(operatorsPath, settings)) return problem;
  }
  if (!settings.operators.shares.enabled) return std::nullopt;
  reachhoist::shares::Table table;
  return reachhoist::shares::fromOperators(settings, table);
}

LogLevel levelFromEnvironment() {
  const char* variable = std::getenv("LOG_LEVEL");
  const std::string level = variable != nullptr ? variable : "info";
  if (level == "error") return LogLevel::error;
  if (level == "debug") return LogLevel::debug;
  return LogLevel::info;
}

spdlog::level::level_enum toSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::error:
      return spdlog::level::err;
    case LogLevel::info:
      return spdlog::level::info;
    case LogLevel::debug:
      return spdlog::level::debug;
  }
  return spdlog::level::info;
}

// Serves until a signal ends the process. Returns, with the exit status, only if the controller can't run.
int serve(const Settings& settings) {
  const LogLevel level = levelFromEnvironment();
  spdlog::logger logger("reachhoist", std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger.set_level(toSpdlog(level));
  logger.set_pattern("%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
  logger.flush_on(spdlog::level::debug);
  const auto sink = [&logger](LogLevel lineLevel, const std::string& line) {
    logger.log(toSpdlog(lineLevel), line);
  };
  reachhoist::service::Runtime runtime(settings, level, sink);
  const FieldError problem = runtime.run();
  std::cerr << "reachhoist: " << problem.field << ": " << problem.reason << "\n";
  return kFailure;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"reachhoist: a cluster scheduler that scales its machine pools in learned, bounded steps"};
  Options options;
  addOptions(app, options);
  CLI11_PARSE(app, argc, argv);
  const bool checkOnly = !options.checkPath.empty();
  const std::string& path = checkOnly ? options.checkPath : options.platformPath;
  if (path.empty()) {
    std::cerr << "reachhoist: one of --config and --check is required; see --help\n";
    return kUsageError;
  }
  Settings settings;
  if (const auto problem = loadSettings(path, options.operatorsPath, settings)) {
    std::cerr << "reachhoist: " << problem->field << " " << problem->reason << "\n";
    return kFailure;
  }
  if (checkOnly) {
    std::cout << "settings are good\n";
    return kSuccess;
  }
  return serve(settings);
}
