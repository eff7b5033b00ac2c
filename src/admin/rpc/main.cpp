// reachhoist-admin: the admin daemon and the operators' commands, which call the daemon.
#include <CLI/CLI.hpp>
#include <iostream>

#include "admin/rpc/commands.hpp"
#include "admin/rpc/daemon.hpp"

namespace {

using reachhoist::admin::CommandOptions;
using reachhoist::admin::SetOptions;

// Serves until a signal ends the process. Returns, with the exit status, only if the daemon can't start.
int runDaemon(const std::string& configPath, const std::string& address) {
  if (!reachhoist::admin::isLocalAddress(address)) {
    std::cerr << "reachhoist-admin: --listen must be unix:PATH or a loopback address with its port, but is "
              << address << "\n";
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
  CLI::App app{"reachhoist-admin: shows and changes the fair shares of teams and job classes"};
  app.require_subcommand(1);
  CommandOptions options;
  SetOptions change;
  std::string configPath;
  std::string listen;

  auto* daemon = app.add_subcommand("daemon", "runs the admin daemon, which answers the 'shares' commands");
  daemon->add_option("--config", configPath, "settings file of the platform (JSON)")->required();
  daemon->add_option("--listen", listen, "unix:PATH or a loopback address with its port")->required();

  auto* shares = app.add_subcommand("shares", "shows or changes the shares of teams and job classes");
  shares->require_subcommand(1);
  shares->add_option("--at", options.address, "address on which the daemon listens")->required();
  shares->add_option("--deadline", options.deadlineS, "seconds to wait for an answer; watch has no deadline")
      ->check(CLI::Range(0.1, 3600.0));
  auto* get = shares->add_subcommand("get", "prints the stored table");
  auto* set = shares->add_subcommand("set", "changes the stored table; a request id is applied only once");
  set->add_option("shares", change.shares,
                  "groups to add or change, as GROUP=WEIGHT, such as class:price-survey=2");
  set->add_option("--remove", change.remove, "groups to remove");
  set->add_option("--others", change.others, "weight of all work that belongs to no group");
  set->add_option("--if-generation", change.expectedGeneration,
                  "refuses the change unless the table has this generation");
  set->add_option("--request-id", change.requestId,
                  "id of the request; give the printed id to repeat a change that got no answer");
  set->add_flag("--replace", change.replace, "replaces the whole table by the given groups");
  auto* status =
      shares->add_subcommand("status", "prints the entitled, running and demanded share of each group");
  auto* watch = shares->add_subcommand("watch", "prints the status whenever it changes, until interrupted");
  CLI11_PARSE(app, argc, argv);

  if (daemon->parsed()) return runDaemon(configPath, listen);
  if (get->parsed()) return reachhoist::admin::getShares(options);
  if (set->parsed()) return reachhoist::admin::setShares(options, change);
  if (status->parsed()) return reachhoist::admin::showStatus(options);
  if (watch->parsed()) return reachhoist::admin::watchStatus(options);
  return 2;
}
