// Calls to outside systems as values: decisions ask for them here, whoever runs the decisions carries them
// out.
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

inline Duration seconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}
inline double toSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }

enum class Service { state, cloud, worker };

struct Call {
  std::uint64_t number = 0;
  Service to = Service::state;
  std::string endpoint;
  std::string method;
  std::string path;
  Json body;  // null: none
  std::chrono::milliseconds timeout{0};
};

struct CallResult {
  int status = 0;     // 0: no answer, or one that could not be read
  bool sent = false;  // false: the other side certainly got nothing
  Json body;
  bool tooLarge = false;  // the answer was longer than is taken, and would be again
  bool ok() const { return status == 200; }
  bool unknown() const { return status == 0 && sent; }
};

class Calls {
 public:
  using Done = std::function<void(const CallResult&)>;

  void start(Call call, Done done) {
    call.number = next_++;
    pending_.emplace(call.number, std::move(done));
    out_.push_back(std::move(call));
  }
  void complete(std::uint64_t number, const CallResult& result) {
    auto found = pending_.extract(number);
    if (!found.empty()) found.mapped()(result);
  }
  std::vector<Call> drain() { return std::exchange(out_, {}); }

 private:
  std::uint64_t next_ = 1;
  std::unordered_map<std::uint64_t, Done> pending_;
  std::vector<Call> out_;
};

}  // namespace reachhoist::wire
