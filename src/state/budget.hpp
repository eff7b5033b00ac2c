// A token bucket over steady time.
#pragma once

#include <algorithm>

#include "wire/exchange.hpp"

namespace reachhoist::state {

class Budget {
 public:
  Budget(double perSecond, double burst) : rate_(perSecond), burst_(burst), tokens_(burst) {}

  void set(double perSecond, double burst) {
    rate_ = perSecond;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
  }
  // A cost above the burst is let through once the bucket is full, and leaves it in debt.
  bool affords(wire::Time now, double cost) {
    refill(now);
    return tokens_ >= std::min(cost, burst_);
  }
  // Takes the cost whether or not it is there: urgent calls may run into debt, which others then wait out.
  void take(wire::Time now, double cost) {
    refill(now);
    tokens_ = std::max(tokens_ - cost, -2 * burst_ - cost);
  }

 private:
  void refill(wire::Time now) {
    if (now > last_) {
      if (last_ != wire::Time{}) tokens_ = std::min(burst_, tokens_ + rate_ * wire::toSeconds(now - last_));
      last_ = now;
    }
  }

  double rate_;
  double burst_;
  double tokens_;
  wire::Time last_{};
};

}  // namespace reachhoist::state
