// Progress of running jobs, which the leader sends to its siblings so that they can show it to users. For
// display only: nothing is decided by it.
#pragma once

#include "jobs/jobs.hpp"
#include "service/context.hpp"
#include "service/leader.hpp"

namespace reachhoist::service {

// The leader's side.
class ProgressPublisher {
 public:
  explicit ProgressPublisher(Context& context) : context_(context) {}

  // Sends the progress of jobs whose counts changed since the last call, and now and then of all jobs.
  void publish(Leader& leader);

 private:
  void send(const peer::Progress& progress);

  Context& context_;
  int published_ = 0;
};

// The followers' side.
class ProgressReceiver {
 public:
  explicit ProgressReceiver(jobs::JobTable& jobs) : jobs_(jobs) {}

  // Takes over the counts for display; those of an earlier term than the latest seen are ignored.
  void apply(const peer::Progress& progress);

 private:
  jobs::JobTable& jobs_;
  std::uint64_t latestTerm_ = 0;
};

}  // namespace reachhoist::service
