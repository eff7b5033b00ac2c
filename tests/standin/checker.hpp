// The nine rules of the protocol, checked on every step of a simulated world.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "wire/types.hpp"

namespace standin {

namespace wire = reachhoist::wire;

struct Place {
  std::string host;
  std::string machineType;
  std::string zone;
  bool spot = false;
};

class Checker {
 public:
  explicit Checker(double cancelS) : cancelS_(cancelS) {}

  void teamLimit(const std::string& team, double cpus) { limits_[team] = cpus; }
  // What users did and were told.
  void submitted(double at, const wire::JobSpec& spec);
  void submitAnswered(double at, const std::string& ref, int status, const std::string& stage);
  // A submission that must be refused: it can't run, or lacks a field.
  void unfit(const std::string& ref) { unfit_.insert(ref); }
  void unfitAnswered(double at, const std::string& ref, int status);
  // Whether a job has tasks that wait although a machine has room for them and the team is below its limit.
  void couldRun(double at, const std::string& ref, bool could);
  void abortAsked(const std::string& ref) { abortAsked_.insert(ref); }
  void abortAnswered(double at, const std::string& ref, int status, const std::string& stage);
  void pollAnswered(double at, const std::string& ref, int status, const std::string& stage);
  // What workers did.
  void started(double at, const wire::TaskId& task, const Place& place);
  void ended(double at, const wire::TaskId& task, const std::string& host, bool completed);
  void tick(double at);
  // All troubles are over.
  void calm(double at) { calmAt_ = at; }
  void finish();
  // Which class, team or largest jobs of a class were served too little.
  std::vector<std::string> unserved() const;

  const std::vector<std::string>& broken() const { return broken_; }
  bool isCompleted(const wire::TaskId& task) const { return completed_.contains(task); }
  std::size_t starts() const { return starts_; }
  // Tasks started after a user was told that their job is cancelled.
  std::size_t startsAfterCancel() const { return startsAfterCancel_; }
  std::map<std::string, std::uint32_t> zonesOf(const std::string& ref) const;
  bool isCancelled(const std::string& ref) const { return cancelledAt_.contains(ref); }
  const std::map<std::string, double>& limits() const { return limits_; }
  bool isCalm() const { return calmAt_ >= 0; }
  std::size_t onMachines(const std::string& ref) const;

 private:
  void breaks(double at, const std::string& rule, const std::string& what);
  void told(double at, const std::string& ref, const std::string& stage);

  double cancelS_;
  double calmAt_ = -1;
  std::map<std::string, double> submittedAt_;
  std::map<std::string, double> firstStart_;
  std::set<std::string> forgotten_;
  std::map<std::string, double> limits_;
  std::map<std::string, wire::JobSpec> jobs_;
  std::set<std::string> accepted_;
  std::set<std::string> abortAsked_;
  std::map<std::string, double> cancelledAt_;
  std::map<std::string, std::string> finalTold_;
  std::map<std::string, double> lastPollOk_;
  double lastAnyPollOk_ = 0;
  std::map<wire::TaskId, std::map<std::string, Place>> on_;
  std::set<wire::TaskId> completed_;
  std::set<std::string> ranCancelled_;
  std::size_t starts_ = 0;
  std::size_t startsAfterCancel_ = 0;
  std::set<std::string> unfit_;
  std::map<std::string, double> couldRunSince_;
  std::vector<std::string> broken_;
};

}  // namespace standin
