// Partitions (shards) of the machines: a machine is hashed to one partition for ever, and all partitions are
// held by the leader.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace reachhoist::cluster {

// Index of a partition, below the partition count.
using PartitionId = unsigned;

// The partition of a machine by its name: a stable hash (FNV-1a) modulo the partition count (> 0).
PartitionId partitionOf(std::string_view name, unsigned partitionCount);
// Stored key of a partition's record {"owner":..,"term":..}.
std::string partitionKey(PartitionId partition);

// Fencing token of a command: the term in the high bits, and below it a sequence number that invalidates
// older commands to the same machine.
std::uint64_t fencingToken(std::uint64_t term, std::uint64_t sequence);

}  // namespace reachhoist::cluster
