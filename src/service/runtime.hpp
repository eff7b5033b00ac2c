// Runs a controller on sockets and clocks. The runtime passes events to it and carries out its actions.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "net/frames.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "service/controller.hpp"

namespace reachhoist::service {

// A controller with its event loop, HTTP server and client, and the links to its siblings. All of it runs in
// the thread that calls run().
class Runtime {
 public:
  // `settings` must outlive the runtime. `sink` receives the log lines up to `level`.
  Runtime(const config::Settings& settings, LogLevel level, Context::LogSink sink);
  Runtime(const Runtime&) = delete;

  // Listens and serves. It returns only if it cannot start, with the invalid setting.
  config::FieldError run();

 private:
  std::optional<config::FieldError> listen();
  std::optional<config::FieldError> connectSiblings();
  net::Task<void> tickLoop();
  net::Task<void> executeCall(wire::Call call);
  void onRequest(std::uint64_t number, net::HttpMessage request);
  void onFrame(const std::string& frame);
  // Carries out the controller's queued actions. It must be called after each event.
  void performActions();
  void sendResponse(const Response& response);
  void sendToSibling(const OutgoingPeerMessage& outgoing);

  const config::Settings& settings_;
  net::Reactor reactor_;
  Controller controller_;
  net::HttpServer server_;
  net::HttpClient client_;
  net::FrameListener peerListener_;
  std::map<std::string, std::unique_ptr<net::FrameSender>> siblingLinks_;  // by the sibling's label
};

}  // namespace reachhoist::service
