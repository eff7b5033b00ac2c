// A serial writer to the key-value store. It brings one compare-and-swap transaction at a time to a definite
// verdict despite outages, rate limits and lost answers.
#pragma once

#include <functional>

#include "state/callback_guard.hpp"
#include "state/client.hpp"

namespace reachhoist::state {

// applied: the transaction's writes took effect. refused: its preconditions failed, or the store rejected it
// as invalid or too large.
enum class Verdict { applied, refused };

// The definite result of a transaction.
struct Outcome {
  Verdict verdict = Verdict::refused;
  std::uint64_t revision = 0;           // if applied: mod revision of every written key
  std::vector<std::string> failedKeys;  // if refused: keys whose preconditions failed; "?" if unknown
};

// A serial writer with one transaction in flight. Every written value must be a JSON object. It gets a mark
// by which a read-back, after an answer was lost, finds whether this transaction was applied.
class Committer {
 public:
  // idle: no transaction is in flight. sending: the transaction is sent. backingOff: the writer waits before
  // a retry. readingBack: it reads a written key to find whether an attempt whose answer was lost was
  // applied.
  enum class State { idle, sending, backingOff, readingBack };
  // Called once with the definite outcome, unless abandon() is called first.
  using Done = std::function<void(const Outcome&)>;

  // `markPrefix` must be unique to this writer and its incarnation, so that marks never repeat.
  Committer(Client& client, std::string markPrefix) : client_(client), markPrefix_(std::move(markPrefix)) {}

  // Returns whether a transaction is in flight. commit() can be called only if none is.
  bool isBusy() const { return state_ != State::idle; }
  // Starts the transaction, and retries it on outages and rate limits until its verdict is known.
  void commit(Time now, Urgency urgency, Transaction transaction, Done done);
  // Drops the transaction in flight without reporting its outcome.
  void abandon();
  // Drives retries after a back-off. It must be called on each tick of the event loop.
  void tick(Time now);

 private:
  void transitionTo(State next) { state_ = next; }
  void send(Time now);
  void backOff(Time now);
  void finish(const Outcome& outcome);
  void onAnswer(const wire::CallResult& result);
  void onConflict(std::vector<std::string> failedKeys);
  void readBack();
  void onReadBack(const wire::CallResult& result);

  Client& client_;
  std::string markPrefix_;
  std::uint64_t markCount_ = 0;
  State state_ = State::idle;
  Transaction transaction_;
  Urgency urgency_ = Urgency::background;
  Done done_;
  std::string mark_;
  std::string readBackKey_;
  bool maybeApplied_ = false;  // whether an earlier attempt with a lost answer can have been applied
  std::vector<std::string> failedKeys_;
  Time now_{};
  Time retryAt_{};
  CallbackGuard guard_;  // revoked when the transaction is abandoned
};

}  // namespace reachhoist::state
