// Changes of the fair-share table on behalf of operators. An edit reads the table, modifies it and writes it
// by compare-and-swap, and retries until the change is applied or the deadline has passed. It does its I/O
// through a client of the key-value store and has no sockets of its own.
#pragma once

#include <functional>
#include <memory>

#include "shares/table.hpp"
#include "state/client.hpp"

namespace reachhoist::admin {

using wire::Time;

// Outcome of a change of the table.
enum class EditVerdict {
  changed,           // the changed table was written
  repeated,          // this request id was applied before, so nothing was written
  staleGeneration,   // the table's generation is not the expected one
  invalid,           // the change or the resulting table violates the table's rules
  tableAbsent,       // no table is stored, because fair shares are disabled
  tableUndecodable,  // the stored table can't be decoded
  unavailable,       // the store gave no definite answer in time; the change may have been applied
};

// The answer to the operator who requested a change.
struct EditResult {
  EditVerdict verdict = EditVerdict::unavailable;
  std::uint64_t generation = 0;  // of the stored table; 0 if it is unknown
  config::FieldError problem;    // empty unless the change failed
};

// Returns the result of a change for which the store gave no definite answer by the deadline.
EditResult unavailableResult();

// One change in progress. The callbacks of its calls share ownership of it, so it lives at least until the
// last of them has run.
class ShareEdit : public std::enable_shared_from_this<ShareEdit> {
 public:
  enum class State {
    reading,   // a read of the stored table is in flight
    writing,   // the compare-and-swap write is in flight
    waiting,   // the backoff before the next attempt is running
    finished,  // the outcome has been reported
  };
  using Done = std::function<void(const EditResult&)>;

  // `client` and `settings` must outlive the edit. The edit calls `done` exactly once, provided that the
  // caller calls tick() until isFinished() returns true.
  ShareEdit(state::Client& client, const config::Settings& settings, shares::Change change, Time deadline,
            Done done);
  // Begins the first attempt. Must be called only once.
  void start(Time now);
  // Starts a due retry, or ends the edit at its deadline. Must be called periodically until isFinished()
  // returns true.
  void tick(Time now);
  // Returns whether the outcome has been reported.
  bool isFinished() const { return state_ == State::finished; }

 private:
  void setState(State state) { state_ = state; }
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
