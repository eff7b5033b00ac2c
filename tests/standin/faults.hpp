// Faults of the outside systems that scenarios inject, other than network partitions.
#pragma once

namespace standin {

// Shares are between 0 and 1; times are in seconds of the simulation. The defaults inject nothing.
struct FaultPlan {
  double cloudDownUntilS = 0;
  // The answers of this share of transactions are lost. The store applies these transactions with a random
  // delay of up to lostTransactionDelayMaxS.
  double lostTransactionShare = 0;
  double lostTransactionDelayMaxS = 4;
  // Each request to the key-value store takes longer by up to this time.
  double storeDelayS = 0;
  // The clocks of controllers and workers run slow by this share.
  double clockSlowdown = 0;
  // This share of jobs is cancelled at the end of their last task.
  double cancelAtEndShare = 0;
  // These three apply to instances requested from now on. bootFailureShare of them never boots.
  bool noInstanceBoots = false;
  double bootTimeFactor = 1;
  double bootFailureShare = 0;
  // This share of heartbeats arrives a second time, at any controller and at most the given time later.
  double duplicateHeartbeatShare = 0;
  double duplicateHeartbeatDelayMaxS = 0;
  // This share of direct commands arrives a second time, at most the given time after they were carried out.
  double repeatedCommandShare = 0;
  double repeatedCommandDelayMaxS = 0;
};

}  // namespace standin
