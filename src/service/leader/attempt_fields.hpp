// The fields of an attempt that follow from its job's specification.
#pragma once

#include "jobs/jobs.hpp"
#include "machines/machines.hpp"

namespace reachhoist::service {

// What the attempt counts for in capacity and quotas; also for jobs that have ended.
void setResourceFields(machines::Attempt& attempt, const wire::JobSpec& spec);
// What decides how the attempt is started, preempted and stopped; for open jobs.
void setSchedulingFields(machines::Attempt& attempt, const jobs::Job& job);

}  // namespace reachhoist::service
