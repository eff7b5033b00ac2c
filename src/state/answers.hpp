// Typed answers of the key-value store. A value points into the body of the result from which it was decoded,
// and that result must outlive it.
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
  const wire::Json* value = nullptr;  // null if the key was deleted
  std::uint64_t revision = 0;         // mod revision of the key
};

// One page of a listing.
struct RangePage {
  std::vector<KeyValue> entries;  // in key order
  std::uint64_t revision = 0;     // revision of the store when the page was read
  bool hasMore = false;           // whether further pages follow
};

// The changes of a watched key range.
struct WatchBatch {
  std::vector<KeyValue> events;  // in revision order
  std::uint64_t revision = 0;    // all changes up to this revision are included
};

// The answer to the read of one key.
struct KeyRead {
  const wire::Json* value = nullptr;  // null if the key does not exist
  std::uint64_t revision = 0;         // mod revision of the key, or the store's revision if there is no key
};

// Decode the answers to Client::list(), Client::watch() and Client::get(). They return nothing if the call
// failed or its answer is malformed.
std::optional<RangePage> decodePage(const wire::CallResult& result);
std::optional<WatchBatch> decodeWatch(const wire::CallResult& result);
std::optional<KeyRead> decodeRead(const wire::CallResult& result);

// Returns the revision at which a transaction was applied; 0 if the answer has none.
std::uint64_t appliedRevision(const wire::CallResult& result);
// Returns the keys whose failed preconditions made the store refuse a transaction.
std::vector<std::string> failedConditions(const wire::CallResult& result);
// Returns the id of a new lease; nothing if the call failed.
std::optional<std::uint64_t> grantedLeaseId(const wire::CallResult& result);

}  // namespace reachhoist::state
