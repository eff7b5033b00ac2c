#include "standin/checker.hpp"

#include <algorithm>
#include <sstream>

namespace standin {

namespace {
constexpr double kForgottenS = 90;   // every poll for a job failing this long counts as forgotten
constexpr double kUnansweredS = 75;  // the same after all troubles, however others fare
constexpr double kLargestBeginS = 240;
constexpr double kLeftWaitingS = 90;  // after all troubles, with room that fits and the team below its limit
constexpr double kServedShare = 0.5;
}  // namespace

void Checker::breaks(double at, const std::string& rule, const std::string& what) {
  std::ostringstream line;
  line << rule << " at " << at << " s: " << what;
  broken_.push_back(line.str());
}

void Checker::submitted(double at, const wire::JobSpec& spec) {
  jobs_.emplace(spec.ref.text, spec);
  submittedAt_.emplace(spec.ref.text, at);
}

void Checker::told(double at, const std::string& ref, const std::string& stage) {
  const bool isFinal = stage == "done" || stage == "cancelled";
  if (const auto found = finalTold_.find(ref); found != finalTold_.end() && found->second != stage)
    breaks(at, "went_back", ref + " was " + found->second + " and is now " + stage);
  if (stage == "cancelled" && !abortAsked_.contains(ref))
    breaks(at, "went_back", ref + " cancelled by nobody");
  if (stage == "cancelled") cancelledAt_.emplace(ref, at);
  if (stage == "done") {
    const wire::JobSpec& spec = jobs_.at(ref);
    for (std::uint32_t i = 0; i < spec.taskCount; ++i) {
      if (completed_.contains(wire::TaskId{spec.ref, i})) continue;
      breaks(at, "not_done", ref + " lacks task " + std::to_string(i));
      break;
    }
  }
  if (isFinal) finalTold_.emplace(ref, stage);
}

void Checker::unfitAnswered(double at, const std::string& ref, int status) {
  if (unfit_.contains(ref) && (status == 200 || status == 201)) breaks(at, "accepted_unfit", ref);
}

void Checker::couldRun(double at, const std::string& ref, bool could) {
  if (calmAt_ < 0 || !could) {
    couldRunSince_.erase(ref);
    return;
  }
  double& since = couldRunSince_.emplace(ref, at).first->second;
  if (at - since <= kLeftWaitingS) return;
  breaks(at, "left_waiting", ref);
  since = at;
}

std::map<std::string, std::uint32_t> Checker::zonesOf(const std::string& ref) const {
  std::map<std::string, std::uint32_t> out;
  for (const auto& [task, places] : on_)
    for (const auto& [host, place] : places)
      if (task.job.text == ref) ++out[place.zone];
  return out;
}

void Checker::submitAnswered(double at, const std::string& ref, int status, const std::string& stage) {
  if (status == 200 || status == 201) {
    accepted_.insert(ref);
    lastPollOk_.emplace(ref, at);
    told(at, ref, stage);
  } else if ((status == 400 || status == 422) && accepted_.contains(ref)) {
    breaks(at, "forgotten", ref + " submitted again got " + std::to_string(status));
  }
}

void Checker::abortAnswered(double at, const std::string& ref, int status, const std::string& stage) {
  if (status == 200) told(at, ref, stage);
  if (status == 404 && accepted_.contains(ref)) breaks(at, "forgotten", ref + " aborted got 404");
}

void Checker::pollAnswered(double at, const std::string& ref, int status, const std::string& stage) {
  if (status == 200) {
    lastPollOk_[ref] = at;
    lastAnyPollOk_ = at;
    if (!jobs_.contains(ref)) return breaks(at, "invented", ref);
    told(at, ref, stage);
  } else if (status == 404) {
    lastAnyPollOk_ = at;
    if (accepted_.contains(ref)) breaks(at, "forgotten", ref + " got 404");
  }
  if (accepted_.contains(ref) && at - lastPollOk_[ref] > kForgottenS && at - lastAnyPollOk_ < kForgottenS / 4)
    breaks(at, "forgotten", ref + " could not be polled");
}

void Checker::started(double at, const wire::TaskId& task, const Place& place) {
  ++starts_;
  if (cancelledAt_.contains(task.job.text)) ++startsAfterCancel_;
  firstStart_.emplace(task.job.text, at);
  const auto found = jobs_.find(task.job.text);
  if (found == jobs_.end()) return breaks(at, "invented", "started " + task.str());
  const wire::JobSpec& spec = found->second;
  auto& places = on_[task];
  for (const auto& [host, other] : places)
    if (host != place.host) breaks(at, "ran_twice", task.str() + " on " + host + " and " + place.host);
  places[place.host] = place;
  if (!spec.allowsMachineType(place.machineType) || (spec.zone && *spec.zone != place.zone) ||
      (place.spot && !spec.spot))
    breaks(at, "wrong_place", task.str() + " on " + place.host);
  std::map<std::string, std::set<wire::TaskId>> zones;
  double cpus = 0;
  const auto limit = limits_.find(spec.team);
  const bool limited = limit != limits_.end() && limit->second > 0;
  // All tasks are looked at only where a rule asks for it: worlds of thousands of tasks are checked too.
  for (const auto& [other, hosts] : on_) {
    if (!limited && !spec.oneZone && !spec.apart) break;
    for (const auto& [host, where] : hosts) {
      if (other.job == task.job) zones[where.zone].insert(other);
      if (jobs_.at(other.job.text).team == spec.team) cpus += jobs_.at(other.job.text).each.vcpus;
    }
  }
  if (spec.oneZone && zones.size() > 1) breaks(at, "wrong_place", task.str() + " in a second zone");
  if (spec.apart && zones[place.zone].size() > (spec.taskCount + 1) / 2)
    breaks(at, "wrong_place", task.str() + " crowds " + place.zone);
  if (limited && cpus > limit->second + 1e-6)
    breaks(at, "quota", spec.team + " uses " + std::to_string(cpus));
  tick(at);
}

void Checker::ended(double, const wire::TaskId& task, const std::string& host, bool completed) {
  if (const auto found = on_.find(task); found != on_.end()) {
    found->second.erase(host);
    if (found->second.empty()) on_.erase(found);
  }
  if (completed) completed_.insert(task);
}

void Checker::tick(double at) {
  if (calmAt_ >= 0) {
    for (const auto& [ref, last] : lastPollOk_) {
      if (!accepted_.contains(ref) || at - std::max(last, calmAt_) <= kUnansweredS) continue;
      if (forgotten_.insert(ref).second) breaks(at, "forgotten", ref + " got no answer after all troubles");
    }
  }
  for (const auto& [task, places] : on_) {
    const auto cancelled = cancelledAt_.find(task.job.text);
    if (cancelled == cancelledAt_.end() || at <= cancelled->second + cancelS_) continue;
    if (ranCancelled_.insert(task.str()).second) breaks(at, "ran_cancelled", task.str());
  }
}

void Checker::finish() {
  if (starts_ == 0) breaks(0, "nothing_ran", "no task was started");
}

std::vector<std::string> Checker::unserved() const {
  struct Count {
    double jobs = 0;
    double served = 0;
  };
  std::map<std::string, Count> counts;
  std::map<std::string, std::uint32_t> largest;
  for (const auto& [ref, spec] : jobs_)
    largest[spec.jobClass] = std::max(largest[spec.jobClass], spec.taskCount);
  for (const auto& [ref, spec] : jobs_) {
    if (!accepted_.contains(ref) || abortAsked_.contains(ref)) continue;
    const auto started = firstStart_.find(ref);
    const bool served = started != firstStart_.end();
    const auto count = [&](const std::string& group, bool good) {
      ++counts[group].jobs;
      counts[group].served += good ? 1 : 0;
    };
    count("class " + spec.jobClass, served);
    count("team " + spec.team, served);
    if (spec.taskCount == largest[spec.jobClass])
      count("largest of " + spec.jobClass,
            served && started->second - submittedAt_.at(ref) <= kLargestBeginS);
  }
  std::vector<std::string> out;
  for (const auto& [group, count] : counts)
    if (count.served < kServedShare * count.jobs) out.push_back(group + " served too little");
  return out;
}

std::size_t Checker::onMachines(const std::string& ref) const {
  std::size_t count = 0;
  for (const auto& [task, places] : on_)
    if (task.job.text == ref) count += places.size();
  return count;
}

}  // namespace standin
