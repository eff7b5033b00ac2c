// Evidence from workers, and the orders that follow from it.
#include <algorithm>
#include <utility>

#include "service/owner.hpp"

namespace reachhoist::service {

namespace {
// A report that may be answered must not be one that was held back on its way and speaks of an earlier world.
bool newer(const Machine& machine, const wire::Report& report) {
  return report.session > machine.session ||
         (report.session == machine.session && report.sequence > machine.sequence);
}
}  // namespace

Owner::ReportAnswer Owner::onReport(const wire::Report& report) {
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
    context_.event(Level::info, "machine_up",
                   {{"machine", report.host.text},
                    {"type", report.machineType},
                    {"zone", report.zone},
                    {"after_s", wire::toSeconds(context_.now - machine->rentedAt)}});
  }
  takeEvidence(*machine, report, Source::report);
  machine->unreachable = false;
  machine->lastHeard = context_.now;
  machine->lastAnswered = std::max(machine->lastAnswered, context_.now);
  const auto orders = ordersFor(*machine, Source::report, report.sequence);
  return ReportAnswer{200, wire::encodeOrders(tokenOf(*machine), orders)};
}

void Owner::takeEvidence(Machine& machine, const wire::Report& report, Source source) {
  if (!newer(machine, report)) return;
  if (report.session > machine.session) newSession(machine, report);
  machine.sequence = report.sequence;
  machine.workerToken = std::max(machine.workerToken, report.token);
  noteEcho(machine);
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
  if (source == Source::report) takeAbsence(machine, report);
  dropFree(machine);
  if (!machine.empty()) machine.idleSince = context_.now;
}

