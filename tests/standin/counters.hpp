// Counts of events in a simulated world, for expectations and measurements.
#pragma once

#include <map>
#include <string>

namespace standin {

struct Counters {
  std::size_t elections = 0;
  // Stop commands to running or pulling tasks, other than those of cancelled jobs.
  std::size_t taskStops = 0;
  std::size_t shareTablesRefused = 0;  // by controllers
  // The largest number of calls to workers that one controller had in flight at once.
  std::size_t workerCallsInFlightMax = 0;
  std::size_t repeatedCommands = 0;  // direct commands that arrived a second time
  // Requests to the key-value store and the cloud, and messages between controllers, that arrived a second
  // time.
  std::size_t repeatedRequests = 0;
  std::size_t lateRelays = 0;  // relayed heartbeats that arrived after the crash of the relaying controller
  // Leases lost by machines that neither hung nor were partitioned.
  std::size_t leasesLost = 0;
  std::map<std::string, std::size_t> heartbeatsAnswered;  // by host
  double lostRunS = 0;  // run time of tasks that were stopped without a checkpoint
};

}  // namespace standin
