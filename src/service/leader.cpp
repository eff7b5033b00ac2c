#include "service/leader.hpp"

#include <chrono>
#include <utility>

namespace reachhoist::service {

Leader::Leader(Context& context, cluster::Leadership& leadership, state::Feed& jobFeed, jobs::JobTable& jobs,
               std::uint64_t term, std::vector<std::uint64_t> partitionRevisions)
    : context_(context),
      state_(context, leadership, jobFeed, jobs, term, std::move(partitionRevisions)),
      commands_(state_, {[this](const Attempt& attempt) { return gangs_.canStart(attempt); },
                         [this](const wire::TaskId& task) { return records_.isCompletionDurable(task); },
                         [this](Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
                           heartbeats_.apply(machine, heartbeat, HeartbeatSource::directCall);
                         }}),
      records_(state_,
               {[this](jobs::Job& job) { onJobEnded(job); }, [this] { commands_.scheduleForgetCommands(); }}),
      gangs_(state_, commands_, records_),
      cloud_(context.calls, context.settings, state_.uniquePrefix(),
             {[this](const auto& pool, const auto& hosts, std::size_t refused) {
                autoscaler_.onProvisioned(pool, hosts, refused);
              },
              [this](const auto& hosts) { inventory_.onReleased(hosts); },
              [this](const auto& hosts) { inventory_.onListed(hosts); },
              [this](std::vector<wire::MachineType> catalog) { context_.catalog = std::move(catalog); }}),
      lifecycle_(state_, gangs_, cloud_),
      bootMonitor_(state_, lifecycle_),
      taskFailures_(state_, lifecycle_),
      attempts_(state_, gangs_, taskFailures_, records_),
      inventory_(state_, lifecycle_, attempts_),
      heartbeats_(state_, commands_, lifecycle_, attempts_, bootMonitor_, inventory_),
      scheduler_(state_, commands_, gangs_, attempts_),
      partitionDetector_(context.settings),
      failover_(state_, lifecycle_, scheduler_, partitionDetector_),
      prober_(state_, commands_, heartbeats_),
      failureDetector_(state_, lifecycle_, attempts_, taskFailures_, prober_, failover_, partitionDetector_),
      autoscaler_(state_, lifecycle_, inventory_, bootMonitor_, scheduler_, failover_, partitionDetector_,
                  cloud_),
      loader_(state_, records_, gangs_, lifecycle_, cloud_) {}

void Leader::onResumed(wire::Duration suspendedFor) {
  // The suspended process could receive no heartbeats, so the contact times are shifted. The leases of
  // machines are not, because they kept running meanwhile.
  for (auto& [host, machine] : state_.machines.all()) {
    machine.contact.lastHeartbeatAt += suspendedFor;
    machine.contact.lastDirectContactAt += suspendedFor;
    if (machine.contact.unacknowledgedSince != Time{}) machine.contact.unacknowledgedSince += suspendedFor;
  }
  partitionDetector_.reset();
}

void Leader::tick() {
  if (state_.hasResigned()) return;
  if (phase_ == Phase::loading) {
    if (loader_.tick()) startActing();
    return;
  }
  cloud_.tick(context_.now);
  failureDetector_.tick();
  bootMonitor_.tick();
  lifecycle_.processEmptyMachines();
  advance();
  if (state_.hasResigned()) return;
  lifecycle_.writeDecommissioning();
  records_.deleteObsoleteKeys();
  autoscaler_.tick();
  autoscaler_.saveSizingState();
  scheduler_.updateShares();
}

void Leader::startActing() {
  phase_ = Phase::acting;
  state_.recordsLoadedAt = context_.now;
  autoscaler_.loadSizingState();
  const auto loadTime =
      std::chrono::duration_cast<std::chrono::milliseconds>(context_.now - state_.electedAt);
  context_.logEvent(LogLevel::info, "leader_ready",
                    {{"term", state_.term},
                     {"machines", state_.machines.all().size()},
                     {"open_jobs", state_.jobs.openJobs().size()},
                     {"load_ms", loadTime.count()}});
}

void Leader::advance() {
  if (state_.hasResigned() || phase_ != Phase::acting) return;
  records_.tick();
  scheduler_.tick();
  lifecycle_.tick();
  records_.write();
  scheduler_.startRound();
  if (!state_.hasResigned()) commands_.sendDirectCommands();
}

HeartbeatResponse Leader::onHeartbeat(const wire::WorkerHeartbeat& heartbeat, HeartbeatSource source) {
  if (phase_ != Phase::acting) return {};
  return heartbeats_.onHeartbeat(heartbeat, source);
}

void Leader::onJobAccepted(jobs::Job& job) {
  if (phase_ != Phase::acting) return;
  job.beginTracking(context_.now);
  state_.requestPlacementRound();
}

void Leader::onJobEnded(jobs::Job& job) {
  if (phase_ != Phase::acting) return;
  const std::string ref = job.spec.ref.text;
  job.endTracking();
  records_.forgetJob(ref);
  publishedCounts_.erase(ref);
  for (auto& [host, machine] : state_.machines.all()) {
    for (Attempt& attempt : machine.attempts)
      if (attempt.task.job.text == ref) commands_.stop(machine, attempt, 0);
    AttemptTracker::eraseReleased(machine);
  }
  state_.requestPlacementRound();
}

peer::Progress Leader::progress(bool allJobs) {
  peer::Progress message;
  message.term = state_.term;
  if (phase_ != Phase::acting) return message;
  for (const std::string& ref : state_.jobs.openJobs()) {
    const jobs::Job& job = *state_.jobs.find(ref);
    const TaskCounts counts{job.completedCount, job.runningCount};
    TaskCounts& published = publishedCounts_[ref];
    if (!allJobs && published == counts) continue;
    published = counts;
    if (counts != TaskCounts{} || !allJobs)
      message.jobs.push_back(peer::JobProgress{ref, job.completedCount, job.runningCount});
  }
  return message;
}

}  // namespace reachhoist::service
