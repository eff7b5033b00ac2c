#include "standin/election_check.hpp"

#include "cluster/leadership.hpp"

namespace standin {

void checkElectionWrite(Checker& checker, double atS, const KeyValueStore& store, const std::string& key) {
  const Json value = store.value(key);
  if (key == kLeaderKey) checker.onElected(atS, value.value("label", ""), value.value("term", 0U));
  if (key == reachhoist::cluster::kTermKey) checker.onTermStored(atS, value.value("term", 0U));
}

}  // namespace standin
