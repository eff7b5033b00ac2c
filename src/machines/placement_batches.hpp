// Placement batches, the durable form of placements. A batch is one key of the key-value store and holds the
// placement records of many task attempts on many machines, so that one compare-and-swap transaction carries
// a whole scheduling round. The next write of a batch omits attempts that have been released.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "machines/machines.hpp"

namespace reachhoist::machines {

// The leader's state of one batch.
struct PlacementBatch {
  std::uint64_t revision = 0;      // of the stored value; 0 if the batch has not been written yet
  std::size_t estimatedBytes = 0;  // size of its next value in JSON form
  std::set<std::string> hosts;     // machines named in the stored value
};

// The key of a batch.
std::string placementBatchKey(std::uint32_t number);

// The placement record of one task attempt.
struct BatchedAttempt {
  wire::TaskId task;
  std::uint64_t number = 0;  // attempt number
  bool operator==(const BatchedAttempt&) const = default;
};

// A machine in a batch, with its placement records.
struct BatchedHost {
  std::string host;
  std::string machineType;
  std::string zone;
  bool spot = false;
  std::vector<BatchedAttempt> placed;
};

// The machines of a stored batch; nothing if the value is malformed.
std::optional<std::vector<BatchedHost>> decodePlacementBatch(const Json& value);

// The placement batches of the leader. Not thread-safe.
class PlacementBatchTable {
 public:
  // `valueSizeLimitBytes` is the largest size of a batch, derived from the store's value size limit.
  explicit PlacementBatchTable(std::size_t valueSizeLimitBytes) : valueSizeLimitBytes_(valueSizeLimitBytes) {}

  void clear() { batches_.clear(); }
  // Records the stored state of a batch after it has been loaded or written.
  void setStored(std::uint32_t number, std::uint64_t revision, std::set<std::string> hosts);
  // The revision of the stored batch; 0 if there is none.
  std::uint64_t revision(std::uint32_t number) const;
  // The numbers of the batches whose stored value names the machine.
  std::vector<std::uint32_t> batchesContaining(const std::string& host) const;
  std::size_t size() const { return batches_.size(); }

  // Recomputes the estimated size of each batch's next value.
  void recountBytes(const MachineTable& machines);
  // Chooses the batch for a new attempt: one that this round writes already, one that is at most half full,
  // or a new one. The batch is added to `roundBatches`. Returns nothing if the round would have to write more
  // than `maxRoundBatches`.
  std::optional<std::uint32_t> assignBatch(const Machine& machine, const Attempt& attempt,
                                           std::set<std::uint32_t>& roundBatches,
                                           std::size_t maxRoundBatches);
  // Shrinks a batch that an earlier version wrote under a larger size limit. Attempts beyond the limit move
  // to other batches, which are added to `roundBatches`. A crash between the writes loses nothing: until the
  // batch itself is written, its stored value still names the moved attempts. Returns whether the batch can
  // be written now.
  bool shrinkBatch(MachineTable& machines, std::uint32_t number, std::set<std::uint32_t>& roundBatches,
                   std::size_t maxRoundBatches);
  // The next values of the given batches, by batch number.
  std::map<std::uint32_t, Json> encode(const MachineTable& machines,
                                       const std::set<std::uint32_t>& numbers) const;

 private:
  // Moves attempts of the machine to other batches until the batch fits. False if no batch can take an
  // attempt.
  bool moveExcess(Machine& machine, std::uint32_t number, std::set<std::uint32_t>& roundBatches,
                  std::size_t maxRoundBatches);
  bool fits(std::uint32_t number) { return batches_[number].estimatedBytes <= valueSizeLimitBytes_; }
  // The emptiest batch that the round does not write yet, if it is at most half full.
  std::optional<std::uint32_t> emptiestBatch(const std::set<std::uint32_t>& roundBatches) const;

  std::map<std::uint32_t, PlacementBatch> batches_;
  std::size_t valueSizeLimitBytes_;
};

}  // namespace reachhoist::machines
