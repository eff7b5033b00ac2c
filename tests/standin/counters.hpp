// What happened in a simulated world, for expectations and measurements.
#pragma once

#include <map>
#include <string>

namespace standin {

struct Counters {
  std::size_t elections = 0;
  std::size_t taskStops = 0;               // stop commands to running or pulling tasks, cancellations aside
  std::size_t shareTablesRefused = 0;      // by controllers
  std::size_t workerCallsInFlightMax = 0;  // of one controller
  std::size_t leasesLost = 0;              // by machines that neither hung nor were partitioned
  std::map<std::string, std::size_t> heartbeatsAnswered;  // by host
  double lostRunS = 0;                                    // run time of stopped tasks without a checkpoint
};

}  // namespace standin