void Owner::newSession(Machine& machine, const wire::Report& report) {
  if (machine.session != 0 && !machine.attempts.empty())
    context_.event(Level::info, "lease_lost",
                   {{"machine", machine.host.text}, {"attempts", machine.attempts.size()}});
  // The worker has killed and forgotten everything of the sessions before. What an earlier owner placed and
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

void Owner::setRunning(Attempt& attempt, AttemptPhase next) {
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

void Owner::takeTaskReport(Machine& machine, Attempt& attempt, const wire::TaskReport& reported) {
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
    machine.errorsInRow = 0;
    machine.errorJobs.clear();
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

void Owner::unplace(jobs::Job& job, const wire::TaskId& task) {
  planDue_ = true;
  if (job.tasks[task.index] != jobs::TaskPhase::placed) return;
  // Records are cleaned lazily: after a change of owner a task may stand in two of them, and the end of the
  // stale attempt says nothing about the one that runs.
  for (const auto& [host, machine] : machines_.all()) {
    for (const Attempt& other : machine.attempts)
      if (other.holdsRoom() && other.task == task) return;
  }
  job.to(task.index, jobs::TaskPhase::waiting, context_.now);
}

void Owner::takeAbsence(Machine& machine, const wire::Report& report) {
  // Under a new term a report proves absence only once the worker has seen our token: before that it may be a
  // late copy of one that an earlier owner got.
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
    if (notTaken && !seen) raiseFence(machine);
    if (seen || attempt.inherited || attempt.stopWanted || notTaken)
      release(machine, attempt, seen ? "reaped" : notTaken ? "not taken" : "absent");
  }
}

void Owner::release(Machine& machine, Attempt& attempt, const char* why) {
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

void Owner::releaseAll(Machine& machine, const char* why) {
  for (Attempt& attempt : machine.attempts) {
    // What is still being written has never been started; its transaction decides what becomes of it.
    if (attempt.phase != AttemptPhase::planned) release(machine, attempt, why);
  }
  dropFree(machine);
}

void Owner::dropFree(Machine& machine) {
  std::erase_if(machine.attempts, [](const Attempt& attempt) { return attempt.phase == AttemptPhase::free; });
}

void Owner::noteError(Machine& machine, Attempt& attempt) {
  const std::string& ref = attempt.task.job.text;
  context_.event(Level::info, "task_failed", {{"task", attempt.task.str()}, {"machine", machine.host.text}});
  jobs::Job* job = jobs_.find(ref);
  if (job == nullptr || !job->open()) return;
  ++job->errors;
  job->errorHosts.insert(machine.host.text);
  ++machine.errorsInRow;
  machine.errorJobs.insert(ref);
  if (machine.errorsInRow >= constants::kSuspectErrors)
    machine.suspectUntil = context_.now + constants::kSuspectPause;
  if (static_cast<int>(job->errorHosts.size()) < constants::kWrongJobMachines) return;
  // Failed wherever it went: it is tried ever more rarely, anywhere, until its user cancels it.
  const auto pause = constants::kJobErrorBackoff * (1 << std::min(job->errors, 4));
  job->heldUntil = context_.now + std::min<std::chrono::milliseconds>(pause, constants::kJobErrorBackoffMost);
}

bool Owner::provenGood(const std::string& ref, const Machine& blamed) const {
  for (const auto& [host, machine] : machines_.all()) {
    if (&machine == &blamed) continue;
    for (const Attempt& attempt : machine.attempts) {
      if (attempt.task.job.text != ref) continue;
      if (attempt.phase == AttemptPhase::ended && attempt.cause == wire::Cause::done) return true;
      if (attempt.onMachine() && context_.now - attempt.since > constants::kGoodAfter) return true;
    }
  }
  const jobs::Job* job = jobs_.find(ref);
  return job != nullptr && job->open() && job->completed > 0;
}

void Owner::judge(Machine& machine) {
  // A job that is itself wrong fails on every machine, a sick machine fails every job. What tells them apart
  // is how the same job does elsewhere, and failed tasks are always tried elsewhere first.
  if (machine.errorsInRow < constants::kSuspectErrors || machine.sick) return;
  bool allWrong = true;
  for (const std::string& ref : machine.errorJobs) {
    if (provenGood(ref, machine)) {
      machine.sick = true;
      return retire(machine, "sick");
    }
    const jobs::Job* job = jobs_.find(ref);
    if (job != nullptr && job->open() && job->errorHosts.size() < 2) allWrong = false;
  }
  if (!allWrong) return;
  machine.errorsInRow = 0;
  machine.errorJobs.clear();
  machine.suspectUntil = {};
}

void Owner::complete(const wire::TaskId& task) {
  jobs::Job& job = *jobs_.find(task.job.text);
  if (job.tasks[task.index] == jobs::TaskPhase::completed) return;
  if (job.isGang()) return completeGang(job);
  job.to(task.index, jobs::TaskPhase::completed, context_.now);
  job.dirtyChunks.insert(task.index / constants::kDoneChunk);
  markDirty(task.job.text);
  planDue_ = true;
}

bool Owner::durablyDone(const wire::TaskId& task) {
  jobs::Job* job = jobs_.find(task.job.text);
  if (job == nullptr || !job->open()) return true;
  const std::uint32_t chunk = task.index / constants::kDoneChunk;
  return !job->dirtyChunks.contains(chunk) && !flyingChunks_.contains({task.job.text, chunk}) &&
         !job->finished();
}

void Owner::stop(Machine& machine, Attempt& attempt, double graceS) {
  if (attempt.phase == AttemptPhase::planned || attempt.phase == AttemptPhase::ended) {
    attempt.stopWanted = true;
    return;
  }
  const bool harder = attempt.stopWanted && graceS < attempt.graceS;
  if (attempt.stopWanted && !harder) return;
  attempt.stopWanted = true;
  attempt.graceS = graceS;
  attempt.stopSent = false;
  ordersDue(machine);
}

void Owner::ordersDue(Machine& machine) {
  machine.ordersDue = true;
  due_.insert(machine.host.text);
}

void Owner::raiseFence(Machine& machine) {
  // Once is enough until the worker has been seen with it.
  if (machine.workerToken < tokenOf(machine)) return;
  ++machine.fence;
  machine.echoed = false;
  machine.unechoedSince = context_.now;
}

void Owner::noteEcho(Machine& machine) {
  if (machine.echoed || machine.workerToken < tokenOf(machine)) {
    if (!machine.echoed && machine.unechoedSince == Time{}) machine.unechoedSince = context_.now;
    return;
  }
  machine.echoed = true;
  machine.unechoedSince = Time{};
  planDue_ = true;
}

std::vector<wire::Order> Owner::ordersFor(Machine& machine, Source via, std::uint64_t sequence) {
  std::vector<wire::Order> forgets;
  std::vector<wire::Order> rest;
  for (Attempt& attempt : machine.attempts) {
    wire::Order order{wire::Verb::start, attempt.task, attempt.number, 0};
    switch (attempt.phase) {
      case AttemptPhase::planned:
      case AttemptPhase::free:
        break;
      case AttemptPhase::recorded:
        // Never repeated for what may have ended and been forgotten under an earlier owner.
        if (attempt.inherited && !attempt.stopWanted) break;
        if (attempt.stopWanted) {
          order.verb = wire::Verb::stop;
          rest.push_back(order);
        } else if (attempt.directs == 0 && sure() && (!attempt.gang || gangMayStart(attempt))) {
          // Nothing is begun on old news: another controller may have confirmed the job's cancellation since.
          if (via == Source::report && attempt.answeredAt == 0) attempt.answeredAt = sequence;
          rest.push_back(order);
        }
        break;
      case AttemptPhase::pulling:
      case AttemptPhase::running:
      case AttemptPhase::saving:
        if (!attempt.stopWanted) break;
        if (attempt.stopSent && via == Source::direct) break;
        if (attempt.phase == AttemptPhase::saving && attempt.graceS > 0) break;
        order.verb = wire::Verb::stop;
        order.graceS = attempt.graceS;
        attempt.stopSent = true;
        rest.push_back(order);
        break;
      case AttemptPhase::ended:
        // A start that may still arrive would start the attempt anew once the worker has forgotten it.
        if (attempt.directs > 0 || attempt.openToken) break;
        if (attempt.cause == wire::Cause::done && !attempt.isService && !durablyDone(attempt.task)) break;
        order.verb = wire::Verb::forget;
        forgets.push_back(order);
        break;
    }
  }
  forgets.insert(forgets.end(), rest.begin(), rest.end());
  return forgets;
}

bool Owner::mayCallWorker() const { return workerCalls_ < context_.settings.workerCallsMost(); }

void Owner::sendDirects() {
  // The rest waits for sockets: machines that don't answer hold theirs for up to the time limit.
  for (auto at = due_.begin(); at != due_.end() && mayCallWorker();) {
    Machine* machine = machines_.find(*at);
    if (machine != nullptr && machine->ordersDue && (machine->direct || context_.now < machine->nextDirect)) {
      ++at;
      continue;
    }
    if (machine != nullptr && machine->ordersDue) sendDirect(*machine);
    at = due_.erase(at);
  }
}

void Owner::sendDirect(Machine& machine) {
  machine.ordersDue = false;
  if (machine.endpoint.empty() || machine.session == 0 || !mayAnswer()) return;
  if (machine.phase != MachinePhase::up && machine.phase != MachinePhase::draining) return;
  const auto orders = ordersFor(machine, Source::direct, 0);
  if (orders.empty() && (machine.echoed || !machine.pulled)) return;
  for (const wire::Order& order : orders)
    if (order.verb == wire::Verb::start) ++machine.find(order.task, order.attempt)->directs;
  machine.direct = true;
  ++workerCalls_;
  wire::Call call;
  call.to = wire::Service::worker;
  call.endpoint = machine.endpoint;
  call.method = "POST";
  call.path = "/commands";
  const std::uint64_t token = tokenOf(machine);
  call.body = wire::encodeOrders(token, orders);
  call.body["shift"] = machine.session;
  call.timeout = constants::kWorkerTimeout;
  context_.calls.start(std::move(call),
                       [this, host = machine.host.text, token, session = machine.session, orders,
                        alive = std::weak_ptr<int>(alive_)](const wire::CallResult& result) {
                         if (!alive.lock()) return;
                         --workerCalls_;
                         onDirect(host, token, session, orders, result);
                       });
}

void Owner::onDirect(const std::string& host, std::uint64_t token, std::uint64_t session,
                     const std::vector<wire::Order>& orders, const wire::CallResult& result) {
  Machine* machine = machines_.find(host);
  if (machine == nullptr) return;
  machine->direct = false;
  const bool answered = result.status != 0;
  for (const wire::Order& order : orders) {
    if (order.verb != wire::Verb::start) continue;
    Attempt* attempt = machine->find(order.task, order.attempt);
    if (attempt == nullptr) continue;
    --attempt->directs;
    // It may be carried out minutes later, as long as token and session match.
    if (!answered && result.sent && machine->session == session) attempt->openToken = token;
  }
  if (!answered) {
    if (result.sent && token == tokenOf(*machine)) {
      // Makes the command void once the worker has seen the higher token.
      ++machine->fence;
      machine->echoed = false;
      machine->unechoedSince = context_.now;
    }
    machine->nextDirect = context_.now + constants::kWorkerTimeout;
    context_.event(Level::info, "no_answer", {{"machine", host}, {"sent", result.sent ? "yes" : "no"}});
    return;
  }
  if (auto report = wire::decodeReport(result.body); report && report->host.text == host)
    takeEvidence(*machine, *report, Source::direct);
}

wire::Duration Owner::quietFor() const {
  return wire::seconds(context_.settings.reportS * constants::kQuietReports + 0.5);
}

bool Owner::holdsService(const Attempt& attempt) {
  return attempt.holdsRoom() && attempt.phase != AttemptPhase::planned && !attempt.stopWanted &&
         attempt.priority >= wire::Priority::high;
}

// Most machines of a zone quiet at once are more likely cut off than dead, and relay needs a while to find
// its way: condemning them would throw away work that runs. Then only the lease decides, or, shortly before
// it does, room for their services elsewhere.
void Owner::findCuts() {
  std::map<std::string, int> up;
  std::map<std::string, int> quiet;
  int heard = 0;
  for (const auto& [host, machine] : machines_.all()) {
    if (machine.phase != MachinePhase::up && machine.phase != MachinePhase::draining) continue;
    ++up[machine.zone];
    if (machine.sequence != 0) ++heard;
    if (context_.now - machine.lastHeard > quietFor()) ++quiet[machine.zone];
  }
  int allUp = 0;
  int allQuiet = 0;
  for (const auto& [zone, count] : up) {
    allUp += count;
    allQuiet += quiet[zone];
    // A cut silences all of a zone within a report interval. It is believed for a while, since relay brings
    // its machines back one by one.
    if (quiet[zone] > 1 && quiet[zone] > count * constants::kCutShare)
      cutUntil_[zone] = context_.now + wire::seconds(context_.settings.reportS * constants::kGoneReports);
  }
  cutZones_.clear();
  std::erase_if(cutUntil_, [this](const auto& entry) { return entry.second <= context_.now; });
  for (const auto& [zone, until] : cutUntil_) cutZones_.insert(zone);
  // Nearly all of them: it is this controller that is cut off from workers, until relay has found its way.
  selfCut_ = allQuiet * 4 > allUp * 3;
  // Machines that were never heard under this term may as well be dead, and then the next leader would do no
  // better.
  const bool cutSinceHeard = selfCut_ && allUp >= constants::kSelfCutLeast && heard * 2 > allUp;
  if (!cutSinceHeard) selfCutSince_ = Time{};
  if (cutSinceHeard && selfCutSince_ == Time{}) selfCutSince_ = context_.now;
}

// The services of machines that are cut off have little of their leases left. The cloud's answer to a return
// proves at once that they have ended, so where there is room they move now and not after the lease's
// margins.
// What has not been heard since the leader changed may have been cut off from the earlier one for long.
void Owner::moveServices() {
  if (cutZones_.empty() || selfCut_) return;
  double room = 0;
  for (const auto& [host, machine] : machines_.all()) {
    const bool reached = machine.phase == MachinePhase::up && machine.echoed && !machine.unreachable &&
                         !machine.spotNoticeAt && !machine.spot;
    if (reached) room += std::max(0.0, machine.room().vcpus);
    // On its way out already, its services will take of the same room.
    if (machine.phase == MachinePhase::retiring || machine.phase == MachinePhase::returning)
      for (const Attempt& attempt : machine.attempts)
        if (holdsService(attempt)) room -= attempt.each.vcpus;
  }
  for (const placement::Unmet& unmet : unmet_)
    if (unmet.job->spec.priority >= wire::Priority::high) room -= unmet.job->spec.each.vcpus * unmet.tasks;
  const auto moveAfter = wire::seconds(context_.settings.leaseS * constants::kMoveAtLease);
  const auto unheardFor = wire::seconds(context_.settings.reportS * constants::kGoneReports + 1);
  for (auto& [host, machine] : machines_.all()) {
    if (machine.phase != MachinePhase::up || !machine.unreachable || !cutZones_.contains(machine.zone) ||
        context_.now - machine.lastHeard < (machine.sequence == 0 ? unheardFor : moveAfter))
      continue;
    double cpus = 0;
    for (const Attempt& attempt : machine.attempts)
      if (holdsService(attempt)) cpus += attempt.each.vcpus;
    if (cpus == 0 || cpus > room) continue;
    room -= cpus;
    condemn(machine, "cut off");
  }
}

void Owner::watchSilence() {
  if (context_.now < nextSilenceCheck_) return;
  nextSilenceCheck_ = context_.now + constants::kTick * 10;
  pullIn();
  findCuts();
  const config::Settings& settings = context_.settings;
  const auto silentFor = wire::seconds(settings.reportS * constants::kSilentReports + 2);
  const auto probeAfter = wire::seconds(settings.reportS * constants::kProbeReports + 1);
  const auto goneFor = wire::seconds(settings.reportS * constants::kGoneReports + 1);
  const bool settled = context_.now - actingSince_ > silentFor && sure();
  // Neither workers nor siblings get through, only the state service does: as long as this controller leads,
  // the leases of all machines run out.
  if (settled && selfCutSince_ != Time{} && context_.now - selfCutSince_ > constants::kSelfCutPatience &&
      !settings.siblings.empty() && !resigned_) {
    resigned_ = true;
    return leadership_.stepDown("hears no workers");
  }
  for (auto& [host, machine] : machines_.all()) {
    if (machine.phase == MachinePhase::gone) continue;
    judge(machine);
    const bool over = context_.now - machine.lastAnswered > settings.leaseOver();
    if (over && machine.phase != MachinePhase::booting &&
        std::any_of(machine.attempts.begin(), machine.attempts.end(),
                    [](const Attempt& a) { return a.phase != AttemptPhase::planned; })) {
      context_.event(Level::info, "lease_over", {{"machine", host}});
      releaseAll(machine, "lease over");
    }
    if (machine.phase != MachinePhase::up && machine.phase != MachinePhase::draining) continue;
    const auto silent = context_.now - machine.lastHeard;
    const bool cut = cutZones_.contains(machine.zone);
    if (settled && silent > silentFor && (over || !cut)) condemn(machine, "silent");
    // Overdue and out of reach as well: no need to wait for a third report.
    if (settled && silent > probeAfter && !machine.probing && !machine.unreachable &&
        !machine.endpoint.empty() && mayCallWorker()) {
      machine.probing = true;
      inspect(machine);
    }
    if (settled && machine.unreachable && silent > goneFor && !cut) condemn(machine, "unreachable");
    // It reports, but nothing that we send arrives: its lease has run out, and it is of no use to anybody.
    const bool deaf = !machine.echoed && machine.unechoedSince != Time{} &&
                      context_.now - machine.unechoedSince > settings.leaseOver() + constants::kDeafPatience;
    if (settled && deaf && machine.phase == MachinePhase::up) condemn(machine, "deaf");
  }
  if (context_.now - actingSince_ > goneFor && sure()) moveServices();
}

// Workers that an earlier leader still answers would stay with it for as long as it believes itself entitled.
// One that sees our token finds that leader's answers void and comes to us.
void Owner::pullIn() {
  if (context_.now - actingSince_ < constants::kPullInAfter || !sure()) return;
  unsigned left = std::max(constants::kPullInLeast, context_.settings.workerCallsMost() / 4);
  for (auto& [host, machine] : machines_.all()) {
    if (machine.phase != MachinePhase::up || machine.sequence != 0 || machine.pulled ||
        machine.endpoint.empty())
      continue;
    if (left-- == 0 || !mayCallWorker()) return;
    machine.pulled = true;
    inspect(machine);
  }
}

void Owner::inspect(Machine& machine) {
  ++workerCalls_;
  wire::Call call;
  call.to = wire::Service::worker;
  call.endpoint = machine.endpoint;
  call.method = "GET";
  call.path = "/inspect";
  call.timeout = constants::kWorkerTimeout;
  context_.calls.start(std::move(call), [this, host = machine.host.text,
                                         alive = std::weak_ptr<int>(alive_)](const wire::CallResult& result) {
    if (!alive.lock()) return;
    --workerCalls_;
    Machine* known = machines_.find(host);
    if (known == nullptr) return;
    known->probing = false;
    if (result.status == 0) known->unreachable = true;
    auto report = wire::decodeReport(result.body);
    if (!result.ok() || !report || report->host.text != host) return;
    takeEvidence(*known, *report, Source::direct);
    known->unreachable = false;
    // An empty command brings the token.
    if (!known->echoed) ordersDue(*known);
  });
}

void Owner::useNotice(Machine& machine) {
  const double leftS = wire::toSeconds(*machine.spotNoticeAt - context_.now);
  for (Attempt& attempt : machine.attempts) {
    if (!attempt.holdsRoom() || attempt.phase == AttemptPhase::planned) continue;
    const jobs::Job* job = jobs_.find(attempt.task.job.text);
    const double expectS = job != nullptr ? job->spec.expectS : 0;
    const double ranS =
        attempt.phase == AttemptPhase::running ? wire::toSeconds(context_.now - attempt.runningSince) : 0;
    const bool finishes =
        !attempt.isService && attempt.phase == AttemptPhase::running && expectS - ranS < leftS;
    if (finishes) continue;
    if (attempt.gang) {
      stopGang(attempt.task.job.text, leftS, "spot notice");
    } else {
      stop(machine, attempt, attempt.saves ? attempt.checkpointS + 1 : 0);
    }
  }
}

}  // namespace reachhoist::service
