// Case 1: a controller that lost the leadership while it was cut off misses the term of its successor,
// and later leads under the same term. A start command of the successor, held up on its way, is then executed beside the new leader's.
#include "../standin/world.hpp"

using namespace review;

int main(int, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  World::Options options;
  options.types = {MachineType{"runner", 8, 32, 2, {"rack"}, 8}};
  static World* const world = new World(argv[1], argv[2], options);
  World& w = *world;
  const auto finish = [&](int status, const std::string& text) { w.finish(status, text); };
  const bool trouble = withTrouble();
  // CUT=0 leaves out the first disruption alone: the crash and the late command then break nothing. CUT=net cuts the
  // leader's connections to the state service and the other controllers instead, for 10 s.
  const std::string kind = std::getenv("CUT") == nullptr ? "refused" : std::getenv("CUT");
  const bool cut = trouble && kind != "0";
  for (int i = 0; i < w.count(); ++i) w.start(i);
  if (!w.waitFor(15, [&] { return !w.state.leader().empty() && w.isHealthy(0) && w.isHealthy(1) && w.isHealthy(2); }))
    finish(kNotRun, "the controllers did not become healthy");
  sleepSeconds(2);
  int first = w.indexOf(w.state.leader());
  if (cut && kind == "net") {
    w.cutFromStateAndPeers(first, true);
    sleepSeconds(10);
    w.cutFromStateAndPeers(first, false);
  } else if (cut) {
    // The state service refuses the leader alone, while connections between controllers are refused.
    w.record.line("the state service refuses " + w.nodes.labels[static_cast<std::size_t>(first)] +
                  " alone; its connections with the other controllers are refused");
    w.state.setRefused(first, true);
    w.cutPeers(first, true);
    sleepSeconds(7);
    w.state.setRefused(first, false);
    w.cutPeers(first, false);
    w.record.line("end of the refusals");
  }
  if (cut) sleepSeconds(3);
  const int second = w.indexOf(w.state.leader());
  if (cut && (second < 0 || second == first)) finish(kNotRun, "no other controller leads after the cut");
  if (trouble && !cut) first = (second + 1) % w.count();

  // Services that leave room on seven machines, and a task that fills an eighth one and ends.
  std::set<std::string> serviceHosts;
  for (int i = 1; i <= 7; ++i) {
    const std::string ref = "job-1" + std::to_string(i);
    w.submit(ref, JobPlan{jobBody(ref, "daemon", "prod", 1, 5, "img-y", 0.5, 0), 0});
  }
  if (!w.waitFor(30, [&] {
        for (int i = 1; i <= 7; ++i)
          for (const std::string& host : w.ground.hostsOf("job-1" + std::to_string(i) + "/0")) serviceHosts.insert(host);
        return serviceHosts.size() == 7;
      }))
    finish(kNotRun, "the services did not start");
  w.submit("job-2", JobPlan{jobBody("job-2", "sweep", "high", 1, 8, "img-x", 1, 2), 2});
  if (!w.waitFor(30, [&] { return w.ground.starts("job-2/0") == 1 && w.ground.hostsOf("job-2/0").empty(); }))
    finish(kNotRun, "the array task did not end");
  // Its image makes the eighth machine the best one for the next task.
  sleepSeconds(2);
  if (trouble)
    for (const auto& worker : w.cloud.workers()) worker->holdLaunchesOf("job-3", 14);
  w.submit("job-3", JobPlan{jobBody("job-3", "sweep", "standard", 1, 2, "img-x", 1, 40), 40});
  if (trouble) {
    if (!w.waitFor(10, [&] {
          for (const auto& worker : w.cloud.workers())
            if (worker->hasHeld()) return true;
          return false;
        }))
      finish(kNotRun, "no start command was sent directly");
    // Two controllers crash, the leader among them. They are back 4 s later.
    for (int i = 0; i < w.count(); ++i)
      if (i != first) w.kill(i);
    for (const auto& worker : w.cloud.workers()) worker->holdLaunchesOf("", 0);
    sleepSeconds(4);
    for (int i = 0; i < w.count(); ++i)
      if (i != first) w.start(i);
  }
  w.waitFor(35, [&] { return !w.ground.ranTwice().empty(); });
  const auto broken = w.ground.ranTwice();
  if (!broken.empty()) finish(kBroken, "rule broken: ran_twice: " + broken.front());
  if (w.ground.starts("job-3/0") == 0) finish(kNotRun, "the task was never started");
  finish(kHeld, "rule held: no task ran twice");
}
