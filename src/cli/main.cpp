#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "config/settings.hpp"
#include "service/runtime.hpp"

namespace {

constexpr const char* kVersion = "reachhoist " REACHHOIST_VERSION;

reachhoist::service::Level levelFromEnvironment() {
  const char* text = std::getenv("LOG_LEVEL");
  const std::string level = text != nullptr ? text : "info";
  if (level == "error") return reachhoist::service::Level::error;
  if (level == "debug") return reachhoist::service::Level::debug;
  return reachhoist::service::Level::info;
}

spdlog::level::level_enum toSpdlog(reachhoist::service::Level level) {
  switch (level) {
    case reachhoist::service::Level::error:
      return spdlog::level::err;
    case reachhoist::service::Level::info:
      return spdlog::level::info;
    case reachhoist::service::Level::debug:
      return spdlog::level::debug;
  }
  return spdlog::level::info;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"reachhoist: a cluster scheduler that sizes its machine pools by learned, clamped steps"};
  std::string platformPath;
  std::string operatorsPath;
  std::string checkPath;
  app.set_version_flag("--version", kVersion);
  auto* run =
      app.add_option("--config", platformPath, "settings file of the platform (JSON); runs the service");
  auto* check = app.add_option("--check", checkPath, "checks a settings file and exits");
  app.add_option("--operators", operatorsPath, "operators' own settings (HCL blocks)");
  run->excludes(check);
  CLI11_PARSE(app, argc, argv);
  const std::string& path = checkPath.empty() ? platformPath : checkPath;
  if (path.empty()) {
    std::cerr << "reachhoist: --config or --check is needed; see --help\n";
    return 2;
  }
  reachhoist::config::Settings settings;
  auto problem = reachhoist::config::loadPlatform(path, settings);
  if (!problem && !operatorsPath.empty())
    problem = reachhoist::config::loadOperators(operatorsPath, settings);
  if (reachhoist::shares::Table table; !problem && settings.operators.shares.enabled)
    problem = reachhoist::shares::fromOperators(settings, table);
  if (problem) {
    std::cerr << "reachhoist: " << problem->field << " " << problem->reason << "\n";
    return 1;
  }
  if (!checkPath.empty()) {
    std::cout << "settings are good\n";
    return 0;
  }
  const auto level = levelFromEnvironment();
  auto sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
  spdlog::logger logger("reachhoist", sink);
  logger.set_level(toSpdlog(level));
  logger.set_pattern("%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
  logger.flush_on(spdlog::level::debug);
  reachhoist::service::Runtime runtime(
      settings, level, [&logger](auto of, const std::string& line) { logger.log(toSpdlog(of), line); });
  std::cerr << "reachhoist: " << runtime.run() << "\n";
  return 1;
}
