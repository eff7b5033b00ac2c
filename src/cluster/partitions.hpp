// Partitions (shards) of the machines: a machine is hashed to a partition for ever; partitions are owned by
// the leader, and only the owner changes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace reachhoist::cluster {

// Index of a partition, below the partition count.
using PartitionId = unsigned;

// The partition of a machine by its name: a stable hash (FNV-1a) modulo the partition count (> 0).
PartitionId partitionOf(std::string_view name, unsigned parts);
// Stored key of a partition's record {"owner":..,"term":..}.
std::string partitionKey(PartitionId part);

// Fencing token of a command: the term in the high bits, and below it a counter by which older commands to
// one machine are made void.
std::uint64_t token(std::uint64_t term, std::uint64_t fence);

}  // namespace reachhoist::cluster
