// A token-bucket rate limiter over steady time, used to keep calls within a request rate.
#pragma once

#include <algorithm>

#include "wire/exchange.hpp"

namespace reachhoist::state {

// Tokens refill at a fixed rate up to a burst size. A cost can overdraw the bucket, and callers that check
// with affords() then wait until the refill has paid back the debt. TokenBucket is not thread-safe.
class TokenBucket {
 public:
  // `tokensPerS` is the refill rate and `burstTokens` the bucket size. The bucket starts full.
  TokenBucket(double tokensPerS, double burstTokens)
      : tokensPerS_(tokensPerS), burstTokens_(burstTokens), tokens_(burstTokens) {}

  // Changes the refill rate and the bucket size. Tokens above the new size are dropped.
  void set(double tokensPerS, double burstTokens) {
    tokensPerS_ = tokensPerS;
    burstTokens_ = burstTokens;
    tokens_ = std::min(tokens_, burstTokens_);
  }
  // Returns whether a call of this cost, in tokens, is allowed now. A cost above the bucket size is allowed
  // when the bucket is full, and leaves it in debt.
  bool affords(wire::Time now, double cost) {
    refill(now);
    return tokens_ >= std::min(cost, burstTokens_);
  }
  // Takes the cost even if the bucket does not hold it. Urgent calls can put the bucket into debt, and other
  // calls then wait until it is paid back.
  void take(wire::Time now, double cost) {
    refill(now);
    tokens_ = std::max(tokens_ - cost, kMinBalanceBursts * burstTokens_ - cost);
  }

 private:
  // The debt before a cost is bounded, so that a burst of urgent calls cannot block the other calls for long.
  static constexpr double kMinBalanceBursts = -2;

  void refill(wire::Time now) {
    if (now <= lastRefillAt_) return;
    if (lastRefillAt_ != wire::Time{})
      tokens_ = std::min(burstTokens_, tokens_ + tokensPerS_ * wire::toSeconds(now - lastRefillAt_));
    lastRefillAt_ = now;
  }

  double tokensPerS_;
  double burstTokens_;
  double tokens_;
  wire::Time lastRefillAt_{};
};

}  // namespace reachhoist::state
