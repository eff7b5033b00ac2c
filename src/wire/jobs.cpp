// Submissions.
#include "wire/fields.hpp"

namespace reachhoist::wire {

namespace {
constexpr std::uint32_t kMaxTaskCount = 100'000;  // tasks of a job, from the protocol
constexpr std::size_t kMaxMachineTypes = 100;     // entries of a job's `rigs`
}  // namespace

Result<JobSpec> decodeJob(const Json& body) {
  if (!body.is_object()) return Result<JobSpec>::failure("body is not a map");
  JobSpec job;
  Fields fields(body);
  std::string kind;
  std::string priority;
  std::uint64_t taskCount = 0;
  fields.text("ref", job.ref.text);
  if (fields.ok() && !validJobRef(job.ref.text)) fields.complain("ref");
  fields.text("lane", job.jobClass);
  fields.text("crew", job.team);
  fields.text("shape", kind);
  fields.text("rank", priority);
  fields.count("loads", taskCount);
  fields.amount("vcpus", job.each.vcpus);
  fields.amount("accelerators", job.each.accelerators);
  fields.amount("memoryGb", job.each.memoryGb);
  fields.flag("oneZone", job.oneZone);
  fields.flag("apart", job.apart);
  fields.flag("loaners", job.spot);
  fields.text("crate", job.image);
  fields.amount("sizeGb", job.sizeGb);
  fields.amount("expectS", job.expectS);
  fields.amount("stowEveryS", job.checkpointEveryS);
  fields.amount("stowS", job.checkpointS);
  fields.optionalAmount("dueS", job.dueS);
  if (fields.present("yard")) {
    job.zone.emplace();
    fields.text("yard", *job.zone);
  }
  if (fields.present("rigs")) {
    const Json& machineTypes = *field(body, "rigs");
    if (!machineTypes.is_array() || machineTypes.size() > kMaxMachineTypes) {
      fields.complain("rigs");
    } else {
      job.machineTypes.emplace();
      for (const Json& machineType : machineTypes) {
        if (!machineType.is_string() || machineType.get_ref<const std::string&>().size() > kMaxText) {
          fields.complain("rigs");
          break;
        }
        job.machineTypes->push_back(machineType.get<std::string>());
      }
    }
  }
  if (taskCount < 1 || taskCount > kMaxTaskCount) fields.complain("loads");
  job.taskCount = static_cast<std::uint32_t>(taskCount);
  if (kind == "sweep") {
    job.kind = JobKind::array;
  } else if (kind == "daemon") {
    job.kind = JobKind::service;
  } else if (kind == name(JobKind::gang)) {
    job.kind = JobKind::gang;
  } else {
    fields.complain("shape");
  }
  bool known = false;
  for (const Priority value : {Priority::best_effort, Priority::standard, Priority::high, Priority::prod}) {
    if (priority == name(value)) {
      job.priority = value;
      known = true;
    }
  }
  if (!known) fields.complain("rank");
  if (!fields.ok()) return Result<JobSpec>::failure(fields.reason());
  return job;
}

Json encodeJob(const JobSpec& job) {
  Json out{{"ref", job.ref.text},
           {"lane", job.jobClass},
           {"crew", job.team},
           {"shape", name(job.kind)},
           {"rank", name(job.priority)},
           {"loads", job.taskCount},
           {"vcpus", job.each.vcpus},
           {"accelerators", job.each.accelerators},
           {"memoryGb", job.each.memoryGb},
           {"oneZone", job.oneZone},
           {"apart", job.apart},
           {"loaners", job.spot},
           {"crate", job.image},
           {"sizeGb", job.sizeGb},
           {"expectS", job.expectS},
           {"stowEveryS", job.checkpointEveryS},
           {"stowS", job.checkpointS}};
  if (job.machineTypes) out["rigs"] = *job.machineTypes;
  if (job.zone) out["yard"] = *job.zone;
  if (job.dueS) out["dueS"] = *job.dueS;
  return out;
}

}  // namespace reachhoist::wire
