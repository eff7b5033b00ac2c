#include "cluster/partitions.hpp"

#include "config/constants.hpp"

namespace reachhoist::cluster {

PartitionId partitionOf(std::string_view name, unsigned partitionCount) {
  // The hash is 64-bit FNV-1a. Unlike std::hash it never changes, which matters because the result outlives
  // the program.
  constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffsetBasis;
  for (const char c : name) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kPrime;
  }
  return static_cast<PartitionId>((hash >> 32U) % partitionCount);
}

std::string partitionKey(PartitionId partition) { return "parts/" + std::to_string(partition); }

std::uint64_t fencingToken(std::uint64_t term, std::uint64_t sequence) {
  return (term << static_cast<unsigned>(constants::kFencingTokenTermShiftBits)) + sequence;
}

}  // namespace reachhoist::cluster
