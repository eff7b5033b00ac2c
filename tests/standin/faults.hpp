// Faults of the outside systems that scenarios inject, other than network partitions.
#pragma once

namespace standin {

// This share of messages arrives a second time, a random time later and at most delayMaxS.
struct Repetition {
  double share = 0;
  double delayMaxS = 0;
};

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
  Repetition duplicateHeartbeats;  // at any controller
  Repetition repeatedCommands;     // direct commands that were carried out
  // Requests to the key-value store and the cloud that can change something, and messages between
  // controllers.
  Repetition repeatedRequests;
};

}  // namespace standin
