#include "loopback/loopback_world.hpp"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <stdexcept>

namespace loopback {

namespace net = reachhoist::net;
namespace wire = reachhoist::wire;

namespace {
constexpr const char* kUnboundEndpoint = "127.0.0.1:1";  // nothing listens there
constexpr std::size_t kMaxSockets = 2000;
constexpr std::chrono::milliseconds kMaxReactorWait{5};
constexpr std::chrono::milliseconds kCallTimeout{5000};
constexpr double kCommandTimeoutS = 30;
constexpr std::uint16_t kFirstPort = 21000;
constexpr std::uint16_t kPortCount = 20000;
constexpr int kPortStride = 97;  // between the first ports of test processes with consecutive process ids

Json teamsJson(const reachhoist::config::Settings& settings) {
  Json teams = Json::array();
  for (const auto& team : settings.teams)
    teams.push_back(Json{
        {"name", team.name}, {"cpus", team.cpus}, {"cpus_max", team.cpusMax}, {"gpus", 0}, {"gpus_max", 0}});
  return teams;
}

Json objectivesJson(const reachhoist::config::Settings& settings) {
  Json objectives = Json::array();
  for (const auto& objective : settings.objectives)
    objectives.push_back(
        Json{{"kind", objective.kind}, {"class", objective.jobClass}, {"within_s", objective.withinS}});
  return objectives;
}
}  // namespace

LoopbackWorld::LoopbackWorld(reachhoist::config::Settings settings,
                             std::vector<standin::MachineTypeSpec> machineTypes,
                             const std::string& operatorsFile)
    : World(std::move(settings), std::move(machineTypes), {}, 1),
      directory_(std::filesystem::temp_directory_path() /
                 ("reachhoist-loopback-" + std::to_string(::getpid()))),
      client_(reactor_, kMaxSockets),
      startedAt_(reactor_.now()),
      nextPort_(static_cast<std::uint16_t>(kFirstPort + ::getpid() * kPortStride % kPortCount)) {
  std::filesystem::remove_all(directory_);
  std::filesystem::create_directories(directory_);
  std::ofstream(path("operators.hcl")) << operatorsFile;
  serveStore();
  serveCloud();
  assignControllerPorts();
  start();
  startAdminDaemon();
}

void LoopbackWorld::serveStore() {
  baseSettings.endpoints.state = serve([this](const auto& request, const Json& body, const Answer& answer) {
    store.request("", request.method, request.target, body, answer);
  });
}

void LoopbackWorld::serveCloud() {
  baseSettings.endpoints.cloud = serve([this](const auto& request, const Json& body, const Answer& answer) {
    wire::Call call;
    call.method = request.method;
    call.path = request.target.substr(0, request.target.find('?'));
    call.body = body;
    cloud.call(call, [answer](const wire::CallResult& result) { answer(result.status, result.body); });
    for (const auto& [host, worker] : workers)
      if (!workerEndpoints_.contains(host)) serveWorker(host);
  });
}

std::string LoopbackWorld::takePort(const std::function<bool(const net::Address&)>& canUse) {
  while (true) {
    std::string endpoint = "127.0.0.1:" + std::to_string(nextPort_++);
    net::Address address;
    net::Address::parse(endpoint, address);
    if (canUse(address)) return endpoint;
  }
}

void LoopbackWorld::assignControllerPorts() {
  const auto isFree = [](const net::Address& address) {
    std::string error;
    return static_cast<bool>(net::listenOn(address, error));
  };
  for (auto& sibling : baseSettings.siblings) {
    sibling.endpoint = takePort(isFree);
    controllerEndpoints_[sibling.label] = takePort(isFree);
  }
}

void LoopbackWorld::startAdminDaemon() {
  adminAddress_ = "unix:" + path("admin.sock");
  const std::string settingsPath = path(controllers.at(0).label() + ".json");
  admin_ = std::make_unique<Process>(
      std::vector<std::string>{ADMIN_PROGRAM, "daemon", "--config", settingsPath, "--listen", adminAddress_},
      path("admin.log"));
}

std::string LoopbackWorld::serve(Handler handler) {
  auto holder = std::make_shared<net::HttpServer*>(nullptr);
  auto server = std::make_unique<net::HttpServer>(
      reactor_, kMaxSockets,
      [holder, handler = std::move(handler)](std::uint64_t requestNumber, const net::HttpMessage& request) {
        const auto body = request.body.empty() ? wire::Result<Json>(Json()) : wire::decodeBody(request.body);
        if (!body) return (*holder)->respond(requestNumber, {400, "", std::nullopt});
        handler(request, *body, [holder, requestNumber](int status, const Json& answer) {
          (*holder)->respond(requestNumber,
                             {status, answer.is_null() ? "" : wire::encodeBody(answer), std::nullopt});
        });
      });
  *holder = server.get();
  std::string endpoint = takePort([&](const net::Address& address) {
    std::string error;
    return server->listen(address, error);
  });
  servers_.push_back(std::move(server));
  return endpoint;
}

void LoopbackWorld::serveWorker(const std::string& host) {
  workerEndpoints_[host] = serve([this, host](const auto& request, const Json& body, const Answer& answer) {
    standin::Worker& worker = *workers.at(host);
    if (!worker.isServing()) return answer(503, Json());
    if (request.method == "GET") return answer(200, worker.heartbeat());
    const standin::CommandResponse response = worker.handleCommands(body);
    answer(response.status, response.body);
  });
}

std::string LoopbackWorld::workerEndpoint(const std::string& host) const {
  const auto found = workerEndpoints_.find(host);
  return found == workerEndpoints_.end() ? kUnboundEndpoint : found->second;
}

Json LoopbackWorld::factsJson() const {
  const auto& settings = baseSettings;
  return Json{{"initial_size", settings.siblings.size()},
              {"zones", settings.zones},
              {"teams", teamsJson(settings)},
              {"objectives", objectivesJson(settings)},
              {"workers",
               {{"report_s", settings.workers.heartbeatIntervalS},
                {"lease_s", settings.workers.leaseS},
                {"cancel_s", settings.workers.cancelS}}},
              {"state",
               {{"rps", settings.stateLimits.requestsPerS},
                {"write_rps", settings.stateLimits.writesPerS},
                {"value_kb", settings.stateLimits.maxValueKib},
                {"txn_ops", settings.stateLimits.opsPerTransaction}}},
              {"cloud", {{"rps", 50}, {"list_lag_s", settings.cloudLimits.listLagS}}},
              {"limits", {{"core_share", 1}, {"ram_mb", 256}, {"max_connections", 1000}}},
              {"clock_off_ms", 5}};
}

void LoopbackWorld::writeSettings(const standin::ControllerProcess& process) {
  Json siblings = Json::array();
  for (const auto& sibling : process.settings.siblings)
    siblings.push_back(
        Json{{"label", sibling.label}, {"area", sibling.area}, {"endpoint", sibling.endpoint}});
  std::string peerListen;
  for (const auto& sibling : baseSettings.siblings)
    if (sibling.label == process.label()) peerListen = sibling.endpoint;
  const Json settings{
      {"label", process.label()},
      {"area", process.settings.area},
      {"bind", controllerEndpoints_.at(process.label())},
      {"peer_listen", peerListen},
      {"siblings", siblings},
      {"endpoints", {{"cloud", baseSettings.endpoints.cloud}, {"state", baseSettings.endpoints.state}}},
      {"facts", factsJson()}};
  std::ofstream(path(process.label() + ".json")) << settings.dump(1);
}

void LoopbackWorld::startController(standin::ControllerProcess& process) {
  writeSettings(process);
  const std::string& label = process.label();
  controllerProcesses_[label] = std::make_unique<Process>(
      std::vector<std::string>{CONTROLLER_PROGRAM, "--config", path(label + ".json"), "--operators",
                               path("operators.hcl")},
      path(label + ".log"));
}

void LoopbackWorld::killController(const std::string& label) { controllerProcesses_.at(label)->kill(); }

void LoopbackWorld::restartController(const std::string& label) {
  for (const auto& process : controllers.all())
    if (process->label() == label) startController(*process);
}

void LoopbackWorld::killProcesses() {
  controllerProcesses_.clear();
  admin_.reset();
}

standin::ControllerProcess& LoopbackWorld::pickController() {
  return controllers.at(nextController_++ % controllers.count());
}

void LoopbackWorld::sendToController(standin::ControllerProcess& process, const std::string& method,
                                     const std::string& target, const std::string& body,
                                     standin::Answer answer) {
  net::spawn(
      callController(controllerEndpoints_.at(process.label()), method, target, body, std::move(answer)));
}

net::Task<void> LoopbackWorld::callController(std::string address, std::string method, std::string target,
                                              std::string body, Answer answer) {
  const net::HttpResult result = co_await client_.call(std::move(address), std::move(method),
                                                       std::move(target), std::move(body), kCallTimeout);
  const auto decoded = result.body.empty() ? wire::Result<Json>(Json()) : wire::decodeBody(result.body);
  answer(decoded ? result.status : 0, decoded ? *decoded : Json());
}

bool LoopbackWorld::runUntil(const std::function<bool()>& condition, double timeoutS) {
  const auto deadline = reactor_.now() + wire::seconds(timeoutS);
  while (reactor_.now() < deadline) {
    sim.runUntil(wire::toSeconds(reactor_.now() - startedAt_));
    if (condition()) return true;
    reactor_.runOnce(kMaxReactorWait);
  }
  return condition();
}

std::string LoopbackWorld::leaderLabel() const { return store.value("leader").value("label", ""); }

LoopbackWorld::CommandResult LoopbackWorld::runSharesCommand(const std::vector<std::string>& arguments) {
  const std::string outputPath = path("command-" + std::to_string(commandCount_++) + ".txt");
  std::vector<std::string> command{ADMIN_PROGRAM, "shares", "--at", adminAddress_, "--deadline", "20"};
  command.insert(command.end(), arguments.begin(), arguments.end());
  Process process(command, outputPath);
  runUntil([&] { return process.hasEnded(); }, kCommandTimeoutS);
  return {process.hasEnded() ? process.exitStatus() : -1, readFile(outputPath)};
}

std::size_t LoopbackWorld::minAnsweredHeartbeats() const {
  std::size_t minimum = std::numeric_limits<std::size_t>::max();
  for (const auto& [host, worker] : workers) {
    if (!worker->isServing()) continue;
    const auto found = counters.heartbeatsAnswered.find(host);
    minimum = std::min(minimum, found == counters.heartbeatsAnswered.end() ? 0 : found->second);
  }
  return minimum;
}

}  // namespace loopback
