// A token-bucket rate limiter over steady time, used to keep calls within a request rate.
#pragma once

#include <algorithm>

#include "wire/exchange.hpp"

namespace reachhoist::state {

// Tokens refill at a fixed rate up to a burst size. A cost may overdraw the bucket; callers that check with
// affords() then wait until the debt is paid back. Not thread-safe.
class TokenBucket {
 public:
  // perSecond: refill rate in tokens per second. burst: bucket size in tokens; the bucket starts full.
  TokenBucket(double perSecond, double burst) : rate_(perSecond), burst_(burst), tokens_(burst) {}

  // Changes rate and burst; tokens above the new burst are dropped.
  void set(double perSecond, double burst) {
    rate_ = perSecond;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
  }
  // Whether a call of this cost may be made now. A cost above the burst is let through once the bucket is
  // full, and leaves it in debt.
  bool affords(wire::Time now, double cost) {
    refill(now);
    return tokens_ >= std::min(cost, burst_);
  }
  // Takes the cost even if the bucket does not hold it: urgent calls may put it into debt, which others then
  // wait out.
  void take(wire::Time now, double cost) {
    refill(now);
    tokens_ = std::max(tokens_ - cost, kMaxDebtBursts * burst_ - cost);
  }

 private:
  // The debt is bounded so that one burst of urgent calls can't stop the others for long.
  static constexpr double kMaxDebtBursts = -2;

  void refill(wire::Time now) {
    if (now <= last_) return;
    if (last_ != wire::Time{}) tokens_ = std::min(burst_, tokens_ + rate_ * wire::toSeconds(now - last_));
    last_ = now;
  }

  double rate_;
  double burst_;
  double tokens_;
  wire::Time last_{};
};

}  // namespace reachhoist::state
