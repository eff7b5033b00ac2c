#include "service/leader/attempt_fields.hpp"

namespace reachhoist::service {

void setResourceFields(machines::Attempt& attempt, const wire::JobSpec& spec) {
  attempt.resources = spec.taskResources;
  attempt.team = spec.team;
}

void setSchedulingFields(machines::Attempt& attempt, const jobs::Job& job) {
  const wire::JobSpec& spec = job.spec;
  attempt.image = spec.image;
  attempt.imageSizeGb = spec.imageSizeGb;
  attempt.priority = spec.priority;
  attempt.isService = spec.kind == wire::JobKind::service;
  attempt.isGangMember = job.isGang();
  attempt.canCheckpoint = spec.checkpointIntervalS > 0;
  attempt.checkpointDurationS = spec.checkpointDurationS;
}

}  // namespace reachhoist::service
