// A serial writer to the key-value store: carries one compare-and-swap transaction at a time to a definite
// verdict, despite outages, rate limits and lost answers.
#pragma once

#include <functional>

#include "state/callback_guard.hpp"
#include "state/client.hpp"

namespace reachhoist::state {

// Whether a transaction's writes took effect (applied) or its preconditions failed (refused).
enum class Verdict { applied, refused };

// The definite result of a transaction.
struct Outcome {
  Verdict verdict = Verdict::refused;
  std::uint64_t revision = 0;  // mod revision of every key written, when applied
  std::vector<std::string>
      failedKeys;  // keys whose preconditions did not hold, when refused ("?" if unknown)
};

// Serial writer with one transaction in flight. Every value written must be a JSON object: it gets a mark by
// which, after an answer was lost, a read-back tells whether this very transaction was applied.
class Committer {
 public:
  // idle: nothing in flight. sending: the transaction is sent. pausing: backing off before a retry.
  // readingBack: reading a written key to learn whether a try whose answer was lost was applied.
  enum class State { idle, sending, pausing, readingBack };
  // Called once with the definite outcome, unless the transaction is abandoned first.
  using Done = std::function<void(const Outcome&)>;

  // markPrefix: unique to this writer (and its incarnation), so that marks never repeat.
  Committer(Client& client, std::string markPrefix) : client_(client), markPrefix_(std::move(markPrefix)) {}

  // Whether a transaction is in flight; commit() may be called only when not busy.
  bool isBusy() const { return state_ != State::idle; }
  // Starts the transaction; retries it on outages and rate limits until its verdict is known.
  void commit(Time now, Urgency urgency, Transaction transaction, Done done);
  // Forgets the transaction under way; its outcome will not be told.
  void abandon();
  // Drives retries after a back-off; call on each tick of the event loop.
  void tick(Time now);

 private:
  void to(State next) { state_ = next; }
  void send(Time now);
  void pause(Time now);
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
  bool maybeApplied_ = false;  // an earlier try may have been applied
  std::vector<std::string> failedKeys_;
  Time now_{};
  Time resumeAt_{};
  CallbackGuard guard_;  // revoked when the transaction is abandoned
};

}  // namespace reachhoist::state
