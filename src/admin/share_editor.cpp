#include "admin/share_editor.hpp"

#include <utility>

#include "wire/http_status.hpp"

namespace reachhoist::admin {

namespace {

EditVerdict verdictOf(shares::ChangeVerdict verdict) {
  switch (verdict) {
    case shares::ChangeVerdict::changed:
      return EditVerdict::changed;
    case shares::ChangeVerdict::repeated:
      return EditVerdict::repeated;
    case shares::ChangeVerdict::staleGeneration:
      return EditVerdict::staleGeneration;
    case shares::ChangeVerdict::invalid:
      return EditVerdict::invalid;
  }
  return EditVerdict::invalid;
}

}  // namespace

EditResult unavailableResult() {
  return {EditVerdict::unavailable, 0, {"key-value store", "gave no definite answer in time"}};
}

ShareEdit::ShareEdit(state::Client& client, const config::Settings& settings, shares::Change change,
                     Time deadline, Done done)
    : client_(client),
      settings_(settings),
      change_(std::move(change)),
      deadline_(deadline),
      done_(std::move(done)) {}

void ShareEdit::start(Time now) {
  now_ = now;
  read();
}

void ShareEdit::tick(Time now) {
  now_ = now;
  if (isFinished()) return;
  if (now >= deadline_) return finish(unavailableResult());
  if (state_ == State::waiting && now >= retryAt_) read();
}

void ShareEdit::scheduleRetry() {
  retryAt_ = now_ + constants::kStateBackoff;
  setState(State::waiting);
}

void ShareEdit::finish(const EditResult& result) {
  if (isFinished()) return;
  setState(State::finished);
  done_(result);
}

void ShareEdit::read() {
  setState(State::reading);
  client_.get(now_, state::Urgency::background, shares::kTableKey,
              [self = shared_from_this()](const wire::CallResult& result) {
                if (self->state_ == State::reading) self->onRead(result);
              });
}

void ShareEdit::onRead(const wire::CallResult& result) {
  if (result.status == http::kNotFound)
    return finish(
        {EditVerdict::tableAbsent, 0, {"table", "is not stored, because fair shares are disabled"}});
  const auto revision = wire::countField(result.body, "stamp");
  const wire::Json* value = wire::field(result.body, "value");
  if (!result.ok() || !revision || value == nullptr) return scheduleRetry();
  shares::Table table;
  if (const auto problem = shares::decode(*value, table))
    return finish({EditVerdict::tableUndecodable, 0, *problem});
  const auto outcome = shares::apply(change_, settings_, table);
  if (outcome.verdict != shares::ChangeVerdict::changed)
    return finish({verdictOf(outcome.verdict), outcome.generation, outcome.problem});
  write(table, *revision);
}

void ShareEdit::write(const shares::Table& table, std::uint64_t revision) {
  setState(State::writing);
  state::Transaction transaction;
  transaction.conditions.push_back({shares::kTableKey, revision});
  transaction.writes.push_back({shares::kTableKey, shares::encode(table), std::nullopt});
  client_.transact(
      now_, state::Urgency::background, transaction,
      [self = shared_from_this(), generation = table.generation](const wire::CallResult& result) {
        if (self->state_ == State::writing) self->onWritten(result, generation);
      });
}

void ShareEdit::onWritten(const wire::CallResult& result, std::uint64_t generation) {
  if (result.ok()) return finish({EditVerdict::changed, generation, {}});
  // The write lost a race against another one, or its outcome is unknown. The next read shows which, because
  // the stored table lists the ids of the applied requests.
  scheduleRetry();
}

}  // namespace reachhoist::admin
