#include "config/settings.hpp"

#include <algorithm>
#include <cmath>

namespace reachhoist::config {

const Team* Settings::team(const std::string& name) const {
  for (const Team& team : teams)
    if (team.name == name) return &team;
  return nullptr;
}

const Sibling* Settings::sibling(const std::string& name) const {
  for (const Sibling& sibling : siblings)
    if (sibling.label == name) return &sibling;
  return nullptr;
}

unsigned Settings::clientSockets() const {
  return std::max(constants::kMinClientSockets,
                  processLimits.maxConnections / constants::kClientSocketsDivisor);
}

std::chrono::milliseconds Settings::answerWindow() const {
  // A lease that is renewed at the end of the window must expire within cancel_s even on the slowest clock.
  const double windowS = workers.cancelS * (1 - constants::kMaxClockDriftShare) -
                         workers.leaseS * (1 + constants::kMaxClockDriftShare);
  return std::chrono::milliseconds(static_cast<long>(windowS * 1000)) - constants::kLeaseSafetyMargin;
}

std::chrono::milliseconds Settings::leaseExpiry() const {
  return std::chrono::milliseconds(
             static_cast<long>(std::ceil(workers.leaseS * (1 + 2 * constants::kMaxClockDriftShare) * 1000))) +
         constants::kLeaseSafetyMargin;
}

}  // namespace reachhoist::config
