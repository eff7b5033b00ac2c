#include "state/transaction.hpp"

namespace reachhoist::state {

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
  alive_ = std::make_shared<int>(0);
  done_ = nullptr;
  to(State::idle);
}

void Committer::tick(Time now) {
  now_ = now;
  if (state_ != State::pausing || now < resumeAt_) return;
  if (!failedKeys_.empty()) {
    readBack();
  } else {
    send(now);
  }
}

void Committer::send(Time now) {
  to(State::sending);
  failedKeys_.clear();
  client_.multi(now, urgency_, transaction_, [this, alive = std::weak_ptr<int>(alive_)](const auto& result) {
    if (alive.lock()) onAnswer(result);
  });
}

void Committer::pause(Time now) {
  resumeAt_ = now + constants::kStateBackoff;
  to(State::pausing);
}

void Committer::finish(const Outcome& outcome) {
  to(State::idle);
  const Done done = std::move(done_);
  done_ = nullptr;
  if (done) done(outcome);
}

void Committer::onAnswer(const wire::CallResult& result) {
  if (result.ok()) {
    finish(Outcome{Verdict::applied, wire::countField(result.body, "ledger").value_or(0), {}});
    return;
  }
  if (result.status == 409) {
    if (const Json* keys = wire::field(result.body, "failed"); keys != nullptr && keys->is_array()) {
      for (const Json& key : *keys)
        if (key.is_string()) failedKeys_.push_back(key.get<std::string>());
    }
    if (failedKeys_.empty()) failedKeys_.emplace_back("?");
    // A lost answer may have been a yes, and then its own changes are why the conditions fail now.
    if (maybeApplied_ && !readBackKey_.empty()) return readBack();
    return finish(Outcome{Verdict::refused, 0, failedKeys_});
  }
  if (result.status == 400 || result.status == 413) return finish(Outcome{Verdict::refused, 0, {"?"}});
  if (result.unknown()) maybeApplied_ = true;
  pause(now_);
}

void Committer::readBack() {
  to(State::readingBack);
  client_.get(now_, urgency_, readBackKey_, [this, alive = std::weak_ptr<int>(alive_)](const auto& result) {
    if (alive.lock()) onReadBack(result);
  });
}

void Committer::onReadBack(const wire::CallResult& result) {
  if (!result.ok() && result.status != 404) return pause(now_);
  const Json* value = result.ok() ? wire::field(result.body, "value") : nullptr;
  if (value != nullptr && wire::textField(*value, "mark") == mark_)
    return finish(Outcome{Verdict::applied, wire::countField(result.body, "stamp").value_or(0), {}});
  // Conditions that failed once never hold again, so it can't be carried out late either.
  finish(Outcome{Verdict::refused, 0, failedKeys_});
}

}  // namespace reachhoist::state
