// What workers report, and what it proves.
#include <algorithm>
#include <utility>

#include "service/leader.hpp"

namespace reachhoist::service {

namespace {
// A report that may be answered must not be one that was held back on its way and speaks of an earlier world.
bool newer(const Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  return heartbeat.incarnation > machine.incarnation ||
         (heartbeat.incarnation == machine.incarnation && heartbeat.sequence > machine.sequence);
}
}  // namespace

Leader::HeartbeatResponse Leader::onHeartbeat(const wire::WorkerHeartbeat& heartbeat, Source source) {
  if (state_ != State::acting || resigned_) return {};
  if (!mayRenewLeases()) {
    // It is there all the same: after a long outage machines that kept reporting are not given up for silent.
    Machine* known = machines_.find(heartbeat.host.text);
    if (known != nullptr && newer(*known, heartbeat)) known->contact.lastHeartbeatAt = context_.now;
    return {};
  }
  // A worker that has seen a later term drops our answers, and a 200 would only hold it here until its lease
  // has run out.
  if (heartbeat.token >= cluster::token(term_ + 1, 0)) return {};
  // Gone for good: this is a late copy of what it once sent, and must not bring it back.
  if (releasedUntil_.contains(heartbeat.host.text)) return {};
  Machine* machine = machines_.find(heartbeat.host.text);
  if (machine == nullptr) {
    // Nobody expected it: a late rental, or one of an earlier leader. It is adopted like any other.
    machine = &machines_.add(heartbeat.host.text);
    machine->provisionedAt = context_.now;
    machine->contact.leaseRenewedAt = electedAt_ + context_.settings.answerWindow();
    machine->contact.lastHeartbeatAt = context_.now;
    machine->contact.lastDirectContactAt = context_.now;
  }
  if (!newer(*machine, heartbeat)) return {};
  if (machine->phase == MachinePhase::terminating || machine->phase == MachinePhase::terminated) return {};
  machine->endpoint = heartbeat.endpoint;
  machine->machineType = heartbeat.machineType;
  machine->zone = heartbeat.zone;
  machine->spot = heartbeat.spot;
  describe(*machine);
  if (machine->phase == MachinePhase::booting) {
    machine->setPhase(MachinePhase::up, context_.now);
    boots_.recordBoot(heartbeat.machineType, heartbeat.zone, context_.now - machine->provisionedAt,
                      context_.now);
    context_.event(Level::info, "machine_up",
                   {{"machine", heartbeat.host.text},
                    {"type", heartbeat.machineType},
                    {"zone", heartbeat.zone},
                    {"after_s", wire::toSeconds(context_.now - machine->provisionedAt)}});
  }
  applyHeartbeat(*machine, heartbeat, source);
  machine->contact.unreachable = false;
  machine->contact.lastHeartbeatAt = context_.now;
  machine->contact.leaseRenewedAt = std::max(machine->contact.leaseRenewedAt, context_.now);
  const auto commands = commands_.commandsFor(*machine, source, heartbeat.sequence);
  return HeartbeatResponse{200, wire::encodeCommands(commands_.fencingTokenOf(*machine), commands)};
}

void Leader::applyHeartbeat(Machine& machine, const wire::WorkerHeartbeat& heartbeat, Source source) {
  if (!newer(machine, heartbeat)) return;
  if (heartbeat.incarnation > machine.incarnation) onNewIncarnation(machine, heartbeat);
  machine.sequence = heartbeat.sequence;
  if (source != Source::relay) machine.contact.lastDirectContactAt = context_.now;
  machine.workerToken = std::max(machine.workerToken, heartbeat.token);
  commands_.noteAcknowledgedToken(machine);
  for (Attempt& attempt : machine.attempts) {
    // Once the worker has seen a higher token, the old command can only get a 409.
    if (attempt.unresolvedStartToken && machine.workerToken > *attempt.unresolvedStartToken)
      attempt.unresolvedStartToken.reset();
  }
  if (heartbeat.spotNoticeS && !machine.spotNoticeAt) {
    machine.spotNoticeAt = context_.now + wire::seconds(*heartbeat.spotNoticeS);
    context_.event(Level::info, "spot_notice",
                   {{"machine", machine.host.text}, {"in_s", *heartbeat.spotNoticeS}});
    onSpotNotice(machine);
  }
  for (const wire::TaskStatus& status : heartbeat.tasks) {
    Attempt* attempt = machine.find(status.task, status.attempt);
    if (attempt == nullptr) {
      // Every start had its record first, so this is an attempt that was released: it must not go on.
      Attempt stray;
      stray.task = status.task;
      stray.number = status.attempt;
      stray.inherited = true;
      stray.stopRequested = true;
      stray.phase = AttemptPhase::recorded;
      stray.phaseSince = stray.placedAt = context_.now;
      if (const jobs::Job* job = jobs_.find(status.task.job.text); job != nullptr) {
        stray.resources = job->spec.each;
        stray.team = job->spec.team;
      }
      machine.attempts.push_back(std::move(stray));
      attempt = &machine.attempts.back();
      context_.event(Level::info, "stray_attempt",
                     {{"machine", machine.host.text}, {"task", status.task.str()}});
    }
    applyTaskStatus(machine, *attempt, status);
  }
  if (source != Source::direct) reconcileMissingAttempts(machine, heartbeat);
  eraseFreedAttempts(machine);
  if (!machine.empty()) machine.idleSince = context_.now;
}

void Leader::onNewIncarnation(Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  if (machine.incarnation != 0 && !machine.attempts.empty())
    context_.event(Level::info, "lease_lost",
                   {{"machine", machine.host.text}, {"attempts", machine.attempts.size()}});
  // The worker has killed and forgotten everything of the sessions before. What an earlier leader placed and
  // nobody has seen under this one may belong to the new session: the one known so far may be that of a late
  // copy. Absence decides about it, as always under a new term.
  for (Attempt& attempt : machine.attempts) {
    const bool unseen = attempt.inherited && attempt.incarnation == 0;
    if (machine.incarnation != 0 && attempt.phase != AttemptPhase::planned && !unseen)
      release(machine, attempt, "lease lost");
  }
  eraseFreedAttempts(machine);
  machine.incarnation = heartbeat.incarnation;
  // The new session's lease counts from its beginning, whether or not any of its reports was answered. What
  // is started in it by direct commands goes on for that long.
  machine.contact.leaseRenewedAt = std::max(machine.contact.leaseRenewedAt, context_.now);
  machine.images = {};
}

void Leader::setRunning(Attempt& attempt, AttemptPhase next) {
  const bool was = attempt.isExecuting();
  attempt.setPhase(next, context_.now);
  const bool is = attempt.isExecuting();
  if (was == is) return;
  jobs::Job* job = jobs_.find(attempt.task.job.text);
  if (job == nullptr || job->tasks.empty()) return;
  if (is) {
    ++job->running;
  } else if (job->running > 0) {
    --job->running;
  }
}

void Leader::applyTaskStatus(Machine& machine, Attempt& attempt, const wire::TaskStatus& status) {
  attempt.incarnation = machine.incarnation;
  switch (status.stage) {
    case wire::TaskState::unfamiliar:
      // Whatever a later protocol says of it, it is there.
      if (!std::exchange(unfamiliarLogged_, true))
        context_.event(Level::info, "unfamiliar_state",
                       {{"task", attempt.task.str()}, {"machine", machine.host.text}});
      if (attempt.phase == AttemptPhase::recorded) setRunning(attempt, AttemptPhase::pulling);
      return;
    case wire::TaskState::pulling:
    case wire::TaskState::waiting:
      setRunning(attempt, AttemptPhase::pulling);
      return;
    case wire::TaskState::running:
      if (attempt.phase != AttemptPhase::running && context_.logs(Level::debug))
        context_.event(Level::debug, "running",
                       {{"task", attempt.task.str()},
                        {"machine", machine.host.text},
                        {"after_s", wire::toSeconds(context_.now - attempt.placedAt)}});
      setRunning(attempt, AttemptPhase::running);
      if (!attempt.image.empty()) machine.recordImage(attempt.image, attempt.sizeGb);
      if (attempt.gang)
        if (jobs::Job* job = jobs_.find(attempt.task.job.text); job != nullptr && job->open())
          onGangTaskRunning(*job);
      return;
    case wire::TaskState::saving:
      setRunning(attempt, AttemptPhase::saving);
      return;
    case wire::TaskState::ended:
      break;
  }
  if (attempt.phase == AttemptPhase::ended) return;
  planDue_ = true;
  const bool wasPlaced = attempt.phase != AttemptPhase::released;
  setRunning(attempt, AttemptPhase::ended);
  attempt.cause = status.cause;
  if (!wasPlaced) return;
  jobs::Job* job = jobs_.find(attempt.task.job.text);
  const bool known = job != nullptr && job->open() && attempt.task.index < job->tasks.size();
  if (status.cause == wire::Cause::done && !attempt.isService) {
    machine.faults.clear();
    if (known) complete(attempt.task);
    return;
  }
  if (status.cause == wire::Cause::error || status.cause == wire::Cause::unknown)
    recordTaskFailure(machine, attempt);
  if (context_.logs(Level::debug))
    context_.event(Level::debug, "ended",
                   {{"task", attempt.task.str()},
                    {"machine", machine.host.text},
                    {"cause", static_cast<int>(status.cause)}});
  if (!known) return;
  unassign(*job, attempt.task);
  onGangTaskLost(*job, attempt, "a task ended");
}

void Leader::unassign(jobs::Job& job, const wire::TaskId& task) {
  planDue_ = true;
  if (job.tasks[task.index] != jobs::TaskPhase::placed) return;
  // Records are cleaned lazily: after a change of leader a task may stand in two of them, and the end of the
  // stale attempt says nothing about the one that runs.
  for (const auto& [host, machine] : machines_.all()) {
    for (const Attempt& other : machine.attempts)
      if (other.holdsCapacity() && other.task == task) return;
  }
  job.setTaskPhase(task.index, jobs::TaskPhase::waiting, context_.now);
}

void Leader::reconcileMissingAttempts(Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  // Under a new term a report proves absence only once the worker has seen our token: before that it may be a
  // late copy of one that an earlier leader got.
  if (heartbeat.token < cluster::token(term_, 0)) return;
  for (Attempt& attempt : machine.attempts) {
    const bool present =
        std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](const wire::TaskStatus& status) {
          return status.attempt == attempt.number && status.task == attempt.task;
        });
    if (present || attempt.phase == AttemptPhase::planned) continue;
    if (attempt.directCommandsInFlight > 0 || attempt.unresolvedStartToken)
      continue;  // a start may still take effect
    const bool seen = attempt.phase != AttemptPhase::recorded;
    // A start in an answer is executed at once or never: a later report without it proves that the answer
    // did not arrive. Until the worker is seen with a higher token it gets no more work.
    const bool notTaken =
        attempt.startSentInSequence != 0 && heartbeat.sequence > attempt.startSentInSequence;
    if (notTaken && !seen) commands_.advanceFencingToken(machine);
    if (seen || attempt.inherited || attempt.stopRequested || notTaken)
      release(machine, attempt, seen ? "reaped" : notTaken ? "not taken" : "absent");
  }
}

