// Every constant of the service, by concern.
#pragma once

#include "config/constants/calls.hpp"
#include "config/constants/leases.hpp"
#include "config/constants/machines.hpp"
#include "config/constants/network.hpp"
#include "config/constants/protocol.hpp"
#include "config/constants/scheduling.hpp"
#include "config/constants/shares.hpp"
#include "config/constants/sizing.hpp"
#include "config/constants/state_budget.hpp"
