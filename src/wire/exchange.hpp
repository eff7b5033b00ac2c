// Calls to outside systems as plain values. The decision code queues the calls here; the program around it
// sends them and reports their results, so that the decision code does no I/O itself.
#pragma once

#include <chrono>
#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wire/codec.hpp"

namespace reachhoist::wire {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Duration = Clock::duration;

// These functions convert between seconds and durations.
inline Duration seconds(double count) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}
inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// The outside systems. `state` is the key-value store.
enum class Service { state, cloud, worker };

// One HTTP request to an outside system.
struct Call {
  std::uint64_t number = 0;  // identifies the call when its result is reported
  Service service = Service::state;
  std::string endpoint;  // "ip:port"
  std::string method;
  std::string path;
  Json body;  // null if the request has no body
  std::chrono::milliseconds timeout{0};
};

// The result of a call.
struct CallResult {
  int status = 0;     // HTTP status; 0 if no answer came or the answer could not be read
  bool sent = false;  // false only if nothing can have reached the service
  Json body;
  // The response exceeded the size limit; a repeated call would exceed it again.
  bool responseTooLarge = false;
  bool ok() const { return status == 200; }
  // Returns whether the service may have carried out the call although no answer came.
  bool isOutcomeUnknown() const { return status == 0 && sent; }
};

// A queue of the calls to be sent, with the callbacks for their results. It is not thread-safe.
class Calls {
 public:
  using Done = std::function<void(const CallResult&)>;

  // Assigns a unique number to the call and queues it. `done` is called once with its result.
  void start(Call call, Done done) {
    call.number = next_++;
    pending_.emplace(call.number, std::move(done));
    queued_.push_back(std::move(call));
  }
  // Passes the result to the callback of the call. A second result of the same call is ignored.
  void complete(std::uint64_t number, const CallResult& result) {
    auto found = pending_.extract(number);
    if (!found.empty()) found.mapped()(result);
  }
  // Removes and returns the calls that were queued since the previous drain().
  std::vector<Call> drain() { return std::exchange(queued_, {}); }

 private:
  std::uint64_t next_ = 1;
  std::unordered_map<std::uint64_t, Done> pending_;
  std::vector<Call> queued_;
};

}  // namespace reachhoist::wire
