// Preemption for gangs: frees capacity for all tasks of a gang at once, in the zone where that costs least.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "placement/preemption_rules.hpp"

namespace reachhoist::placement {

// Preempts attempts for whole gangs, by rank and for fair shares. Does not own the state.
class GangPreemptor {
 public:
  explicit GangPreemptor(RoundState& state) : state_(state) {}

  // Preempts attempts in the cheapest zone so that the whole gang fits there. Preempts nothing if the gang
  // would still not fit, or if attempts that are being stopped will free enough capacity for it.
  void preemptFor(const Job& job);

 private:
  // The grounds on which attempts can be preempted for the gang.
  struct Grounds {
    bool isGuaranteed = false;  // the gang is within its team's guarantee
    bool isForShare = false;  // the gang's group is below its entitlement, and this round can reclaim for it
  };
  // Victims on one bin that free capacity for at least one more task. The options of a bin build on each
  // other, and no option costs less than the one before it, so that a later one is never chosen before an
  // earlier one.
  struct Option {
    double costS = 0;
    Bin* bin = nullptr;
    Victims victims;
  };
  // The capacity and the options for a gang in one zone.
  struct ZoneOptions {
    std::uint32_t fittingTasks = 0;  // without preemptions, after attempts that are being stopped have ended
    std::vector<Option> options;
  };
  // The capacity and the possible victims for a gang on one bin.
  struct BinCandidates {
    wire::Resources capacity;  // free after attempts that are being stopped have ended
    Victims candidates;
  };
  ZoneOptions findZoneOptions(const std::string& zone, const Job& job, const Grounds& grounds) const;
  BinCandidates findBinCandidates(const Bin& bin, const Job& job, const Grounds& grounds) const;
  void addOptions(Bin& bin, const Job& job, const Grounds& grounds, ZoneOptions& zoneOptions) const;
  // Reclaims the victims that cannot be preempted by rank from their groups' shares. Reclaims nothing and
  // returns false if any of them cannot be reclaimed.
  bool reclaimShares(const Job& job, const Grounds& grounds, const std::vector<Option>& options);
  void preempt(const std::vector<Option>& options);

  RoundState& state_;
};

}  // namespace reachhoist::placement
