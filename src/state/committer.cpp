#include "state/committer.hpp"

#include "state/answers.hpp"
#include "wire/http_status.hpp"

namespace reachhoist::state {

namespace {
constexpr const char* kUnknownKey = "?";
}  // namespace

void Committer::commit(Time now, Urgency urgency, Transaction transaction, Done done) {
  now_ = now;
  transaction_ = std::move(transaction);
  urgency_ = urgency;
  done_ = std::move(done);
  maybeApplied_ = false;
  mark_ = markPrefix_ + std::to_string(++markCount_);
  readBackKey_.clear();
  for (Write& write : transaction_.writes) {
    if (!write.value) continue;
    (*write.value)["mark"] = mark_;
    if (readBackKey_.empty()) readBackKey_ = write.key;
  }
  send(now);
}

void Committer::abandon() {
  guard_.revoke();
  done_ = nullptr;
  transitionTo(State::idle);
}

void Committer::tick(Time now) {
  now_ = now;
  if (state_ != State::backingOff || now < retryAt_) return;
  if (!failedKeys_.empty()) {
    readBack();
  } else {
    send(now);
  }
}

void Committer::send(Time now) {
  transitionTo(State::sending);
  failedKeys_.clear();
  client_.transact(now, urgency_, transaction_,
                   guard_.wrap([this](const wire::CallResult& result) { onAnswer(result); }));
}

void Committer::backOff(Time now) {
  retryAt_ = now + constants::kStateBackoff;
  transitionTo(State::backingOff);
}

void Committer::finish(const Outcome& outcome) {
  transitionTo(State::idle);
  const Done done = std::move(done_);
  done_ = nullptr;
  if (done) done(outcome);
}

void Committer::onAnswer(const wire::CallResult& result) {
  if (result.ok()) return finish(Outcome{Verdict::applied, appliedRevision(result), {}});
  if (result.status == http::kConflict) return onConflict(failedConditions(result));
  if (result.status == http::kBadRequest || result.status == http::kContentTooLarge)
    return finish(Outcome{Verdict::refused, 0, {kUnknownKey}});
  if (result.isOutcomeUnknown()) maybeApplied_ = true;
  backOff(now_);
}

void Committer::onConflict(std::vector<std::string> failedKeys) {
  failedKeys_ = std::move(failedKeys);
  if (failedKeys_.empty()) failedKeys_.emplace_back(kUnknownKey);
  // An earlier attempt whose answer was lost can have been applied. In that case its own writes make the
  // preconditions fail now.
  if (maybeApplied_ && !readBackKey_.empty()) return readBack();
  finish(Outcome{Verdict::refused, 0, failedKeys_});
}

void Committer::readBack() {
  transitionTo(State::readingBack);
  client_.get(now_, urgency_, readBackKey_,
              guard_.wrap([this](const wire::CallResult& result) { onReadBack(result); }));
}

void Committer::onReadBack(const wire::CallResult& result) {
  if (!result.ok() && result.status != http::kNotFound) return backOff(now_);
  const Json* value = result.ok() ? wire::field(result.body, "value") : nullptr;
  if (value != nullptr && wire::textField(*value, "mark") == mark_)
    return finish(Outcome{Verdict::applied, wire::countField(result.body, "stamp").value_or(0), {}});
  // Preconditions that failed once never hold again, so the transaction cannot be applied late either.
  finish(Outcome{Verdict::refused, 0, failedKeys_});
}

}  // namespace reachhoist::state
