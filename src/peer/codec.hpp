// Messages between controllers. Cap'n Proto serializes them, and its RPC system is not used. They carry no
// authority, since only the key-value store grants leadership.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace reachhoist::peer {

// A worker's heartbeat that a follower received and forwards to the leader.
struct RelayRequest {
  std::uint64_t number = 0;  // chosen by the sender and repeated in the response
  std::string heartbeat;     // the body of the worker's request, unchanged
};

// The leader's answer to a relayed heartbeat.
struct RelayResponse {
  std::uint64_t number = 0;  // the number of the request
  int status = 503;          // HTTP status of the answer
  std::string body;          // CBOR body of the answer; empty unless the status is 200
};

// The task counts of one job.
struct JobProgress {
  std::string ref;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};

// The progress of the jobs that are not final. It is only displayed, and no decision depends on it.
struct Progress {
  std::uint64_t term = 0;  // the term of the leader that sends the message
  std::vector<JobProgress> jobs;
};

// A message that each controller sends to each sibling periodically. Its arrival shows that the link works.
struct Heartbeat {
  std::uint64_t term = 0;       // the highest term that the sender has seen
  bool leading = false;         // The sender is the leader of this term.
  bool storeConfirmed = false;  // The key-value store has answered the sender recently.
};

using Payload = std::variant<RelayRequest, RelayResponse, Progress, Heartbeat>;

// A payload with the label of its sender.
struct Message {
  std::string from;
  Payload payload;
};

// Encodes the message as one Cap'n Proto frame.
std::string encode(const Message& message);
// Decodes one frame. Returns nothing if the frame is malformed.
std::optional<Message> decode(const std::string& frame);

}  // namespace reachhoist::peer
