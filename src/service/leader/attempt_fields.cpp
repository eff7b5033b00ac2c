#include "service/leader/attempt_fields.hpp"

namespace reachhoist::service {

void setResourceFields(machines::Attempt& attempt, const wire::JobSpec& spec) {
  attempt.resources = spec.each;
  attempt.team = spec.team;
}

void setSchedulingFields(machines::Attempt& attempt, const jobs::Job& job) {
  const wire::JobSpec& spec = job.spec;
  attempt.image = spec.image;
  attempt.sizeGb = spec.sizeGb;
  attempt.priority = spec.priority;
  attempt.isService = spec.kind == wire::JobKind::service;
  attempt.gang = job.isGang();
  attempt.canCheckpoint = spec.checkpointEveryS > 0;
  attempt.checkpointS = spec.checkpointS;
}

}  // namespace reachhoist::service
