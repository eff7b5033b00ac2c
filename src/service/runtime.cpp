#include "service/runtime.hpp"

#include <random>

#include "calls/executor.hpp"

namespace reachhoist::service {

namespace {

constexpr const char* kInvalidAddress = "must be an address like 10.0.0.1:8080";

// Returns the milliseconds since the Unix epoch.
std::int64_t wallClockMs() {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

// Returns 64 random bits, so that no two processes share a seed.
std::uint64_t randomSeed() {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> distribution;
  return distribution(device);
}

}  // namespace

Runtime::Runtime(const config::Settings& settings, LogLevel level, Context::LogSink sink)
    : settings_(settings),
      controller_(settings, randomSeed(), level, std::move(sink)),
      server_(
          reactor_, settings.serverSockets(),
          [this](std::uint64_t number, net::HttpMessage request) { onRequest(number, std::move(request)); }),
      client_(reactor_, settings.clientSockets()),
      peerListener_(reactor_, [this](const std::string& frame) { onFrame(frame); }) {}

config::FieldError Runtime::run() {
  if (auto problem = listen()) return *problem;
  if (auto problem = connectSiblings()) return *problem;
  controller_.start(reactor_.now(), wallClockMs());
  performActions();
  net::spawn(tickLoop());
  reactor_.run();
}

std::optional<config::FieldError> Runtime::listen() {
  net::Address bind;
  net::Address peerListen;
  std::string error;
  if (!net::Address::parse(settings_.bind, bind)) return config::FieldError{"bind", kInvalidAddress};
  if (!net::Address::parse(settings_.peerListen, peerListen))
    return config::FieldError{"peer_listen", kInvalidAddress};
  if (!server_.listen(bind, error)) return config::FieldError{"bind", error};
  if (!peerListener_.listen(peerListen, error)) return config::FieldError{"peer_listen", error};
  return std::nullopt;
}

std::optional<config::FieldError> Runtime::connectSiblings() {
  for (const config::Sibling& sibling : settings_.siblings) {
    net::Address address;
    if (!net::Address::parse(sibling.endpoint, address))
      return config::FieldError{"siblings.endpoint", kInvalidAddress};
    siblingLinks_[sibling.label] = std::make_unique<net::FrameSender>(reactor_, address);
  }
  return std::nullopt;
}

net::Task<void> Runtime::tickLoop() {
  for (;;) {
    co_await reactor_.sleepUntil(reactor_.now() + constants::kTickInterval);
    controller_.tick(reactor_.now(), wallClockMs());
    performActions();
  }
}

void Runtime::onRequest(std::uint64_t number, net::HttpMessage request) {
  controller_.onRequest(
      reactor_.now(), wallClockMs(),
      Request{number, std::move(request.method), std::move(request.target), std::move(request.body)});
  performActions();
}

void Runtime::onFrame(const std::string& frame) {
  const auto message = peer::decode(frame);
  if (!message) return;
  controller_.onPeerMessage(reactor_.now(), wallClockMs(), *message);
  performActions();
}

void Runtime::performActions() {
  Actions actions = controller_.drain();
  for (const Response& response : actions.responses) sendResponse(response);
  for (const OutgoingPeerMessage& outgoing : actions.peerMessages) sendToSibling(outgoing);
  for (wire::Call& call : actions.calls) net::spawn(executeCall(std::move(call)));
}

void Runtime::sendResponse(const Response& response) {
  std::string body = response.body.is_null() ? std::string() : wire::encodeBody(response.body);
  server_.respond(response.request,
                  net::HttpResponse{response.status, std::move(body), response.retryAfterS});
}

void Runtime::sendToSibling(const OutgoingPeerMessage& outgoing) {
  const auto link = siblingLinks_.find(outgoing.to);
  if (link != siblingLinks_.end()) link->second->send(peer::encode(outgoing.message));
}

net::Task<void> Runtime::executeCall(wire::Call call) {
  const std::uint64_t number = call.number;
  const wire::CallResult result = co_await calls::execute(client_, std::move(call));
  controller_.onResult(reactor_.now(), wallClockMs(), number, result);
  performActions();
}

}  // namespace reachhoist::service
