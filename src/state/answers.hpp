// Typed answers of the key-value store. A value points into the body of the result that it was decoded from,
// which must outlive it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/exchange.hpp"

namespace reachhoist::state {

// A key and its value at a revision.
struct KeyValue {
  std::string key;
  const wire::Json* value = nullptr;  // null: the key was deleted
  std::uint64_t revision = 0;         // of the key's last change
};

// One page of a listing.
struct RangePage {
  std::vector<KeyValue> entries;  // in key order
  std::uint64_t revision = 0;     // of the store when the page was read
  bool more = false;              // there are further pages
};

// The changes of a watched key range.
struct WatchBatch {
  std::vector<KeyValue> events;  // in revision order
  std::uint64_t revision = 0;    // everything up to here has been told
};

// The answer to the read of one key.
struct KeyRead {
  const wire::Json* value = nullptr;  // null: there is no such key
  std::uint64_t revision = 0;         // of the key's last change, or of the store if there is no such key
};

// The answers to Client::list(), Client::watch() and Client::get(): nothing if the call failed or its answer
// is malformed.
std::optional<RangePage> decodePage(const wire::CallResult& result);
std::optional<WatchBatch> decodeWatch(const wire::CallResult& result);
std::optional<KeyRead> decodeRead(const wire::CallResult& result);

// The revision at which a transaction was applied; 0 if the answer has none.
std::uint64_t appliedRevision(const wire::CallResult& result);
// The keys whose preconditions made the store refuse a transaction.
std::vector<std::string> failedConditions(const wire::CallResult& result);
// The id of the lease that was granted; nothing if the call failed.
std::optional<std::uint64_t> grantedLease(const wire::CallResult& result);

}  // namespace reachhoist::state
