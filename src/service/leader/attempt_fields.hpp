// Fills in the fields of an attempt that are derived from its job's specification.
#pragma once

#include "jobs/jobs.hpp"
#include "machines/machines.hpp"

namespace reachhoist::service {

// Sets the fields by which the attempt counts against capacity and quotas. They also apply after the job has
// ended.
void setResourceFields(machines::Attempt& attempt, const wire::JobSpec& spec);
// Sets the fields that decide how the attempt is started, preempted and stopped. The job must be open.
void setSchedulingFields(machines::Attempt& attempt, const jobs::Job& job);

}  // namespace reachhoist::service
