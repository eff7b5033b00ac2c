#include "service/leader/machine_lifecycle.hpp"

#include <utility>

namespace reachhoist::service {

namespace {
// A host name in a JSON array takes two quotes and a comma in addition to its text.
constexpr std::size_t kJsonItemOverheadBytes = 3;
}  // namespace

MachineLifecycle::MachineLifecycle(LeaderState& state, GangCoordinator& gangs, cloud::Client& cloud)
    : state_(state),
      context_(state.context),
      gangs_(gangs),
      cloud_(cloud),
      committer_(state.context.state, state.uniquePrefix() + "-r") {}

void MachineLifecycle::applyMachineType(Machine& machine) const {
  if (!context_.catalog) return;
  const wire::MachineType* machineType = wire::findMachineType(*context_.catalog, machine.machineType);
  if (machineType == nullptr) return;
  machine.capacity = machineType->capacity;
  machine.imageCacheGb = machineType->imageCacheGb;
  machine.imagePullGbPerS = machineType->imagePullGbPerS;
}

void MachineLifecycle::drain(Machine& machine, const char* why, DrainMode mode) {
  if (machine.phase != MachinePhase::up && machine.phase != MachinePhase::booting) return;
  machine.decommissionReason = why;
  machine.setPhase(MachinePhase::draining, context_.now);
  context_.logEvent(LogLevel::info, "draining", {{"machine", machine.host.text}, {"why", why}});
  for (Attempt& attempt : machine.attempts) {
    if (mode == DrainMode::graceful && !attempt.isService) continue;
    gangs_.stop(machine, attempt, attempt.stopGracePeriodS(), constants::kUnlimitedStopTimeS, why);
  }
}

void MachineLifecycle::decommission(Machine& machine, const char* why) {
  if (machine.phase == MachinePhase::terminating || machine.phase == MachinePhase::decommissioning) return;
  machine.decommissionReason = why;
  machine.setPhase(MachinePhase::decommissioning, context_.now);
  context_.logEvent(LogLevel::info, "decommissioning", {{"machine", machine.host.text}, {"why", why}});
}

void MachineLifecycle::evictForSpotNotice(Machine& machine) {
  const double timeUntilReclaimS = wire::toSeconds(*machine.spotNoticeAt - context_.now);
  for (Attempt& attempt : machine.attempts) {
    if (!attempt.holdsCapacity() || attempt.phase == AttemptPhase::planned) continue;
    const jobs::Job* job = state_.jobs.find(attempt.task.job.text);
    const double expectedRunTimeS = job != nullptr ? job->spec.expectedRunTimeS : 0;
    const bool running = attempt.phase == AttemptPhase::running;
    const double runTimeS = running ? wire::toSeconds(context_.now - attempt.runningSince) : 0;
    const bool endsInTime = !attempt.isService && running && expectedRunTimeS - runTimeS < timeUntilReclaimS;
    if (endsInTime) continue;
    gangs_.stop(machine, attempt, attempt.stopGracePeriodS(), timeUntilReclaimS, "spot notice");
  }
}

void MachineLifecycle::processEmptyMachines() {
  for (auto& [host, machine] : state_.machines.all()) {
    if (machine.phase == MachinePhase::draining && machine.attempts.empty()) {
      machine.setPhase(MachinePhase::decommissioning, context_.now);
    } else if (machine.phase == MachinePhase::up && machine.spotNoticeAt && machine.attempts.empty()) {
      drain(machine, "spot notice");
    }
  }
}

void MachineLifecycle::writeDecommissioning() {
  if (committer_.isBusy()) return;
  std::vector<std::string> newHosts;
  // One key names every machine that is being released. Each write drops the machines that have been
  // terminated.
  Json hostList = Json::array();
  std::size_t hostListBytes = 0;
  const auto fits = [&](const std::string& host) {
    hostListBytes += host.size() + kJsonItemOverheadBytes;
    return hostListBytes < state_.valueSizeLimitBytes;
  };
  for (const auto& [host, machine] : state_.machines.all())
    if (machine.phase == MachinePhase::terminating && fits(host)) hostList.push_back(host);
  for (auto& [host, machine] : state_.machines.all()) {
    if (machine.phase != MachinePhase::decommissioning || machine.transactionInFlight || !fits(host))
      continue;
    machine.transactionInFlight = true;
    hostList.push_back(host);
    newHosts.push_back(host);
  }
  if (newHosts.empty()) return;
  state::Transaction transaction;
  transaction.conditions = state_.partitionConditions();
  transaction.conditions.push_back({kDecommissioningKey, revision_});
  transaction.writes.push_back({kDecommissioningKey, Json{{"hosts", std::move(hostList)}}, std::nullopt});
  committer_.commit(
      context_.now, state::Urgency::placement, std::move(transaction),
      [this, newHosts](const state::Outcome& outcome) { onDecommissioningWritten(newHosts, outcome); });
}

void MachineLifecycle::onDecommissioningWritten(const std::vector<std::string>& hosts,
                                                const state::Outcome& outcome) {
  const bool applied = outcome.verdict == state::Verdict::applied;
  if (applied) revision_ = outcome.revision;
  for (const std::string& host : hosts) {
    Machine* machine = state_.machines.find(host);
    if (machine == nullptr) continue;
    machine->transactionInFlight = false;
    if (!applied) continue;
    machine->setPhase(MachinePhase::terminating, context_.now);
    cloud_.release(context_.now, host);
  }
  if (!applied) state_.onTransactionRefused(outcome, "retiring");
}

}  // namespace reachhoist::service
