// Messages between controllers, encoded with Cap'n Proto (serialization only). They carry no authority: that
// comes from the key-value store alone.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace reachhoist::peer {

// A worker's heartbeat that reached a follower, passed on to the leader.
struct RelayRequest {
  std::uint64_t number = 0;  // chosen by the sender; the response repeats it
  std::string heartbeat;     // the request's body as received
};

// The leader's answer to a relayed heartbeat.
struct RelayResponse {
  std::uint64_t number = 0;  // of the request
  int status = 503;          // HTTP status
  std::string body;          // CBOR; empty unless the status is 200
};

// Task counts of one job.
struct JobProgress {
  std::string ref;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};

// Progress of jobs that are not final; for display only.
struct Progress {
  std::uint64_t term = 0;  // of the leader that sends it
  std::vector<JobProgress> jobs;
};

// Sent by each controller to each sibling; proves that the link works.
struct Heartbeat {
  std::uint64_t term = 0;       // highest term that the sender knows of
  bool leading = false;         // the sender leads under this term
  bool storeConfirmed = false;  // the key-value store has answered the sender lately
};

using Payload = std::variant<RelayRequest, RelayResponse, Progress, Heartbeat>;

// A payload with the label of its sender.
struct Message {
  std::string from;
  Payload payload;
};

// The message as one Cap'n Proto frame.
std::string encode(const Message& message);
// Decodes one frame; nothing when it is malformed.
std::optional<Message> decode(const std::string& frame);

}  // namespace reachhoist::peer
