// A test deployment in real time. Controllers and the admin daemon run as processes of their own. The
// stand-ins of key-value store, cloud, workers and users communicate with them over loopback sockets.
#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "loopback/process.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "standin/world.hpp"

namespace loopback {

using standin::Json;

// Runs the stand-ins in the test's own thread, and only within `runUntil`.
class LoopbackWorld : public standin::World {
 public:
  LoopbackWorld(reachhoist::config::Settings settings, std::vector<standin::MachineTypeSpec> machineTypes,
                const std::string& operatorsFile);

  // Serves requests until the condition holds. Returns false if it does not hold within the timeout.
  bool runUntil(const std::function<bool()>& condition, double timeoutS);
  // The label of the leader in the key-value store, or "".
  std::string leaderLabel() const;
  // Kills the controller's process. It stays down until `restartController`.
  void killController(const std::string& label);
  void restartController(const std::string& label);
  // Kills all controllers and the admin daemon.
  void killProcesses();
  struct CommandResult {
    int exitStatus = -1;  // -1 if the command timed out or a signal ended it
    std::string output;
  };
  // Runs `reachhoist-admin shares` with these arguments, and serves requests until the command ends.
  CommandResult runSharesCommand(const std::vector<std::string>& arguments);
  // The minimum number of answered heartbeats over the workers that are up.
  std::size_t minAnsweredHeartbeats() const;

 protected:
  void startController(standin::ControllerProcess& process) override;
  void sendToController(standin::ControllerProcess& process, const std::string& method,
                        const std::string& target, const std::string& body, standin::Answer answer) override;
  standin::ControllerProcess& pickController() override;
  std::string workerEndpoint(const std::string& host) const override;

 private:
  using Answer = standin::Answer;
  using Handler = std::function<void(const reachhoist::net::HttpMessage& request, const Json& body, Answer)>;
  // Starts a server on a free port and returns its address.
  std::string serve(Handler handler);
  void serveStore();
  void serveCloud();
  void serveWorker(const std::string& host);
  // Returns the loopback address of the next port for which the predicate holds.
  std::string takePort(const std::function<bool(const reachhoist::net::Address&)>& canUse);
  // Gives each controller ports that are free now. The controllers bind them when they start.
  void assignControllerPorts();
  void startAdminDaemon();
  std::string path(const std::string& name) const { return (directory_ / name).string(); }
  void writeSettings(const standin::ControllerProcess& process);
  Json factsJson() const;
  reachhoist::net::Task<void> callController(std::string address, std::string method, std::string target,
                                             std::string body, Answer answer);

  std::filesystem::path directory_;
  reachhoist::net::Reactor reactor_;
  reachhoist::net::HttpClient client_;
  std::vector<std::unique_ptr<reachhoist::net::HttpServer>> servers_;
  std::map<std::string, std::string> workerEndpoints_;                   // by host
  std::map<std::string, std::string> controllerEndpoints_;               // by label, for users and workers
  std::map<std::string, std::unique_ptr<Process>> controllerProcesses_;  // by label
  std::unique_ptr<Process> admin_;
  std::string adminAddress_;
  reachhoist::net::Time startedAt_;
  std::uint16_t nextPort_;
  std::size_t nextController_ = 0;
  int commandCount_ = 0;
};

}  // namespace loopback
