// Jobs as stored in the key-value store, and, for the leader, the state of each task of the jobs it owns.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.hpp"
#include "jobs/failures.hpp"
#include "wire/exchange.hpp"

namespace reachhoist::jobs {

using wire::Json;
using wire::Time;

enum class JobPhase { accepted, done, cancelled };
std::string_view name(JobPhase phase);

// The state of a gang (gang scheduling), as the leader sees it. waiting: for free capacity, with nothing of
// an earlier attempt left. reserving: its places are being written, in one transaction or several; nothing is
// started before the last. gathering: started, its tasks fetch their images and wait for each other. running:
// all do. stopping: all have been told to stop, saving if they can. clearing: the attempt has failed, and
// what is left of it is stopped. done: one task was reported done, so all are.
enum class GangState : std::uint8_t { waiting, reserving, gathering, running, stopping, clearing, done };
std::string_view name(GangState phase);

struct Gang {
  GangState phase = GangState::waiting;
  std::uint64_t number = 0;  // of the attempt, the same for all its tasks
  int failures = 0;          // in a row
  int partialScaleOuts = 0;  // rentals in a row that did not get all the machines it needs
  Time nextScaleOut{};       // no machines are rented for it before

  // The cloud gave fewer machines than were asked for.
  void scaleOutFellShort(Time now);

  // The one function that changes a gang's state.
  void to(GangState next) { phase = next; }
};

enum class TaskPhase : std::uint8_t { waiting, placed, completed };

struct Job {
  wire::JobSpec spec;  // when final: only ref, loads, team and size
  JobPhase phase = JobPhase::accepted;
  std::uint64_t revision = 0;
  std::int64_t acceptedMs = 0;  // time of day of the first acceptance

  // For display where this controller doesn't own the job.
  std::uint32_t displayedDone = 0;
  std::uint32_t displayedRunning = 0;

  // The leader's view.
  std::vector<TaskPhase> tasks;
  std::uint32_t waiting = 0;
  std::uint32_t placed = 0;
  std::uint32_t running = 0;
  std::uint32_t completed = 0;
  std::uint32_t firstWaiting = 0;                        // no task below this one is waiting
  std::map<std::uint32_t, std::uint64_t> doneRevisions;  // chunk -> stamp of its key
  std::set<std::uint32_t> dirtyChunks;                   // completions not durable yet
  FailureAttribution failures;
  Time backoffUntil{};  // a gang whose attempt failed is not tried again before
  Time waitingSince{};
  Time lastPlaced{};  // or begun to be owned
  Gang gang;

  bool open() const { return phase == JobPhase::accepted; }
  bool isGang() const { return spec.kind == wire::JobKind::gang; }
  bool finished() const { return spec.kind != wire::JobKind::service && completed == spec.taskCount; }
  wire::JobStage displayedStage() const;
  // The one function that changes a task's phase.
  void to(std::uint32_t index, TaskPhase next, Time now);
  void beginTracking(Time now);
  void endTracking();
  std::string doneChunk(std::uint32_t chunk) const;
  bool loadDoneChunk(std::uint32_t chunk, const std::string& hex, std::uint64_t revision, Time now);
  std::int64_t dueMs() const;  // time of day; the largest value when there is none
};

std::string jobKey(const std::string& ref);
std::string doneKey(const std::string& ref, std::uint32_t chunk);
Json encodeOpen(const Job& job);
Json encodeFinal(const Job& job, JobPhase phase);

class JobTable;
// Whether the key is a record of progress of a job that has ended.
bool endedDoneKey(JobTable& jobs, const std::string& key);

class JobTable {
 public:
  enum class Change { none, accepted, ended, malformed };
  // Takes a key of the state service; older stamps than the one known change nothing.
  Change apply(const std::string& ref, const Json& value, std::uint64_t revision);
  Job* find(const std::string& ref);
  const std::set<std::string>& open() const { return open_; }
  std::size_t size() const { return jobs_.size(); }

 private:
  std::unordered_map<std::string, Job> jobs_;
  std::set<std::string> open_;
};

}  // namespace reachhoist::jobs
