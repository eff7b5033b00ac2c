// Faults of the outside systems that scenarios inject, other than network partitions.
#pragma once

namespace standin {

// Shares are between 0 and 1; times are in seconds of the simulation. The defaults inject nothing.
struct FaultPlan {
  double cloudDownUntilS = 0;
  double lostTransactionShare = 0;         // of transactions whose answer is lost
  double lostTransactionDelayMaxS = 4;     // and that are carried out at most this much later
  double storeDelayS = 0;                  // additional delay of each request to the key-value store, at most
  double clockSlowdown = 0;                // by which the clocks of controllers and workers run slow
  double cancelAtEndShare = 0;             // of jobs that are cancelled at the end of their last task
  bool noInstanceBoots = false;            // of the instances requested from now on
  double bootTimeFactor = 1;               // of the instances requested from now on
  double bootFailureShare = 0;             // of the instances requested from now on, which never boot
  double duplicateHeartbeatShare = 0;      // of heartbeats that arrive a second time at any controller
  double duplicateHeartbeatDelayMaxS = 0;  // at most this much later
};

}  // namespace standin
