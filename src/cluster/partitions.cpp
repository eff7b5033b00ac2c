#include "cluster/partitions.hpp"

#include "config/constants.hpp"

namespace reachhoist::cluster {

PartitionId partitionOf(std::string_view name, unsigned parts) {
  // FNV-1a, 64 bits: fixed for ever, unlike std::hash, since the result outlives the program.
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char c : name) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 1099511628211ULL;
  }
  return static_cast<PartitionId>((hash >> 32U) % parts);
}

std::string partitionKey(PartitionId part) { return "parts/" + std::to_string(part); }

std::uint64_t token(std::uint64_t term, std::uint64_t fence) {
  return (term << static_cast<unsigned>(constants::kFencingTokenTermShift)) + fence;
}

}  // namespace reachhoist::cluster
