// The thread that talks to the key-value store; the threads of the gRPC server hand their work to it.
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

// An event loop with a rate-limited client of the key-value store. get(), edit() and awaitStatus() may be
// called from any thread and block; all else runs in the loop's thread.
class StateLoop {
 public:
  using Deadline = std::chrono::system_clock::time_point;  // wall time, as gRPC has it

  // settings: must outlive the loop.
  explicit StateLoop(const config::Settings& settings);
  StateLoop(const StateLoop&) = delete;
  // Starts the thread, which runs until the process ends; so the loop must never be destroyed after this.
  void start();

  // Reads one key; nothing if there is no answer by the deadline.
  std::optional<wire::CallResult> get(const std::string& key, Deadline deadline);
  // Changes the table of shares; the verdict is `unavailable` if there is no answer by the deadline.
  EditResult edit(shares::Change change, Deadline deadline);
  // Waits until the status record has changed more often than `seen` says, and updates `seen`; false if it
  // has not by the deadline.
  bool awaitStatus(std::uint64_t& seen, Deadline deadline);

 private:
  // Has the loop's thread run the action; may be called from any thread.
  void post(std::function<void()> action);
  [[noreturn]] void run();
  net::Task<void> iterate();
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
  std::uint64_t statusChanges_ = 0;  // number of changes of the status record seen so far
};

}  // namespace reachhoist::admin
