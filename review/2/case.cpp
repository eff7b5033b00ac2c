// Case 2: a job whose task failed once on a faulty machine is never started again after the machine has recovered,
// although it has room, as long as the cloud has no other machine.
#include "../standin/world.hpp"

using namespace review;

int main(int, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  World::Options options;
  options.types = {MachineType{"runner", 8, 32, 1.5, {"rack"}, 2}};
  options.teams[0]["cpus_max"] = 40.0;
  static World* const world = new World(argv[1], argv[2], options);
  World& w = *world;
  const bool trouble = withTrouble();
  for (int i = 0; i < w.count(); ++i) w.start(i);
  if (!w.waitFor(10, [&] { return !w.state.leader().empty() && w.isHealthy(0) && w.isHealthy(1) && w.isHealthy(2); }))
    w.finish(kNotRun, "the controllers did not become healthy");
  // Services: four replicas fill one machine, one replica is on the other.
  w.submit("job-1", JobPlan{jobBody("job-1", "daemon", "prod", 4, 2, "img-g", 0.2, 0), 0});
  w.submit("job-2", JobPlan{jobBody("job-2", "daemon", "prod", 1, 2, "img-g", 0.2, 0), 0});
  const auto running = [&] {
    std::size_t tasks = w.ground.hostsOf("job-2/0").size();
    for (int i = 0; i < 4; ++i) tasks += w.ground.hostsOf("job-1/" + std::to_string(i)).size();
    return tasks == 5;
  };
  if (!w.waitFor(15, running)) w.finish(kNotRun, "the services did not start");
  std::shared_ptr<Worker> roomy;
  for (const auto& worker : w.cloud.workers())
    if (worker->freeCpus() >= 2) roomy = worker;
  if (w.cloud.workers().size() != 2 || !roomy) w.finish(kNotRun, "the machines are not used as intended");

  if (trouble) roomy->setFaulty(true);
  w.submit("job-3", JobPlan{jobBody("job-3", "sweep", "standard", 1, 2, "img-g", 0.2, 2), 2});
  if (!w.waitFor(8, [&] { return w.ground.starts("job-3/0") == 1; })) w.finish(kNotRun, "the task was not started at all");
  if (trouble) {
    if (!w.waitFor(3, [&] { return w.ground.hostsOf("job-3/0").empty(); })) w.finish(kNotRun, "the task did not fail");
    roomy->setFaulty(false);
  }
  // The trouble is over: within 90 s the job must be started, if a machine that fits has room all the time.
  const Time over = Clock::now();
  bool hadRoom = true;
  std::string stage;
  while (secondsBetween(over, Clock::now()) < 91) {
    sleepSeconds(0.5);
    if (w.ground.starts("job-3/0") > (trouble ? 1 : 0)) break;
    bool room = false;
    for (const auto& worker : w.cloud.workers()) room = room || worker->freeCpus() >= 2;
    hadRoom = hadRoom && room;
  }
  stage = w.stage("job-3", 0);
  w.record.line("room on " + roomy->host() + ": " + std::to_string(roomy->freeCpus()) + " CPUs");
  if (w.ground.starts("job-3/0") > (trouble ? 1 : 0)) {
    const bool done = w.waitFor(15, [&] { return (stage = w.stage("job-3", 0)) == "done" || (sleepSeconds(0.5), false); });
    w.finish(done ? kHeld : kBroken, done ? "rule held: the job was started and is done" : "the job was started but is not done");
  }
  if (!hadRoom) w.finish(kNotRun, "no machine had room all the time");
  w.finish(kBroken, "rule broken: job-3 (" + stage + ") has waited for 90 s since the trouble ended, with room for it on " + roomy->host());
}
