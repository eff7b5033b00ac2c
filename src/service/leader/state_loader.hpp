// Loads the records of earlier leaders at the start of a term.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "cloud/client.hpp"
#include "machines/placement_batches.hpp"
#include "service/leader/completion_records.hpp"
#include "service/leader/gang_coordinator.hpp"
#include "service/leader/leader_state.hpp"
#include "service/leader/machine_lifecycle.hpp"
#include "state/callback_guard.hpp"

namespace reachhoist::service {

// Reads all kinds of records from the key-value store and then passes them to the leader's components.
class StateLoader {
 public:
  StateLoader(LeaderState& state, CompletionRecords& records, GangCoordinator& gangs,
              MachineLifecycle& lifecycle, cloud::Client& cloud);
  StateLoader(const StateLoader&) = delete;

  // Sends the reads that are due. When all records have been read, applies them and returns true. Must not be
  // called again after that.
  bool tick();

 private:
  // The kinds of records, in the order in which they are read.
  enum class RecordKind { completions, jobs, placementBatches, decommissioning };
  // A stored chunk of the completed tasks of a job array.
  struct CompletionChunk {
    std::string ref;
    std::uint32_t chunk;
    std::string hex;
    std::uint64_t revision;
  };

  static std::string prefixOf(RecordKind kind);
  // Starts to read each kind that has not been read completely, from its first record.
  void startReads();
  void startRead(RecordKind kind);
  void confirmJobs();
  void listRecords(RecordKind kind, const std::string& after);
  void onRecordsListed(RecordKind kind, const wire::CallResult& result);
  // `name` is the key without the prefix of its kind.
  void adoptRecord(RecordKind kind, const std::string& name, const Json& value, std::uint64_t revision);
  void adoptPlacementBatch(const std::string& name, const Json& value, std::uint64_t revision);
  void adoptMachine(const machines::BatchedHost& record, std::uint32_t batch);
  void adoptCompletionChunk(const std::string& name, const Json& value, std::uint64_t revision);
  void adoptDecommissioning(const Json& value, std::uint64_t revision);

  // Applies the records in the order in which they depend on each other.
  void apply();
  void applyCompletions();
  void applyDecommissioning();
  void applyMachines();
  void applyAttempt(Attempt& attempt);

  LeaderState& state_;
  Context& context_;
  CompletionRecords& records_;
  GangCoordinator& gangs_;
  MachineLifecycle& lifecycle_;
  cloud::Client& cloud_;
  std::set<RecordKind> unreadKinds_{RecordKind::completions, RecordKind::jobs, RecordKind::placementBatches,
                                    RecordKind::decommissioning};
  int readsInFlight_ = 0;
  Time retryAt_{};
  std::vector<CompletionChunk> completionChunks_;
  std::vector<std::string> decommissionedHosts_;
  state::CallbackGuard guard_;
};

}  // namespace reachhoist::service
