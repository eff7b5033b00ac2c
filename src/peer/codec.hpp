// Messages between controllers as values; Cap'n Proto on the wire (serialization only).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace reachhoist::peer {

struct Relay {
  std::uint64_t number = 0;
  std::string heartbeat;
};
struct Relayed {
  std::uint64_t number = 0;
  int status = 503;
  std::string body;
};
struct JobProgress {
  std::string ref;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};
struct Progress {
  std::uint64_t term = 0;
  std::vector<JobProgress> jobs;
};
struct Heartbeat {
  std::uint64_t term = 0;  // the last one that the sender knows of
  bool leading = false;    // the sender leads under it
  bool confirmed = false;  // the state service has answered the sender lately
};
struct Message {
  std::string from;
  std::variant<Relay, Relayed, Progress, Heartbeat> what;
};

std::string encode(const Message& message);
// Nothing when the frame is malformed.
std::optional<Message> decode(const std::string& frame);

}  // namespace reachhoist::peer
