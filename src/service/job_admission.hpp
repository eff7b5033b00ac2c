// Admission control, which decides whether a valid job specification can ever run and be stored.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "wire/exchange.hpp"
#include "wire/http_status.hpp"

namespace reachhoist::service {

// The reason for rejecting a job.
struct Rejection {
  int status = http::kUnprocessableContent;  // HTTP status
  std::string reason;
};

// Checks the job against its team's limits, the machine types and the key-value store's limit on values.
// Removes machine types that do not exist from the specification, since they have no effect and the stored
// record has a limited size. Returns nothing if the job is admitted.
std::optional<Rejection> admit(wire::JobSpec& spec, const std::vector<wire::MachineType>& catalog,
                               const config::Settings& settings);

}  // namespace reachhoist::service
