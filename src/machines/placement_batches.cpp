// Decoding, size estimates and encoding of placement batches.
#include "machines/placement_batches.hpp"

#include <algorithm>

namespace reachhoist::machines {

namespace {
// Quotes, brackets and the spot flag around a machine's names.
constexpr std::size_t kHostOverheadBytes = 24;
// The number, the task index and the punctuation of an attempt.
constexpr std::size_t kAttemptOverheadBytes = 24;
// The enclosing object and the transaction's marker.
constexpr std::size_t kBatchOverheadBytes = 96;

std::size_t estimatedHostBytes(const Machine& machine) {
  return kHostOverheadBytes + machine.host.text.size() + machine.machineType.size() + machine.zone.size();
}
std::size_t estimatedAttemptBytes(const Attempt& attempt) {
  return kAttemptOverheadBytes + attempt.task.job.text.size();
}
}  // namespace

std::string placementBatchKey(std::uint32_t number) { return "placed/" + std::to_string(number); }

std::optional<std::vector<BatchedHost>> decodePlacementBatch(const Json& value) {
  const Json* hosts = wire::field(value, "hosts");
  if (hosts == nullptr || !hosts->is_object()) return std::nullopt;
  std::vector<BatchedHost> decoded;
  for (const auto& [host, entry] : hosts->items()) {
    if (!entry.is_array() || entry.size() != 4 || !entry[0].is_string() || !entry[1].is_string() ||
        !entry[2].is_boolean() || !entry[3].is_array() || entry[3].size() % 2 != 0)
      return std::nullopt;
    BatchedHost record{
        host, entry[0].get<std::string>(), entry[1].get<std::string>(), entry[2].get<bool>(), {}};
    const Json& list = entry[3];
    for (std::size_t i = 0; i < list.size(); i += 2) {
      const auto task = list[i].is_string() ? wire::parseTaskId(list[i].get<std::string>()) : std::nullopt;
      if (!task || !list[i + 1].is_number_unsigned()) return std::nullopt;
      record.placed.push_back(BatchedAttempt{*task, list[i + 1].get<std::uint64_t>()});
    }
    decoded.push_back(std::move(record));
  }
  return decoded;
}

std::uint64_t PlacementBatchTable::revision(std::uint32_t number) const {
  const auto found = batches_.find(number);
  return found == batches_.end() ? 0 : found->second.revision;
}

void PlacementBatchTable::setStored(std::uint32_t number, std::uint64_t revision,
                                    std::set<std::string> hosts) {
  PlacementBatch& batch = batches_[number];
  batch.revision = revision;
  batch.hosts = std::move(hosts);
}

std::vector<std::uint32_t> PlacementBatchTable::batchesContaining(const std::string& host) const {
  std::vector<std::uint32_t> numbers;
  for (const auto& [number, batch] : batches_)
    if (batch.hosts.contains(host)) numbers.push_back(number);
  return numbers;
}

void PlacementBatchTable::recountBytes(const MachineTable& machines) {
  for (auto& [number, batch] : batches_) batch.estimatedBytes = kBatchOverheadBytes;
  std::vector<std::uint32_t> countedBatches;
  for (const auto& [host, machine] : machines.all()) {
    countedBatches.clear();
    for (const Attempt& attempt : machine.attempts) {
      if (!attempt.batch) continue;
      PlacementBatch& batch = batches_[*attempt.batch];
      batch.estimatedBytes += estimatedAttemptBytes(attempt);
      if (std::find(countedBatches.begin(), countedBatches.end(), *attempt.batch) != countedBatches.end())
        continue;
      countedBatches.push_back(*attempt.batch);
      batch.estimatedBytes += estimatedHostBytes(machine);
    }
  }
}

std::optional<std::uint32_t> PlacementBatchTable::assignBatch(const Machine& machine, const Attempt& attempt,
                                                              std::set<std::uint32_t>& roundBatches,
                                                              std::size_t maxRoundBatches) {
  // If the batch names the machine already, counting it again overestimates the size, which is safe.
  const std::size_t bytes = estimatedAttemptBytes(attempt) + estimatedHostBytes(machine);
  const auto addTo = [&](std::uint32_t number) {
    batches_[number].estimatedBytes += bytes;
    roundBatches.insert(number);
    return number;
  };
  for (const std::uint32_t number : roundBatches)
    if (batches_[number].estimatedBytes + bytes <= valueSizeLimitBytes_) return addTo(number);
  if (roundBatches.size() >= maxRoundBatches) return std::nullopt;
  if (const auto emptiest = emptiestBatch(roundBatches)) return addTo(*emptiest);
  const std::uint32_t added = batches_.empty() ? 0 : batches_.rbegin()->first + 1;
  batches_[added].estimatedBytes = kBatchOverheadBytes;
  return addTo(added);
}

std::optional<std::uint32_t> PlacementBatchTable::emptiestBatch(
    const std::set<std::uint32_t>& roundBatches) const {
  // Batches that are more than half full are not chosen, as rewriting them would gain little room.
  std::optional<std::uint32_t> emptiest;
  std::size_t leastBytes = 0;
  for (const auto& [number, batch] : batches_) {
    if (roundBatches.contains(number) || batch.estimatedBytes > valueSizeLimitBytes_ / 2) continue;
    if (emptiest && batch.estimatedBytes >= leastBytes) continue;
    emptiest = number;
    leastBytes = batch.estimatedBytes;
  }
  return emptiest;
}

bool PlacementBatchTable::shrinkBatch(MachineTable& machines, std::uint32_t number,
                                      std::set<std::uint32_t>& roundBatches, std::size_t maxRoundBatches) {
  if (fits(number)) return roundBatches.size() < maxRoundBatches;
  for (auto& [host, machine] : machines.all())
    if (!moveExcess(machine, number, roundBatches, maxRoundBatches)) return false;
  return fits(number) && roundBatches.size() < maxRoundBatches;
}

bool PlacementBatchTable::moveExcess(Machine& machine, std::uint32_t number,
                                     std::set<std::uint32_t>& roundBatches, std::size_t maxRoundBatches) {
  std::size_t inBatch = 0;
  std::size_t moved = 0;
  for (Attempt& attempt : machine.attempts) {
    if (attempt.batch != number) continue;
    ++inBatch;
    if (fits(number)) continue;
    // One of the round's batches is reserved for the batch that is being shrunk.
    const auto other = assignBatch(machine, attempt, roundBatches, maxRoundBatches - 1);
    if (!other) return false;
    attempt.batch = other;
    batches_[number].estimatedBytes -= estimatedAttemptBytes(attempt);
    ++moved;
  }
  if (moved > 0 && moved == inBatch) batches_[number].estimatedBytes -= estimatedHostBytes(machine);
  return true;
}

std::map<std::uint32_t, Json> PlacementBatchTable::encode(const MachineTable& machines,
                                                          const std::set<std::uint32_t>& numbers) const {
  std::map<std::uint32_t, Json> values;
  for (const std::uint32_t number : numbers) values[number] = Json{{"hosts", Json::object()}};
  for (const auto& [host, machine] : machines.all()) {
    for (const Attempt& attempt : machine.attempts) {
      if (!attempt.batch || attempt.phase == AttemptPhase::released) continue;
      const auto batch = values.find(*attempt.batch);
      if (batch == values.end()) continue;
      Json& entry = batch->second["hosts"][host];
      if (entry.is_null())
        entry = Json::array({machine.machineType, machine.zone, machine.spot, Json::array()});
      entry[3].push_back(attempt.task.str());
      entry[3].push_back(attempt.number);
    }
  }
  return values;
}

}  // namespace reachhoist::machines
