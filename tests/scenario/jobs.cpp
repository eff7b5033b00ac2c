#include "scenario/scenario.hpp"

namespace scenario {

namespace {

void describe(JobPlan& plan, const std::string& ref, const Options& options) {
  auto& spec = plan.spec;
  spec.ref.text = ref;
  spec.jobClass = options.text("class", "lane");
  spec.team = options.text("team", "t");
  spec.kind = options.has("service") ? reachhoist::wire::JobKind::service
              : options.has("gang")  ? reachhoist::wire::JobKind::gang
                                     : reachhoist::wire::JobKind::array;
  const std::string priority = options.text("priority", "standard");
  for (const auto value : {reachhoist::wire::Priority::best_effort, reachhoist::wire::Priority::standard,
                           reachhoist::wire::Priority::high, reachhoist::wire::Priority::prod})
    if (name(value) == priority) spec.priority = value;
  spec.taskCount = static_cast<std::uint32_t>(options.number("tasks", 1));
  spec.each = {options.number("cpus", 2), 0, options.number("mem", 2)};
  spec.oneZone = options.has("onezone");
  spec.apart = options.has("apart");
  spec.spot = options.has("spot");
  spec.image = options.text("image", "img-0");
  spec.sizeGb = options.number("size", 1);
  plan.runS = options.number("run", 10);
  plan.laterS = options.number("later", 0);
  spec.expectS = spec.kind != reachhoist::wire::JobKind::service ? plan.runS : 0;
  spec.checkpointEveryS = options.number("saves", 0);
  spec.checkpointS = spec.checkpointEveryS > 0 ? 2 : 0;
  if (options.has("due")) spec.dueS = options.number("due", 0);
  if (options.has("zone")) spec.zone = options.text("zone", "");
  plan.wrong = options.has("wrong");
  if (plan.wrong && !options.text("wrong", "").empty()) plan.wrongAfterS = options.number("wrong", 1);
}

}  // namespace

JobPlan Scenario::job(const Line& line) const {
  const auto& words = line.words;
  const Options options(words, 4);
  JobPlan plan;
  describe(plan, words.at(3), options);
  return plan;
}

// Many jobs alike: the first number, how many, and how far apart.
void Scenario::crowd(World& world, const Line& line) {
  const auto& words = line.words;
  const int first = std::stoi(words.at(3));
  const int count = std::stoi(words.at(4));
  const double gapS = std::stod(words.at(5));
  for (int i = 0; i < count; ++i) {
    JobPlan plan;
    describe(plan, "job-" + std::to_string(first + i), Options(words, 6));
    if (plan.spec.team.ends_with('*')) plan.spec.team.back() = static_cast<char>('0' + i % 10);
    if (plan.spec.image.ends_with('*')) plan.spec.image.back() = static_cast<char>('0' + i % 7);
    world.sim.at(std::stod(words.at(1)) + gapS * i, [&world, plan] { world.submit(plan); });
  }
}

}  // namespace scenario
