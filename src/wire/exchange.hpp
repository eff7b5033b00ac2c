// Calls to outside systems as values: the decision code queues them here, and the program around it sends
// them and reports their results. So the decision code does no I/O itself.
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

// Conversions between seconds and durations.
inline Duration seconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}
inline double toSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }

// The outside systems: the key-value store, the cloud, and the workers.
enum class Service { state, cloud, worker };

// One HTTP request to an outside system.
struct Call {
  std::uint64_t number = 0;  // by which its result is reported
  Service to = Service::state;
  std::string endpoint;  // "ip:port"
  std::string method;
  std::string path;
  Json body;  // null: none
  std::chrono::milliseconds timeout{0};
};

// The result of a call.
struct CallResult {
  int status = 0;     // 0: no answer, or one that could not be read
  bool sent = false;  // false: certainly nothing reached the other side
  Json body;
  bool tooLarge = false;  // the answer exceeded the size limit, and would do so again
  bool ok() const { return status == 200; }
  // Whether the call may have been carried out though no answer came.
  bool unknown() const { return status == 0 && sent; }
};

// Queue of calls to be sent, and of the callbacks that wait for their results. Not thread-safe.
class Calls {
 public:
  using Done = std::function<void(const CallResult&)>;

  // Queues the call under a number of its own; done is called once with its result.
  void start(Call call, Done done) {
    call.number = next_++;
    pending_.emplace(call.number, std::move(done));
    queued_.push_back(std::move(call));
  }
  // Reports the result of a call; ignored if it has been reported before.
  void complete(std::uint64_t number, const CallResult& result) {
    auto found = pending_.extract(number);
    if (!found.empty()) found.mapped()(result);
  }
  // Removes and returns the calls queued since the last time.
  std::vector<Call> drain() { return std::exchange(queued_, {}); }

 private:
  std::uint64_t next_ = 1;
  std::unordered_map<std::uint64_t, Done> pending_;
  std::vector<Call> queued_;
};

}  // namespace reachhoist::wire
