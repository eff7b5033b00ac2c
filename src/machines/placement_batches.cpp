// Placement record batches: decoding, sizing and encoding; see placement_batches.hpp.
#include "machines/placement_batches.hpp"

#include <algorithm>

namespace reachhoist::machines {

namespace {
constexpr std::size_t kHostFrame = 24;     // bytes of quotes, brackets and the flag around a machine's names
constexpr std::size_t kAttemptFrame = 24;  // bytes of an attempt's number, index and punctuation
constexpr std::size_t kPageFrame = 96;     // bytes of the frame and the transaction's mark

std::size_t hostBytes(const Machine& machine) {
  return kHostFrame + machine.host.text.size() + machine.machineType.size() + machine.zone.size();
}
std::size_t attemptBytes(const Attempt& attempt) { return kAttemptFrame + attempt.task.job.text.size(); }
}  // namespace

std::string placementBatchKey(std::uint32_t number) { return "placed/" + std::to_string(number); }

std::optional<std::vector<BatchedHost>> decodePlacementBatch(const Json& value) {
  const Json* hosts = wire::field(value, "hosts");
  if (hosts == nullptr || !hosts->is_object()) return std::nullopt;
  std::vector<BatchedHost> out;
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
      record.placed.emplace_back(*task, list[i + 1].get<std::uint64_t>());
    }
    out.push_back(std::move(record));
  }
  return out;
}

std::uint64_t PlacementBatchTable::revision(std::uint32_t number) const {
  const auto found = batches_.find(number);
  return found == batches_.end() ? 0 : found->second.revision;
}

void PlacementBatchTable::loaded(std::uint32_t number, std::uint64_t revision, std::set<std::string> hosts) {
  PlacementBatch& page = batches_[number];
  page.revision = revision;
  page.hosts = std::move(hosts);
}

std::vector<std::uint32_t> PlacementBatchTable::naming(const std::string& host) const {
  std::vector<std::uint32_t> out;
  for (const auto& [number, page] : batches_)
    if (page.hosts.contains(host)) out.push_back(number);
  return out;
}

void PlacementBatchTable::recountBytes(const MachineTable& machines) {
  for (auto& [number, page] : batches_) page.bytes = kPageFrame;
  std::vector<std::uint32_t> seen;
  for (const auto& [host, machine] : machines.all()) {
    seen.clear();
    for (const Attempt& attempt : machine.attempts) {
      if (!attempt.batch) continue;
      PlacementBatch& page = batches_[*attempt.batch];
      page.bytes += attemptBytes(attempt);
      if (std::find(seen.begin(), seen.end(), *attempt.batch) != seen.end()) continue;
      seen.push_back(*attempt.batch);
      page.bytes += hostBytes(machine);
    }
  }
}

std::optional<std::uint32_t> PlacementBatchTable::place(const Machine& machine, const Attempt& attempt,
                                                        std::set<std::uint32_t>& round,
                                                        std::size_t pagesMost) {
  // Its machine may stand in the page already; counted again, the page errs on the small side.
  const std::size_t bytes = attemptBytes(attempt) + hostBytes(machine);
  const auto take = [&](std::uint32_t number) {
    batches_[number].bytes += bytes;
    round.insert(number);
    return number;
  };
  for (const std::uint32_t number : round)
    if (batches_[number].bytes + bytes <= valueSizeLimit_) return take(number);
  if (round.size() >= pagesMost) return std::nullopt;
  // The emptiest page, if it is half empty: fuller ones would be written again for little.
  std::optional<std::uint32_t> best;
  for (const auto& [number, page] : batches_) {
    if (round.contains(number) || page.bytes > valueSizeLimit_ / 2) continue;
    if (!best || page.bytes < batches_[*best].bytes) best = number;
  }
  if (best) return take(*best);
  const std::uint32_t fresh = batches_.empty() ? 0 : batches_.rbegin()->first + 1;
  batches_[fresh].bytes = kPageFrame;
  return take(fresh);
}

bool PlacementBatchTable::shrink(MachineTable& machines, std::uint32_t number, std::set<std::uint32_t>& round,
                                 std::size_t pagesMost) {
  if (batches_[number].bytes <= valueSizeLimit_) return round.size() < pagesMost;
  for (auto& [host, machine] : machines.all()) {
    std::size_t left = 0;
    std::size_t moved = 0;
    for (Attempt& attempt : machine.attempts) {
      if (attempt.batch != number) continue;
      ++left;
      // Its own place in the round is kept free.
      if (batches_[number].bytes <= valueSizeLimit_) continue;
      const auto other = place(machine, attempt, round, pagesMost - 1);
      if (!other) return false;
      attempt.batch = other;
      batches_[number].bytes -= attemptBytes(attempt);
      ++moved;
    }
    if (moved > 0 && moved == left) batches_[number].bytes -= hostBytes(machine);
  }
  return batches_[number].bytes <= valueSizeLimit_ && round.size() < pagesMost;
}

std::map<std::uint32_t, Json> PlacementBatchTable::encode(const MachineTable& machines,
                                                          const std::set<std::uint32_t>& numbers) const {
  std::map<std::uint32_t, Json> out;
  for (const std::uint32_t number : numbers) out[number] = Json{{"hosts", Json::object()}};
  for (const auto& [host, machine] : machines.all()) {
    for (const Attempt& attempt : machine.attempts) {
      if (!attempt.batch || attempt.phase == AttemptPhase::free) continue;
      const auto page = out.find(*attempt.batch);
      if (page == out.end()) continue;
      Json& entry = page->second["hosts"][host];
      if (entry.is_null())
        entry = Json::array({machine.machineType, machine.zone, machine.spot, Json::array()});
      entry[3].push_back(attempt.task.str());
      entry[3].push_back(attempt.number);
    }
  }
  return out;
}

}  // namespace reachhoist::machines
