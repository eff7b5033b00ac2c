#include "state/transaction.hpp"

namespace reachhoist::state {

void Committer::commit(Time now, Urgency urgency, Transaction transaction, Done done) {
  now_ = now;
  transaction_ = std::move(transaction);
  urgency_ = urgency;
  done_ = std::move(done);
  unknown_ = false;
  mark_ = markPrefix_ + std::to_string(++marks_);
  markedKey_.clear();
  for (Write& write : transaction_.writes) {
    if (!write.value) continue;
    (*write.value)["mark"] = mark_;
    if (markedKey_.empty()) markedKey_ = write.key;
  }
  send(now);
}

void Committer::abandon() {
  token_ = std::make_shared<int>(0);
  done_ = nullptr;
  to(State::idle);
}

void Committer::tick(Time now) {
  now_ = now;
  if (state_ != State::pausing || now < resumeAt_) return;
  if (!failed_.empty()) {
    readBack();
  } else {
    send(now);
  }
}

void Committer::send(Time now) {
  to(State::sending);
  failed_.clear();
  client_.multi(now, urgency_, transaction_, [this, token = std::weak_ptr<int>(token_)](const auto& result) {
    if (token.lock()) onAnswer(result);
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
        if (key.is_string()) failed_.push_back(key.get<std::string>());
    }
    if (failed_.empty()) failed_.emplace_back("?");
    // A lost answer may have been a yes, and then its own changes are why the conditions fail now.
    if (unknown_ && !markedKey_.empty()) return readBack();
    return finish(Outcome{Verdict::refused, 0, failed_});
  }
  if (result.status == 400 || result.status == 413) return finish(Outcome{Verdict::refused, 0, {"?"}});
  if (result.unknown()) unknown_ = true;
  pause(now_);
}

void Committer::readBack() {
  to(State::readingBack);
  client_.get(now_, urgency_, markedKey_, [this, token = std::weak_ptr<int>(token_)](const auto& result) {
    if (token.lock()) onReadBack(result);
  });
}

void Committer::onReadBack(const wire::CallResult& result) {
  if (!result.ok() && result.status != 404) return pause(now_);
  const Json* value = result.ok() ? wire::field(result.body, "value") : nullptr;
  if (value != nullptr && wire::textField(*value, "mark") == mark_)
    return finish(Outcome{Verdict::applied, wire::countField(result.body, "stamp").value_or(0), {}});
  // Conditions that failed once never hold again, so it can't be carried out late either.
  finish(Outcome{Verdict::refused, 0, failed_});
}

}  // namespace reachhoist::state
