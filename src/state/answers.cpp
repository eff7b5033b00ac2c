#include "state/answers.hpp"

#include "wire/http_status.hpp"

namespace reachhoist::state {

using wire::Json;

namespace {

std::uint64_t keyRevision(const Json& entry) { return wire::countField(entry, "stamp").value_or(0); }

std::optional<std::uint64_t> storeRevision(const wire::CallResult& result) {
  return wire::countField(result.body, "ledger");
}

// Returns the list in a field of a successful answer; null if there is none.
const Json* answerList(const wire::CallResult& result, const char* key) {
  const Json* list = wire::field(result.body, key);
  return result.ok() && list != nullptr && list->is_array() ? list : nullptr;
}

std::optional<KeyValue> decodeEvent(const Json& event) {
  if (auto writtenKey = wire::textField(event, "write")) {
    const Json* value = wire::field(event, "value");
    if (value == nullptr) return std::nullopt;
    return KeyValue{std::move(*writtenKey), value, keyRevision(event)};
  }
  if (auto deletedKey = wire::textField(event, "delete"))
    return KeyValue{std::move(*deletedKey), nullptr, keyRevision(event)};
  return std::nullopt;
}
}  // namespace

std::optional<RangePage> decodePage(const wire::CallResult& result) {
  const Json* pairs = answerList(result, "pairs");
  const auto revision = storeRevision(result);
  if (pairs == nullptr || !revision) return std::nullopt;
  RangePage page;
  page.revision = *revision;
  page.hasMore = wire::flagField(result.body, "more").value_or(false) && !pairs->empty();
  for (const Json& pair : *pairs) {
    auto key = wire::textField(pair, "key");
    const Json* value = wire::field(pair, "value");
    if (key && value != nullptr) page.entries.push_back({std::move(*key), value, keyRevision(pair)});
  }
  return page;
}

std::optional<WatchBatch> decodeWatch(const wire::CallResult& result) {
  const Json* events = answerList(result, "news");
  const auto revision = storeRevision(result);
  if (events == nullptr || !revision) return std::nullopt;
  WatchBatch batch;
  batch.revision = *revision;
  for (const Json& event : *events)
    if (auto change = decodeEvent(event)) batch.events.push_back(std::move(*change));
  return batch;
}

std::optional<KeyRead> decodeRead(const wire::CallResult& result) {
  const auto revision =
      result.status == http::kNotFound ? storeRevision(result) : wire::countField(result.body, "stamp");
  if ((!result.ok() && result.status != http::kNotFound) || !revision) return std::nullopt;
  return KeyRead{result.ok() ? wire::field(result.body, "value") : nullptr, *revision};
}

std::uint64_t appliedRevision(const wire::CallResult& result) { return storeRevision(result).value_or(0); }

std::vector<std::string> failedConditions(const wire::CallResult& result) {
  std::vector<std::string> failedKeys;
  const Json* keys = wire::field(result.body, "failed");
  if (keys == nullptr || !keys->is_array()) return failedKeys;
  for (const Json& key : *keys)
    if (key.is_string()) failedKeys.push_back(key.get<std::string>());
  return failedKeys;
}

std::optional<std::uint64_t> grantedLeaseId(const wire::CallResult& result) {
  if (!result.ok()) return std::nullopt;
  return wire::countField(result.body, "permit");
}

}  // namespace reachhoist::state
