#include "service/leader/sizing_state_store.hpp"

#include <utility>

namespace reachhoist::service {

namespace {
constexpr const char* kSizingStateKey = "fleet/learned";
}  // namespace

void SizingStateStore::load() {
  nextSaveAt_ = context_.now + constants::kSizingStateSaveInterval;
  context_.state.get(context_.now, state::Urgency::completion, kSizingStateKey,
                     guard_.wrap([this](const wire::CallResult& result) {
                       if (!result.ok()) return;
                       const Json* value = wire::field(result.body, "value");
                       if (value == nullptr || !sizing_.decode(*value))
                         context_.logEvent(LogLevel::error, "bad_record", {{"key", kSizingStateKey}});
                     }));
}

void SizingStateStore::tick() {
  if (context_.now < nextSaveAt_) return;
  nextSaveAt_ = context_.now + constants::kSizingStateSaveInterval;
  state::Transaction transaction;
  transaction.conditions = state_.partitionConditions();
  transaction.writes.push_back({kSizingStateKey, sizing_.encode(state_.valueSizeLimitBytes), std::nullopt});
  context_.state.transact(context_.now, state::Urgency::background, transaction, [](const auto&) {});
}

}  // namespace reachhoist::service
