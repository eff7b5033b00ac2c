// One thread that talks to the state service; the threads of the RPC server hand their work to it.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "admin/share_editor.hpp"
#include "net/http_client.hpp"
#include "state/key_watch.hpp"

namespace reachhoist::admin {

class StateLoop {
 public:
  using Deadline = std::chrono::system_clock::time_point;

  explicit StateLoop(const config::Settings& settings);
  // Starts the thread, which runs until the process ends.
  void start();

  // These wait, up to the deadline, and may be called from any thread. Nothing: no answer in time.
  std::optional<wire::CallResult> get(const std::string& key, Deadline deadline);
  EditResult edit(shares::Change change, Deadline deadline);
  // Waits until the status record has changed since `seen`, and updates that; false: not by the deadline.
  bool awaitStatus(std::uint64_t& seen, Deadline deadline);

 private:
  void post(std::function<void()> action);
  [[noreturn]] void run();
  net::Task<void> turn();
  net::Task<void> carryOut(wire::Call call);
  void sendCalls();

  const config::Settings& settings_;
  net::Reactor reactor_;
  net::HttpClient http_;
  wire::Calls calls_;
  state::Client client_;
  state::KeyWatch status_;
  std::vector<std::shared_ptr<ShareEdit>> edits_;

  std::mutex mutex_;  // of what follows
  std::condition_variable changed_;
  std::vector<std::function<void()>> posted_;
  std::uint64_t statusChanges_ = 0;
};

}  // namespace reachhoist::admin
