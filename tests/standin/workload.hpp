// The jobs of a simulated world: how their tasks really behave when they run, and their progress.
#pragma once

#include <map>
#include <set>
#include <string>

#include "wire/types.hpp"

namespace standin {

// A job and the actual behaviour of its tasks. Controllers get only the specification.
struct JobPlan {
  reachhoist::wire::JobSpec spec;
  double runS = 10;          // run time of the first task
  double extraRunS = 0;      // each further task runs this much longer than the one before
  bool alwaysFails = false;  // its tasks fail on every machine
  double failsAfterS = 1;    // run time of a task that always fails
};

struct Workload {
  std::map<std::string, JobPlan> jobs;               // by reference
  std::set<reachhoist::wire::TaskId> finishedTasks;  // a new attempt of such a task ends at once
  // Run time that the checkpoints of array tasks have saved.
  std::map<reachhoist::wire::TaskId, double> checkpointedRunS;

  const JobPlan& job(const std::string& ref) const { return jobs.at(ref); }
  const JobPlan& jobOf(const reachhoist::wire::TaskId& task) const { return jobs.at(task.job.text); }
  bool isGang(const reachhoist::wire::TaskId& task) const {
    return jobOf(task).spec.kind == reachhoist::wire::JobKind::gang;
  }
  // Whether all tasks of the job have finished.
  bool allFinished(const reachhoist::wire::JobSpec& spec) const {
    for (std::uint32_t i = 0; i < spec.taskCount; ++i)
      if (!finishedTasks.contains(reachhoist::wire::TaskId{spec.ref, i})) return false;
    return true;
  }
};

}  // namespace standin
