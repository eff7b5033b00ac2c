// The stand-ins of key-value store, cloud, workers and users on loopback sockets, in real time, around
// controllers that run as processes of their own.
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

class LoopbackWorld : public standin::World {
 public:
  LoopbackWorld(reachhoist::config::Settings settings, std::vector<standin::MachineTypeSpec> machineTypes,
                const std::string& operatorsFile);

  // Serves requests until the condition holds; false if it does not within the time limit.
  bool runUntil(const std::function<bool()>& condition, double limitS);
  // Of the leader in the key-value store, or "".
  std::string leaderLabel() const;
  // Kills the controller's process, without a restart.
  void kill(const std::string& label);
  void restart(const std::string& label);
  // Kills all controllers and the admin daemon.
  void endProcesses();
  // Exit status and output of a command; status -1: it did not end in time or was killed.
  struct Output {
    int status = -1;
    std::string text;
  };
  // Runs the admin program with these arguments to its end.
  Output admin(const std::vector<std::string>& arguments);
  // Number of answered heartbeats of the worker that has had the fewest among those that are up.
  std::size_t fewestHeartbeats() const;
  std::string logOf(const std::string& label) const { return readFile(path(label + ".log")); }

 protected:
  void startController(standin::ControllerProcess& process) override;
  void sendToController(standin::ControllerProcess& process, const std::string& method,
                        const std::string& target, const std::string& body, standin::Answer answer) override;
  standin::ControllerProcess& pickController() override;
  std::string workerEndpoint(const std::string& host) const override;

 private:
  using Answer = standin::Answer;
  using Handler = std::function<void(const reachhoist::net::HttpMessage& request, const Json& body, Answer)>;
  // Starts a server on a free port; returns its address.
  std::string serve(Handler handler);
  void serveStore();
  void serveCloud();
  void serveWorker(const std::string& host);
  // The next port that the predicate can use on loopback; returns its address.
  std::string takePort(const std::function<bool(const reachhoist::net::Address&)>& canUse);
  void assignControllerPorts();
  void startAdminDaemon();
  std::string path(const std::string& name) const { return (folder_ / name).string(); }
  void writeSettings(const standin::ControllerProcess& process);
  Json factsJson() const;
  reachhoist::net::Task<void> ask(std::string address, std::string method, std::string target,
                                  std::string body, Answer answer);

  std::filesystem::path folder_;
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
