// Preemption for gangs: capacity for all tasks of a gang at once, in the zone where that costs least.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "placement/preemption_rules.hpp"

namespace reachhoist::placement {

// Preempts for whole gangs, by rank and for fair shares. Does not own the state.
class GangPreemptor {
 public:
  explicit GangPreemptor(RoundState& state) : state_(state) {}

  // Preempts so that the whole gang fits, in the cheapest zone; nothing if it still would not fit, or if
  // capacity for it will be freed anyway.
  void preemptFor(const Job& job);

 private:
  // The reasons for which attempts may be preempted for the gang.
  struct Claim {
    bool guaranteed = false;  // the gang is within its team's guarantee
    bool forShare = false;    // its group is below its entitlement
  };
  // Victims on one bin that free capacity for one more task or several. The options of a bin build on each
  // other and cost more and more, so that a later one is never chosen before an earlier one.
  struct Option {
    double costS = 0;
    Bin* bin = nullptr;
    Victims victims;
  };
  // What one zone offers to a gang.
  struct ZoneOffer {
    std::uint32_t fittingTasks = 0;  // without preemptions, once attempts that are being stopped have ended
    std::vector<Option> options;
  };
  // What a bin holds that matters to a gang.
  struct BinOffer {
    wire::Resources capacity;  // free once attempts that are being stopped have ended
    Victims candidates;
  };
  ZoneOffer offerOf(const std::string& zone, const Job& job, const Claim& claim) const;
  BinOffer offerOf(const Bin& bin, const Job& job, const Claim& claim) const;
  void addOptions(Bin& bin, const Job& job, const Claim& claim, ZoneOffer& offer) const;
  // Lets the groups of the victims give up their shares; all of them, or none if one group may not.
  bool giveShares(const Job& job, const Claim& claim, const std::vector<Option>& options);
  void preempt(const std::vector<Option>& options);

  RoundState& state_;
};

}  // namespace reachhoist::placement
