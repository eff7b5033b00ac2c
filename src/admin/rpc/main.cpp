// reachhoist-admin: the admin daemon, and the operators' commands that it answers.
#include <CLI/CLI.hpp>
#include <iostream>

#include "admin/rpc/commands.hpp"
#include "admin/rpc/daemon.hpp"

namespace {

using reachhoist::admin::CommandOptions;
using reachhoist::admin::SetOptions;

// Serves until the process is ended; the exit status if it can't.
int runDaemon(const std::string& configPath, const std::string& address) {
  if (!reachhoist::admin::isLocal(address)) {
    std::cerr << "reachhoist-admin: --listen must be a Unix socket or a loopback address\n";
    return 1;
  }
  reachhoist::config::Settings settings;
  if (const auto problem = reachhoist::config::loadPlatform(configPath, settings)) {
    std::cerr << "reachhoist-admin: " << problem->field << " " << problem->reason << "\n";
    return 1;
  }
  return reachhoist::admin::serve(settings, address);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"reachhoist-admin: changes and shows how machines are divided"};
  app.require_subcommand(1);
  CommandOptions options;
  SetOptions change;
  std::string configPath;
  std::string listen;

  auto* daemon = app.add_subcommand("daemon", "serves the commands below");
  daemon->add_option("--config", configPath, "settings file of the platform (JSON)")->required();
  daemon->add_option("--listen", listen, "unix:PATH or a loopback address with its port")->required();

  auto* shares = app.add_subcommand("shares", "the shares of teams and job classes");
  shares->require_subcommand(1);
  shares->add_option("--at", options.address, "where the daemon listens")->required();
  shares->add_option("--deadline", options.deadlineS, "seconds to wait for an answer")
      ->check(CLI::Range(0.1, 3600.0));
  auto* get = shares->add_subcommand("get", "the stored table");
  auto* set = shares->add_subcommand("set", "changes the table, once for each request id");
  set->add_option("shares", change.shares, "GROUP=WEIGHT, such as class:price-survey=2");
  set->add_option("--remove", change.remove, "a group to remove");
  set->add_option("--others", change.others, "weight of all work that no group holds");
  set->add_option("--if-generation", change.expectedGeneration, "refused unless the table is of this one");
  set->add_option("--request-id", change.requestId, "to repeat a change that got no answer");
  set->add_flag("--replace", change.replace, "the groups named become the whole table");
  auto* status = shares->add_subcommand("status", "what each group is entitled to, has and asks for");
  auto* watch = shares->add_subcommand("watch", "the status whenever it changes, until interrupted");
  CLI11_PARSE(app, argc, argv);

  if (daemon->parsed()) return runDaemon(configPath, listen);
  if (get->parsed()) return reachhoist::admin::getShares(options);
  if (set->parsed()) return reachhoist::admin::setShares(options, change);
  if (status->parsed()) return reachhoist::admin::showStatus(options);
  if (watch->parsed()) return reachhoist::admin::watchStatus(options);
  return 2;
}
