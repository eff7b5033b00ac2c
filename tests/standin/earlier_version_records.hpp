// Starts a simulated world from the records that an earlier version of the service stored.
#pragma once

#include <map>
#include <string>

#include "machines/placement_batches.hpp"
#include "standin/workload.hpp"
#include "wire/exchange.hpp"

namespace standin {

class World;

// Puts the records of an earlier version into the key-value store, and starts machines that run the tasks
// which those records place.
class EarlierVersionRecords {
 public:
  EarlierVersionRecords(World& world, const reachhoist::wire::Json& records)
      : world_(world), records_(records) {}
  void load();

 private:
  void loadJob(const std::string& ref, const reachhoist::wire::Json& record);
  // Loads a chunk of completions. Its name is "REF/CHUNK": the job's reference and the number of the chunk.
  void loadCompletions(const std::string& name, const reachhoist::wire::Json& record);
  void markCompleted(const reachhoist::wire::TaskId& task);
  void startMachines();
  void launchTasks(const reachhoist::machines::BatchedHost& host);

  World& world_;
  const reachhoist::wire::Json& records_;
  std::map<reachhoist::wire::TaskId, std::uint64_t> latestAttempts_;  // earlier attempts have ended
};

}  // namespace standin
