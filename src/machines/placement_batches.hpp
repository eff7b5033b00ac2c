// Durable placements as placement record batches. A batch is one key of the key-value store and holds the
// placement records of many task attempts on many machines, so that one compare-and-swap carries a whole
// scheduling round. The next write of a batch leaves out attempts that have become free.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "machines/machines.hpp"

namespace reachhoist::machines {

// What the leader knows of one stored batch.
struct PlacementBatch {
  std::uint64_t revision = 0;   // 0: not written yet
  std::size_t bytes = 0;        // what is still held in it, counted in JSON form
  std::set<std::string> hosts;  // machines that its last written value names
};

std::string placementBatchKey(std::uint32_t number);

struct BatchedHost {
  std::string host;
  std::string machineType;
  std::string zone;
  bool spot = false;
  std::vector<std::pair<wire::TaskId, std::uint64_t>> placed;
};
// Nothing when the record is malformed.
std::optional<std::vector<BatchedHost>> decodePlacementBatch(const Json& value);

// The placement record batches of the leader, sized against the store's value size limit in bytes.
class PlacementBatchTable {
 public:
  explicit PlacementBatchTable(std::size_t valueBytes) : valueSizeLimit_(valueBytes) {}

  void clear() { batches_.clear(); }
  void loaded(std::uint32_t number, std::uint64_t revision, std::set<std::string> hosts);
  std::uint64_t revision(std::uint32_t number) const;
  void written(std::uint32_t number, std::uint64_t revision, std::set<std::string> hosts) {
    loaded(number, revision, std::move(hosts));
  }
  // Pages that name the machine.
  std::vector<std::uint32_t> naming(const std::string& host) const;
  std::size_t size() const { return batches_.size(); }

  // Counts anew what each page still holds.
  void recountBytes(const MachineTable& machines);
  // Finds room for an attempt: on a page of this round, on another half empty one, or on a new one. Nothing
  // when the round's pages are full.
  std::optional<std::uint32_t> place(const Machine& machine, const Attempt& attempt,
                                     std::set<std::uint32_t>& round, std::size_t pagesMost);
  // A page that an earlier version wrote under larger limits: what no longer fits moves to other pages, which
  // join the round. Each step is safe by itself: until the page itself is written it goes on naming what has
  // moved. Whether it may be written now.
  bool shrink(MachineTable& machines, std::uint32_t number, std::set<std::uint32_t>& round,
              std::size_t pagesMost);
  // The pages' next values.
  std::map<std::uint32_t, Json> encode(const MachineTable& machines,
                                       const std::set<std::uint32_t>& numbers) const;

 private:
  std::map<std::uint32_t, PlacementBatch> batches_;
  std::size_t valueSizeLimit_;
};

}  // namespace reachhoist::machines
