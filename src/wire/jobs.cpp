// Decodes and encodes submitted jobs.
#include "wire/fields.hpp"
#include "wire/job_names.hpp"

namespace reachhoist::wire {

namespace {
constexpr std::uint32_t kMaxTaskCount = 100'000;  // The protocol sets this limit on the tasks of a job.
constexpr std::size_t kMaxMachineTypes = 100;     // limits the entries of a job's `rigs`

void readMachineTypes(FieldReader& fields, const Json& entries, std::vector<std::string>& machineTypes) {
  if (!entries.is_array() || entries.size() > kMaxMachineTypes) return fields.fail("rigs");
  for (const Json& entry : entries) {
    if (!entry.is_string() || entry.get_ref<const std::string&>().size() > kMaxTextBytes)
      return fields.fail("rigs");
    machineTypes.push_back(entry.get<std::string>());
  }
}

// Reads where the job may run.
void readPlacementConstraints(FieldReader& fields, const Json& body, JobSpec& job) {
  if (fields.isPresent("yard")) fields.text("yard", job.requiredZone.emplace());
  if (fields.isPresent("rigs"))
    readMachineTypes(fields, *field(body, "rigs"), job.allowedMachineTypes.emplace());
}
}  // namespace

Result<JobSpec> decodeJob(const Json& body) {
  if (!body.is_object()) return Result<JobSpec>::failure("body is not a map");
  JobSpec job;
  FieldReader fields(body);
  std::string kindName;
  std::string priorityName;
  std::uint64_t taskCount = 0;
  // The answer to the user names the first field that fails, so the order of the reads is significant.
  fields.text("ref", job.ref.text);
  if (fields.ok() && !isValidJobRef(job.ref.text)) fields.fail("ref");
  fields.text("lane", job.jobClass);
  fields.text("crew", job.team);
  fields.text("shape", kindName);
  fields.text("rank", priorityName);
  fields.count("loads", taskCount);
  fields.resources(job.taskResources);
  fields.flag("oneZone", job.singleZone);
  fields.flag("apart", job.spreadZones);
  fields.flag("loaners", job.allowsSpot);
  fields.text("crate", job.image);
  fields.amount("sizeGb", job.imageSizeGb);
  fields.amount("expectS", job.expectedRunTimeS);
  fields.amount("stowEveryS", job.checkpointIntervalS);
  fields.amount("stowS", job.checkpointDurationS);
  fields.optionalAmount("dueS", job.deadlineS);
  readPlacementConstraints(fields, body, job);
  if (taskCount < 1 || taskCount > kMaxTaskCount) fields.fail("loads");
  job.taskCount = static_cast<std::uint32_t>(taskCount);
  fields.enumerator("shape", kJobKindNames, kindName, job.kind);
  fields.enumerator("rank", kPriorityNames, priorityName, job.priority);
  return fields.result(std::move(job));
}

Json encodeJob(const JobSpec& job) {
  Json body{{"ref", job.ref.text},
            {"lane", job.jobClass},
            {"crew", job.team},
            {"shape", name(job.kind)},
            {"rank", name(job.priority)},
            {"loads", job.taskCount},
            {"vcpus", job.taskResources.vcpus},
            {"accelerators", job.taskResources.accelerators},
            {"memoryGb", job.taskResources.memoryGb},
            {"oneZone", job.singleZone},
            {"apart", job.spreadZones},
            {"loaners", job.allowsSpot},
            {"crate", job.image},
            {"sizeGb", job.imageSizeGb},
            {"expectS", job.expectedRunTimeS},
            {"stowEveryS", job.checkpointIntervalS},
            {"stowS", job.checkpointDurationS}};
  if (job.allowedMachineTypes) body["rigs"] = *job.allowedMachineTypes;
  if (job.requiredZone) body["yard"] = *job.requiredZone;
  if (job.deadlineS) body["dueS"] = *job.deadlineS;
  return body;
}

}  // namespace reachhoist::wire
