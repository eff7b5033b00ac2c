#include "scenario/steps.hpp"

namespace scenario {

namespace {

namespace wire = reachhoist::wire;
using standin::JobPlan;

constexpr double kCheckpointDurationS = 2;
constexpr int kTeamCount = 10;  // teams that a final '*' expands to
constexpr int kImageCount = 7;  // images that a final '*' expands to

wire::JobKind parseKind(const Options& options) {
  if (options.has("service")) return wire::JobKind::service;
  return options.has("gang") ? wire::JobKind::gang : wire::JobKind::array;
}

wire::Priority parsePriority(const Options& options) {
  const std::string priorityName = options.string("priority", "standard");
  for (const auto priority :
       {wire::Priority::bestEffort, wire::Priority::standard, wire::Priority::high, wire::Priority::prod})
    if (name(priority) == priorityName) return priority;
  return wire::JobSpec{}.priority;
}

wire::JobSpec parseSpec(const std::string& ref, const Options& options) {
  wire::JobSpec spec;
  spec.ref.text = ref;
  spec.jobClass = options.string("class", "lane");
  spec.team = options.string("team", "t");
  spec.kind = parseKind(options);
  spec.priority = parsePriority(options);
  spec.taskCount = options.count("tasks", 1U);
  spec.taskResources = {options.real("cpus", 2), 0, options.real("mem", 2)};
  spec.singleZone = options.has("single-zone");
  spec.spreadZones = options.has("spread-zones");
  spec.allowsSpot = options.has("spot");
  spec.image = options.string("image", "img-0");
  spec.imageSizeGb = options.real("image-size", 1);
  spec.checkpointIntervalS = options.real("checkpoint-interval", 0);
  spec.checkpointDurationS = spec.checkpointIntervalS > 0 ? kCheckpointDurationS : 0;
  if (options.has("deadline")) spec.deadlineS = options.real("deadline", 0);
  if (options.has("zone")) spec.requiredZone = options.string("zone", "");
  return spec;
}

JobPlan parsePlan(const std::string& ref, const Options& options) {
  JobPlan plan;
  plan.spec = parseSpec(ref, options);
  plan.runS = options.real("run", 10);
  plan.extraRunS = options.real("extra-run-per-task", 0);
  plan.spec.expectedRunTimeS = plan.spec.kind != wire::JobKind::service ? plan.runS : 0;
  plan.alwaysFails = options.has("always-fails");
  if (!options.string("always-fails", "").empty()) plan.failsAfterS = options.real("always-fails", 1);
  return plan;
}

// Replaces a final '*' by the number modulo the count.
void replaceStar(std::string& name, int number, int count) {
  if (name.ends_with('*')) name.back() = static_cast<char>('0' + number % count);
}

}  // namespace

JobPlan parseJob(const Line& line) { return parsePlan(line.word(3), Options(line, 4)); }

void scheduleManySubmissions(standin::World& world, const Line& line) {
  const int first = line.integer(3);
  const int count = line.integer(4);
  const double gapS = line.real(5);
  const Options options(line, 6);
  for (int i = 0; i < count; ++i) {
    JobPlan plan = parsePlan("job-" + std::to_string(first + i), options);
    replaceStar(plan.spec.team, i, kTeamCount);
    replaceStar(plan.spec.image, i, kImageCount);
    world.sim.at(line.real(1) + gapS * i, [&world, plan] { world.users.submit(plan); });
  }
}

}  // namespace scenario
