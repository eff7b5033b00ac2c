// The thread that calls the key-value store. The threads of the gRPC server pass their requests to it.
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

// An event loop with a rate-limited client of the key-value store. get(), edit() and awaitStatusChange()
// block and can be called from any thread. Everything else runs in the loop's thread.
class StateLoop {
 public:
  using Deadline = std::chrono::system_clock::time_point;  // wall-clock time, as in gRPC

  // `settings` must outlive the loop.
  explicit StateLoop(const config::Settings& settings);
  StateLoop(const StateLoop&) = delete;
  // Starts the thread. The thread runs until the process ends, so the loop must not be destroyed after this.
  void start();

  // Reads one key. Returns an empty result if the store gives no answer by the deadline.
  std::optional<wire::CallResult> get(const std::string& key, Deadline deadline);
  // Changes the fair-share table. The verdict is `unavailable` if the store gives no answer by the deadline.
  EditResult edit(shares::Change change, Deadline deadline);
  // Waits until the number of changes of the status record differs from `seenChanges`, and then updates
  // `seenChanges`. Returns false if the record has not changed by the deadline.
  bool awaitStatusChange(std::uint64_t& seenChanges, Deadline deadline);

 private:
  // Queues the action for the loop's thread. Can be called from any thread.
  void post(std::function<void()> action);
  [[noreturn]] void run();
  net::Task<void> runLoop();
  void runPostedActions();
  void tickEdits(wire::Time now);
  net::Task<void> executeCall(wire::Call call);
  void sendCalls();

  const config::Settings& settings_;
  net::Reactor reactor_;
  net::HttpClient http_;
  wire::Calls calls_;
  state::Client client_;
  state::KeyWatch statusWatch_;
  std::vector<std::shared_ptr<ShareEdit>> edits_;

  std::mutex mutex_;  // guards the members below
  std::condition_variable statusChanged_;
  std::vector<std::function<void()>> postedActions_;
  std::uint64_t statusChangeCount_ = 0;  // changes of the status record so far
};

}  // namespace reachhoist::admin
