// Runs a transaction to a definite verdict: through outages, refusals of the budget and lost answers.
#pragma once

#include <functional>
#include <memory>

#include "state/client.hpp"

namespace reachhoist::state {

enum class Verdict { applied, refused };

struct Outcome {
  Verdict verdict = Verdict::refused;
  std::uint64_t stamp = 0;          // of every key written, when applied
  std::vector<std::string> failed;  // conditions that did not hold, when refused
};

// One transaction at a time. Every value written must be a map: it gets a mark by which it is told, after an
// answer was lost, whether this very transaction was carried out.
class Committer {
 public:
  enum class State { idle, sending, pausing, readingBack };
  using Done = std::function<void(const Outcome&)>;

  Committer(Client& client, std::string markPrefix) : client_(client), markPrefix_(std::move(markPrefix)) {}

  bool busy() const { return state_ != State::idle; }
  void commit(Time now, Urgency urgency, Transaction transaction, Done done);
  // Forgets the transaction under way; its outcome will not be told.
  void abandon();
  void tick(Time now);

 private:
  void to(State next) { state_ = next; }
  void send(Time now);
  void pause(Time now);
  void finish(const Outcome& outcome);
  void onAnswer(const wire::CallResult& result);
  void readBack();
  void onReadBack(const wire::CallResult& result);

  Client& client_;
  std::string markPrefix_;
  std::uint64_t marks_ = 0;
  State state_ = State::idle;
  Transaction transaction_;
  Urgency urgency_ = Urgency::rest;
  Done done_;
  std::string mark_;
  std::string markedKey_;
  bool unknown_ = false;  // an earlier try may have been carried out
  std::vector<std::string> failed_;
  Time now_{};
  Time resumeAt_{};
  // Answers to an abandoned transaction find that its token is gone.
  std::shared_ptr<int> token_ = std::make_shared<int>(0);
};

}  // namespace reachhoist::state
