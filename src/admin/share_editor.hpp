// Changes of the fair-share table on behalf of operators: read, modify, compare-and-swap write, and retry
// until the change is applied or the deadline has passed. Uses a client of the key-value store; has no
// sockets.
#pragma once

#include <functional>
#include <memory>

#include "shares/table.hpp"
#include "state/client.hpp"

namespace reachhoist::admin {

using wire::Time;

// Outcome of a change of the table.
enum class EditVerdict {
  changed,           // written
  repeated,          // this request id has been applied before; nothing was written
  staleGeneration,   // the table's generation is not the expected one
  invalid,           // the change or its result breaks the table's rules
  tableAbsent,       // no table is stored: shares are off
  tableUndecodable,  // the stored table can't be decoded
  unavailable,       // no definite answer in time; the change may or may not have been applied
};

// What the operator is told of a change.
struct EditResult {
  EditVerdict verdict = EditVerdict::unavailable;
  std::uint64_t generation = 0;  // of the stored table; 0 where it is not known
  config::FieldError problem;    // empty unless the change failed
};

// The result of a change that got no definite answer by its deadline.
EditResult unavailableResult();

// One change in progress. Callbacks of the client hold a reference, so it lives until the last one has run.
class ShareEdit : public std::enable_shared_from_this<ShareEdit> {
 public:
  // reading: a read of the stored table is in flight. writing: the compare-and-swap is in flight. waiting:
  // for the next attempt, after a backoff. finished: the outcome has been reported.
  enum class State { reading, writing, waiting, finished };
  using Done = std::function<void(const EditResult&)>;

  // client and settings must outlive the edit. done is called exactly once if tick() is called until
  // isFinished().
  ShareEdit(state::Client& client, const config::Settings& settings, shares::Change change, Time deadline,
            Done done);
  // Begins the first attempt; to be called once.
  void start(Time now);
  // Drives retries and the deadline; call periodically until isFinished().
  void tick(Time now);
  // Whether the outcome has been reported.
  bool isFinished() const { return state_ == State::finished; }

 private:
  void to(State next) { state_ = next; }
  void read();
  void onRead(const wire::CallResult& result);
  void write(const shares::Table& table, std::uint64_t revision);
  void onWritten(const wire::CallResult& result, std::uint64_t generation);
  void scheduleRetry();
  void finish(const EditResult& result);

  state::Client& client_;
  const config::Settings& settings_;
  shares::Change change_;
  Time deadline_;
  Done done_;
  State state_ = State::reading;
  Time now_{};
  Time retryAt_{};
};

}  // namespace reachhoist::admin
