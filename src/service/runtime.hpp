// Runs a controller on sockets and clocks: feeds it events and carries out its actions.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "net/frames.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "service/controller.hpp"

namespace reachhoist::service {

// The controller with its event loop, HTTP server and client, and the links with its siblings. All of it runs
// in the thread that calls run().
class Runtime {
 public:
  // settings: must outlive the runtime. sink: takes log lines up to `level`.
  Runtime(const config::Settings& settings, Level level, Context::LogSink sink);
  Runtime(const Runtime&) = delete;

  // Listens and serves. Returns only when it can't start, with the setting that is at fault.
  config::FieldError run();

 private:
  std::optional<config::FieldError> listen();
  std::optional<config::FieldError> connectSiblings();
  net::Task<void> tickLoop();
  net::Task<void> executeCall(wire::Call call);
  void onRequest(std::uint64_t number, net::HttpMessage request);
  void onFrame(const std::string& frame);
  // Carries out what the controller asks for; to be called after each event.
  void performActions();
  void sendReply(const Reply& reply);
  void sendToSibling(const PeerSend& send);

  const config::Settings& settings_;
  net::Reactor reactor_;
  Controller controller_;
  net::HttpServer server_;
  net::HttpClient client_;
  net::FrameListener peerListener_;
  std::map<std::string, std::unique_ptr<net::FrameSender>> siblingLinks_;  // by the sibling's label
};

}  // namespace reachhoist::service
