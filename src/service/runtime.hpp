// Runs a controller on sockets and clocks: carries out what it asks for and tells it what came of it.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "net/framed.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "service/controller.hpp"

namespace reachhoist::service {

class Runtime {
 public:
  Runtime(const config::Settings& settings, Level level, Context::LogSink sink);
  // Returns only when a listening socket can't be had.
  std::string run();

 private:
  net::Task<void> tickLoop();
  net::Task<void> carryOut(wire::Call call);
  void act();
  std::int64_t wallMs() const;

  const config::Settings& settings_;
  net::Reactor reactor_;
  Controller controller_;
  net::HttpServer server_;
  net::HttpClient client_;
  net::FrameListener peers_;
  std::map<std::string, std::unique_ptr<net::FrameSender>> links_;
};

}  // namespace reachhoist::service
