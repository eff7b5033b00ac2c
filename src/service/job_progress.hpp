// The progress of running jobs. The leader sends it to its siblings so that they can show it to users. It is
// for display only; no decision depends on it.
#pragma once

#include "jobs/jobs.hpp"
#include "service/context.hpp"
#include "service/leader.hpp"

namespace reachhoist::service {

// Sends progress messages. The leader uses it.
class ProgressPublisher {
 public:
  explicit ProgressPublisher(Context& context) : context_(context) {}

  // Sends the progress of the jobs whose counts have changed since the last call and, at regular intervals,
  // of all jobs.
  void publish(Leader& leader);

 private:
  void send(const peer::Progress& progress);

  Context& context_;
  int publishCount_ = 0;
};

// Applies the leader's progress messages. The followers use it.
class ProgressReceiver {
 public:
  explicit ProgressReceiver(jobs::JobTable& jobs) : jobs_(jobs) {}

  // Copies the counts into the job table for display. A message of an earlier term than the latest received
  // term is ignored.
  void apply(const peer::Progress& progress);

 private:
  jobs::JobTable& jobs_;
  std::uint64_t latestTerm_ = 0;
};

}  // namespace reachhoist::service
