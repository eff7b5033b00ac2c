#include "admin/rpc/daemon.hpp"

#include <arpa/inet.h>
#include <grpcpp/grpcpp.h>

#include <csignal>
#include <iostream>

#include "admin/rpc/service.hpp"

namespace reachhoist::admin {

namespace {

constexpr std::chrono::seconds kShutdownGracePeriod{1};  // for calls in flight

// Blocks SIGTERM and SIGINT and returns the set of both. Must be called before any thread starts, because
// threads inherit the signal mask and only sigwait() should receive these signals.
sigset_t blockTerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

}  // namespace

bool isLocalAddress(const std::string& address) {
  constexpr std::uint32_t kLoopbackNetwork = 127;
  constexpr unsigned kNetworkShiftBits = 24;
  if (address.starts_with("unix:") || address.starts_with("localhost:") || address.starts_with("[::1]:"))
    return true;
  net::Address parsed;
  return net::Address::parse(address, parsed) && ntohl(parsed.ip) >> kNetworkShiftBits == kLoopbackNetwork;
}

int serve(const config::Settings& settings, const std::string& address) {
  const sigset_t signals = blockTerminationSignals();
  std::signal(SIGPIPE, SIG_IGN);
  StateLoop loop(settings);
  loop.start();
  SharesService service(loop);
  grpc::ServerBuilder builder;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials());
  builder.RegisterService(&service);
  const auto server = builder.BuildAndStart();
  if (!server) {
    std::cerr << "reachhoist-admin: --listen: can't listen on " << address << "\n";
    return 1;
  }
  std::cerr << "event=admin_start listen=" << address << "\n";
  int signal = 0;
  sigwait(&signals, &signal);
  server->Shutdown(std::chrono::system_clock::now() + kShutdownGracePeriod);
  std::cerr << "event=admin_stop\n";
  // The thread of the StateLoop never ends by itself and has no state to save, so the process exits without
  // it.
  std::_Exit(0);
}

}  // namespace reachhoist::admin
