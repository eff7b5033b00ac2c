// Partitions (shards) of the machines. A machine is hashed permanently to one partition, and the leader holds
// all partitions.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace reachhoist::cluster {

// The index of a partition, less than the partition count.
using PartitionId = unsigned;

// Returns the partition of a machine: a stable hash (FNV-1a) of its name modulo the partition count (> 0).
PartitionId partitionOf(std::string_view name, unsigned partitionCount);
// Returns the stored key of a partition's record {"owner":..,"term":..}.
std::string partitionKey(PartitionId partition);

// Returns the fencing token of a command. It has the term in its high bits and, below them, a sequence number
// that invalidates older commands to the same machine.
std::uint64_t fencingToken(std::uint64_t term, std::uint64_t sequence);

}  // namespace reachhoist::cluster
