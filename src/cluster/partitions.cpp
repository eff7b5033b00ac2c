#include "cluster/partitions.hpp"

#include "config/constants.hpp"

namespace reachhoist::cluster {

PartitionId partitionOf(std::string_view name, unsigned partitionCount) {
  // FNV-1a, 64 bits: fixed for ever, unlike std::hash, since the result outlives the program.
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char c : name) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 1099511628211ULL;
  }
  return static_cast<PartitionId>((hash >> 32U) % partitionCount);
}

std::string partitionKey(PartitionId partition) { return "parts/" + std::to_string(partition); }

std::uint64_t fencingToken(std::uint64_t term, std::uint64_t sequence) {
  return (term << static_cast<unsigned>(constants::kFencingTokenTermShiftBits)) + sequence;
}

}  // namespace reachhoist::cluster
