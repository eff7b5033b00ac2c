// Log lines of leader elections.
#pragma once

#include "cluster/election_events.hpp"
#include "service/context.hpp"

namespace reachhoist::service {

// Logs one election event.
void logElectionEvent(const Context& context, const cluster::ElectionEvent& event);

}  // namespace reachhoist::service
