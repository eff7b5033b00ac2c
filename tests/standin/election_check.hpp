// Connects the key-value store with the checker's rules about elections.
#pragma once

#include <string>

#include "standin/checker.hpp"
#include "standin/key_value_store.hpp"

namespace standin {

// The stored key of the leader, as the controllers write it.
inline constexpr const char* kLeaderKey = "leader";

// Passes a write of a key of the elections to the checker; ignores other keys.
void checkElectionWrite(Checker& checker, double atS, const KeyValueStore& store, const std::string& key);

}  // namespace standin