void Leader::release(Machine& machine, Attempt& attempt, const char* why) {
  if (attempt.phase == AttemptPhase::released) return;
  const bool wasEnded = attempt.phase == AttemptPhase::ended;
  setRunning(attempt, AttemptPhase::released);
  planDue_ = true;
  if (wasEnded) return;  // its task has moved on already
  jobs::Job* job = jobs_.find(attempt.task.job.text);
  if (job == nullptr || !job->open() || attempt.task.index >= job->tasks.size()) return;
  context_.event(Level::info, "released",
                 {{"task", attempt.task.str()}, {"machine", machine.host.text}, {"why", why}});
  unassign(*job, attempt.task);
  onGangTaskLost(*job, attempt, why);
}

void Leader::freeAllAttempts(Machine& machine, const char* why) {
  for (Attempt& attempt : machine.attempts) {
    // What is still being written has never been started; its transaction decides what becomes of it.
    if (attempt.phase != AttemptPhase::planned) release(machine, attempt, why);
  }
  eraseFreedAttempts(machine);
}

void Leader::eraseFreedAttempts(Machine& machine) {
  std::erase_if(machine.attempts,
                [](const Attempt& attempt) { return attempt.phase == AttemptPhase::released; });
}

void Leader::complete(const wire::TaskId& task) {
  jobs::Job& job = *jobs_.find(task.job.text);
  if (job.tasks[task.index] == jobs::TaskPhase::completed) return;
  if (job.isGang()) return completeGang(job);
  job.setTaskPhase(task.index, jobs::TaskPhase::completed, context_.now);
  if (job.failures.jobAtFault()) job.failures.reset();
  records_.completed(task);
  planDue_ = true;
}

}  // namespace reachhoist::service
