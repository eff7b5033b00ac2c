#include "service/runtime.hpp"

#include <random>

#include "calls/runner.hpp"

namespace reachhoist::service {

Runtime::Runtime(const config::Settings& settings, Level level, Context::LogSink sink)
    : settings_(settings),
      controller_(settings, std::random_device{}(), level, std::move(sink)),
      server_(reactor_, settings.serverSockets(),
              [this](std::uint64_t number, net::HttpMessage request) {
                controller_.onRequest(reactor_.now(), wallMs(),
                                      Request{number, std::move(request.method), std::move(request.target),
                                              std::move(request.body)});
                act();
              }),
      client_(reactor_, settings.clientSockets()),
      peers_(reactor_, [this](const std::string& frame) {
        if (const auto message = peer::decode(frame)) {
          controller_.onPeer(reactor_.now(), wallMs(), *message);
          act();
        }
      }) {}

std::int64_t Runtime::wallMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Runtime::run() {
  net::Address bind;
  net::Address peerListen;
  std::string error;
  if (!net::Address::parse(settings_.bind, bind)) return "bind: not an address";
  if (!net::Address::parse(settings_.peerListen, peerListen)) return "peer_listen: not an address";
  if (!server_.listen(bind, error)) return "bind: " + error;
  if (!peers_.listen(peerListen, error)) return "peer_listen: " + error;
  for (const config::Sibling& sibling : settings_.siblings) {
    net::Address address;
    if (!net::Address::parse(sibling.endpoint, address)) return "siblings.endpoint: not an address";
    links_[sibling.label] = std::make_unique<net::FrameSender>(reactor_, address);
  }
  controller_.start(reactor_.now(), wallMs());
  act();
  net::spawn(tickLoop());
  reactor_.run();
}

net::Task<void> Runtime::tickLoop() {
  for (;;) {
    co_await reactor_.sleepUntil(reactor_.now() + constants::kTickInterval);
    controller_.tick(reactor_.now(), wallMs());
    act();
  }
}

void Runtime::act() {
  Actions actions = controller_.drain();
  for (Reply& reply : actions.replies) {
    std::string body = reply.body.is_null() ? std::string() : wire::encodeBody(reply.body);
    server_.answer(reply.request, net::HttpAnswer{reply.status, std::move(body), reply.retryAfterS});
  }
  for (PeerSend& send : actions.peers) {
    if (const auto found = links_.find(send.to); found != links_.end())
      found->second->send(peer::encode(send.message));
  }
  for (wire::Call& call : actions.calls) net::spawn(carryOut(std::move(call)));
}

net::Task<void> Runtime::carryOut(wire::Call call) {
  const std::uint64_t number = call.number;
  const wire::CallResult result = co_await calls::carryOut(client_, std::move(call));
  controller_.onResult(reactor_.now(), wallMs(), number, result);
  act();
}

}  // namespace reachhoist::service
