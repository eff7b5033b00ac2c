// What workers report, and what it proves.
#include <algorithm>
#include <utility>

#include "service/leader.hpp"

namespace reachhoist::service {

namespace {
// A report that may be answered must not be one that was held back on its way and speaks of an earlier world.
bool newer(const Machine& machine, const wire::Report& report) {
  return report.session > machine.session ||
         (report.session == machine.session && report.sequence > machine.sequence);
}
}  // namespace

Leader::ReportAnswer Leader::onReport(const wire::Report& report, Source source) {
  if (state_ != State::acting || resigned_) return {};
  if (!mayAnswer()) {
    // It is there all the same: after a long outage machines that kept reporting are not given up for silent.
    Machine* known = machines_.find(report.host.text);
    if (known != nullptr && newer(*known, report)) known->lastHeard = context_.now;
    return {};
  }
  // A worker that has seen a later term drops our answers, and a 200 would only hold it here until its lease
  // has run out.
  if (report.token >= cluster::token(term_ + 1, 0)) return {};
  // Gone for good: this is a late copy of what it once sent, and must not bring it back.
  if (returnedUntil_.contains(report.host.text)) return {};
  Machine* machine = machines_.find(report.host.text);
  if (machine == nullptr) {
    // Nobody expected it: a late rental, or one of an earlier leader. It is adopted like any other.
    machine = &machines_.add(report.host.text);
    machine->rentedAt = context_.now;
    machine->lastAnswered = electedAt_ + context_.settings.answerWindow();
    machine->lastHeard = context_.now;
    machine->lastDirect = context_.now;
  }
  if (!newer(*machine, report)) return {};
  if (machine->phase == MachinePhase::returning || machine->phase == MachinePhase::gone) return {};
  machine->endpoint = report.endpoint;
  machine->machineType = report.machineType;
  machine->zone = report.zone;
  machine->spot = report.spot;
  describe(*machine);
  if (machine->phase == MachinePhase::booting) {
    machine->to(MachinePhase::up, context_.now);
    boots_.recordBoot(report.machineType, report.zone, context_.now - machine->rentedAt, context_.now);
    context_.event(Level::info, "machine_up",
                   {{"machine", report.host.text},
                    {"type", report.machineType},
                    {"zone", report.zone},
                    {"after_s", wire::toSeconds(context_.now - machine->rentedAt)}});
  }
  takeEvidence(*machine, report, source);
  machine->unreachable = false;
  machine->lastHeard = context_.now;
  machine->lastAnswered = std::max(machine->lastAnswered, context_.now);
  const auto orders = commands_.ordersFor(*machine, source, report.sequence);
  return ReportAnswer{200, wire::encodeOrders(commands_.fencingTokenOf(*machine), orders)};
}

void Leader::takeEvidence(Machine& machine, const wire::Report& report, Source source) {
  if (!newer(machine, report)) return;
  if (report.session > machine.session) newSession(machine, report);
  machine.sequence = report.sequence;
  if (source != Source::relay) machine.lastDirect = context_.now;
  machine.workerToken = std::max(machine.workerToken, report.token);
  commands_.noteEcho(machine);
  for (Attempt& attempt : machine.attempts) {
    // Once the worker has seen a higher token, the old command can only get a 409.
    if (attempt.openToken && machine.workerToken > *attempt.openToken) attempt.openToken.reset();
  }
  if (report.spotNoticeS && !machine.spotNoticeAt) {
    machine.spotNoticeAt = context_.now + wire::seconds(*report.spotNoticeS);
    context_.event(Level::info, "spot_notice",
                   {{"machine", machine.host.text}, {"in_s", *report.spotNoticeS}});
    useNotice(machine);
  }
  for (const wire::TaskReport& reported : report.tasks) {
    Attempt* attempt = machine.find(reported.task, reported.attempt);
    if (attempt == nullptr) {
      // Every start had its record first, so this is an attempt that was released: it must not go on.
      Attempt stray;
      stray.task = reported.task;
      stray.number = reported.attempt;
      stray.inherited = true;
      stray.stopWanted = true;
      stray.phase = AttemptPhase::recorded;
      stray.since = stray.placedAt = context_.now;
      if (const jobs::Job* job = jobs_.find(reported.task.job.text); job != nullptr) {
        stray.each = job->spec.each;
        stray.team = job->spec.team;
      }
      machine.attempts.push_back(std::move(stray));
      attempt = &machine.attempts.back();
      context_.event(Level::info, "stray_attempt",
                     {{"machine", machine.host.text}, {"task", reported.task.str()}});
    }
    takeTaskReport(machine, *attempt, reported);
  }
  if (source != Source::direct) takeAbsence(machine, report);
  dropFree(machine);
  if (!machine.empty()) machine.idleSince = context_.now;
}

void Leader::newSession(Machine& machine, const wire::Report& report) {
  if (machine.session != 0 && !machine.attempts.empty())
    context_.event(Level::info, "lease_lost",
                   {{"machine", machine.host.text}, {"attempts", machine.attempts.size()}});
  // The worker has killed and forgotten everything of the sessions before. What an earlier leader placed and
  // nobody has seen under this one may belong to the new session: the one known so far may be that of a late
  // copy. Absence decides about it, as always under a new term.
  for (Attempt& attempt : machine.attempts) {
    const bool unseen = attempt.inherited && attempt.session == 0;
    if (machine.session != 0 && attempt.phase != AttemptPhase::planned && !unseen)
      release(machine, attempt, "lease lost");
  }
  dropFree(machine);
  machine.session = report.session;
  // The new session's lease counts from its beginning, whether or not any of its reports was answered. What
  // is started in it by direct commands goes on for that long.
  machine.lastAnswered = std::max(machine.lastAnswered, context_.now);
  machine.images = {};
}

void Leader::setRunning(Attempt& attempt, AttemptPhase next) {
  const bool was = attempt.onMachine();
  attempt.to(next, context_.now);
  const bool is = attempt.onMachine();
  if (was == is) return;
  jobs::Job* job = jobs_.find(attempt.task.job.text);
  if (job == nullptr || job->tasks.empty()) return;
  if (is) {
    ++job->running;
  } else if (job->running > 0) {
    --job->running;
  }
}

void Leader::takeTaskReport(Machine& machine, Attempt& attempt, const wire::TaskReport& reported) {
  attempt.session = machine.session;
  switch (reported.stage) {
    case wire::TaskStage::unfamiliar:
      // Whatever a later protocol says of it, it is there.
      if (!std::exchange(unfamiliarLogged_, true))
        context_.event(Level::info, "unfamiliar_state",
                       {{"task", attempt.task.str()}, {"machine", machine.host.text}});
      if (attempt.phase == AttemptPhase::recorded) setRunning(attempt, AttemptPhase::pulling);
      return;
    case wire::TaskStage::pulling:
    case wire::TaskStage::waiting:
      setRunning(attempt, AttemptPhase::pulling);
      return;
    case wire::TaskStage::running:
      if (attempt.phase != AttemptPhase::running && context_.logs(Level::debug))
        context_.event(Level::debug, "running",
                       {{"task", attempt.task.str()},
                        {"machine", machine.host.text},
                        {"after_s", wire::toSeconds(context_.now - attempt.placedAt)}});
      setRunning(attempt, AttemptPhase::running);
      if (!attempt.image.empty()) machine.noteImage(attempt.image, attempt.sizeGb);
      if (attempt.gang)
        if (jobs::Job* job = jobs_.find(attempt.task.job.text); job != nullptr && job->open()) gangRuns(*job);
      return;
    case wire::TaskStage::saving:
      setRunning(attempt, AttemptPhase::saving);
      return;
    case wire::TaskStage::ended:
      break;
  }
  if (attempt.phase == AttemptPhase::ended) return;
  planDue_ = true;
  const bool wasPlaced = attempt.phase != AttemptPhase::free;
  setRunning(attempt, AttemptPhase::ended);
  attempt.cause = reported.cause;
  if (!wasPlaced) return;
  jobs::Job* job = jobs_.find(attempt.task.job.text);
  const bool known = job != nullptr && job->open() && attempt.task.index < job->tasks.size();
  if (reported.cause == wire::Cause::done && !attempt.isService) {
    machine.clearErrors();
    if (known) complete(attempt.task);
    return;
  }
  if (reported.cause == wire::Cause::error || reported.cause == wire::Cause::unknown)
    noteError(machine, attempt);
  if (context_.logs(Level::debug))
    context_.event(Level::debug, "ended",
                   {{"task", attempt.task.str()},
                    {"machine", machine.host.text},
                    {"cause", static_cast<int>(reported.cause)}});
  if (!known) return;
  unplace(*job, attempt.task);
  gangLost(*job, attempt, "a task ended");
}

void Leader::unplace(jobs::Job& job, const wire::TaskId& task) {
  planDue_ = true;
  if (job.tasks[task.index] != jobs::TaskPhase::placed) return;
  // Records are cleaned lazily: after a change of leader a task may stand in two of them, and the end of the
  // stale attempt says nothing about the one that runs.
  for (const auto& [host, machine] : machines_.all()) {
    for (const Attempt& other : machine.attempts)
      if (other.holdsRoom() && other.task == task) return;
  }
  job.to(task.index, jobs::TaskPhase::waiting, context_.now);
}

void Leader::takeAbsence(Machine& machine, const wire::Report& report) {
  // Under a new term a report proves absence only once the worker has seen our token: before that it may be a
  // late copy of one that an earlier leader got.
  if (report.token < cluster::token(term_, 0)) return;
  for (Attempt& attempt : machine.attempts) {
    const bool present =
        std::any_of(report.tasks.begin(), report.tasks.end(), [&](const wire::TaskReport& reported) {
          return reported.attempt == attempt.number && reported.task == attempt.task;
        });
    if (present || attempt.phase == AttemptPhase::planned) continue;
    if (attempt.directs > 0 || attempt.openToken) continue;  // a start may still take effect
    const bool seen = attempt.phase != AttemptPhase::recorded;
    // A start in an answer is executed at once or never: a later report without it proves that the answer
    // did not arrive. Until the worker is seen with a higher token it gets no more work.
    const bool notTaken = attempt.answeredAt != 0 && report.sequence > attempt.answeredAt;
    if (notTaken && !seen) commands_.advanceFencingToken(machine);
    if (seen || attempt.inherited || attempt.stopWanted || notTaken)
      release(machine, attempt, seen ? "reaped" : notTaken ? "not taken" : "absent");
  }
}

void Leader::release(Machine& machine, Attempt& attempt, const char* why) {
  if (attempt.phase == AttemptPhase::free) return;
  const bool wasEnded = attempt.phase == AttemptPhase::ended;
  setRunning(attempt, AttemptPhase::free);
  planDue_ = true;
  if (wasEnded) return;  // its task has moved on already
  jobs::Job* job = jobs_.find(attempt.task.job.text);
  if (job == nullptr || !job->open() || attempt.task.index >= job->tasks.size()) return;
  context_.event(Level::info, "released",
                 {{"task", attempt.task.str()}, {"machine", machine.host.text}, {"why", why}});
  unplace(*job, attempt.task);
  gangLost(*job, attempt, why);
}

void Leader::releaseAll(Machine& machine, const char* why) {
  for (Attempt& attempt : machine.attempts) {
    // What is still being written has never been started; its transaction decides what becomes of it.
    if (attempt.phase != AttemptPhase::planned) release(machine, attempt, why);
  }
  dropFree(machine);
}

void Leader::dropFree(Machine& machine) {
  std::erase_if(machine.attempts, [](const Attempt& attempt) { return attempt.phase == AttemptPhase::free; });
}

void Leader::complete(const wire::TaskId& task) {
  jobs::Job& job = *jobs_.find(task.job.text);
  if (job.tasks[task.index] == jobs::TaskPhase::completed) return;
  if (job.isGang()) return completeGang(job);
  job.to(task.index, jobs::TaskPhase::completed, context_.now);
  if (job.failures.jobAtFault()) job.failures.reset();
  records_.completed(task);
  planDue_ = true;
}

}  // namespace reachhoist::service
