// Users: they submit, repeat, poll and call off.
#include <algorithm>

#include "standin/world.hpp"

namespace standin {

namespace {
constexpr double kHopS = 0.002;  // one way, to any service
constexpr double kPollS = 5;
constexpr double kRetryS = 1;
constexpr double kGiveUpS = 60;
}  // namespace

void World::taskCompleted(const wire::TaskId& task) {
  if (cancelAtEndShare <= 0) return;
  const wire::JobSpec& spec = jobs.at(task.job.text).spec;
  for (std::uint32_t i = 0; i < spec.taskCount; ++i)
    if (!finishedTasks.contains(wire::TaskId{spec.ref, i})) return;
  if (sim.uniform(0, 1) >= cancelAtEndShare || !cancelledAtEnd.insert(spec.ref.text).second) return;
  // Around the moment at which its end is written down, with a question and a repeated submission beside it.
  sim.after(sim.uniform(0, 0.6), [this, ref = spec.ref.text] {
    abort(ref);
    poll(ref);
    retrySubmit(ref, sim.now() + kGiveUpS);
  });
}

void World::oddRequests() {
  const auto send = [this](const JobPlan& plan, const Json& body) {
    const std::string ref = plan.spec.ref.text;
    jobs[ref] = plan;
    checker.unfit(ref);
    toNode(anyNode(), "POST", "/api/jobs", wire::encodeBody(body), [this, ref](int status, const Json&) {
      checker.unfitAnswered(sim.now(), ref, status);
      if (status != 0) refusals[ref] = status;
    });
  };
  for (auto& [ref, plan] : std::map(jobs)) {
    const auto told = stage.find(ref);
    if (!accepted.contains(ref) || accepted.at(ref) >= 300) continue;
    if (told != stage.end() && told->second == "done") {
      abort(ref);
    } else {
      retrySubmit(ref, sim.now() + kGiveUpS);
    }
  }
  JobPlan plan;
  plan.spec.team = base.teams.front().name;
  plan.spec.jobClass = "odd";
  plan.spec.image = "img-0";
  plan.spec.each = {1, 0, 1};
  const auto fresh = [&] { plan.spec.ref.text = "job-" + std::to_string(900000 + ++odd_); };
  for (const char* field :
       {"ref", "lane", "crew", "shape", "rank", "loads", "vcpus", "accelerators", "memoryGb", "oneZone",
        "apart", "loaners", "crate", "sizeGb", "expectS", "stowEveryS", "stowS"}) {
    fresh();
    Json body = wire::encodeJob(plan.spec);
    body.erase(field);
    send(plan, body);
  }
  const auto unfit = [&](auto change) {
    fresh();
    JobPlan wrong = plan;
    change(wrong.spec);
    send(wrong, wire::encodeJob(wrong.spec));
  };
  unfit([](auto& spec) { spec.each.vcpus = 1e6; });
  unfit([](auto& spec) { spec.each.accelerators = 1; });
  unfit([](auto& spec) { spec.zone = "nowhere"; });
  unfit([](auto& spec) { spec.machineTypes = std::vector<std::string>{"no-such-type"}; });
  unfit([](auto& spec) { spec.team = "nobody"; });
  unfit([](auto& spec) { spec.taskCount = 0; });
}

World::Node& World::anyNode() {
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    Node& node = *nodes[nextUser_++ % nodes.size()];
    if (node.controller) return node;
  }
  return *nodes.front();
}

void World::toNode(Node& node, const std::string& method, const std::string& target, const std::string& body,
                   std::function<void(int status, const Json& body)> answer) {
  sim.after(kHopS, [this, &node, method, target, body, answer = std::move(answer)] {
    if (!node.controller) return answer(0, Json());
    whenAwake(node, node.life, [this, &node, method, target, body, answer] {
      const std::uint64_t number = node.nextRequest++;
      node.waiting[number] = [answer](const service::Reply& reply) { answer(reply.status, reply.body); };
      node.controller->onRequest(clock(), sim.wallMs(), service::Request{number, method, target, body});
      act(node);
    });
  });
}

void World::submit(const JobPlan& plan) {
  jobs[plan.spec.ref.text] = plan;
  checker.submitted(sim.now(), plan.spec);
  retrySubmit(plan.spec.ref.text, sim.now() + kGiveUpS);
}

void World::retrySubmit(const std::string& ref, double until) {
  auto answered = std::make_shared<bool>(false);
  const auto take = [this, ref, until, answered](int status, const Json& body) {
    if (std::exchange(*answered, true)) return;
    checker.submitAnswered(sim.now(), ref, status, status < 300 && status > 0 ? body.value("stage", "") : "");
    if (status == 200 || status == 201 || status == 400 || status == 422) {
      accepted[ref] = status;
    } else if (sim.now() < until) {
      sim.after(kRetryS, [this, ref, until] { retrySubmit(ref, until); });
    }
  };
  toNode(anyNode(), "POST", "/api/jobs", wire::encodeBody(wire::encodeJob(jobs[ref].spec)), take);
  sim.after(5, [take] { take(0, Json()); });
}

void World::abort(const std::string& ref) {
  checker.abortAsked(ref);
  ++abortsAsked;
  retryAbort(ref);
}

void World::retryAbort(const std::string& ref) {
  auto answered = std::make_shared<bool>(false);
  const auto take = [this, ref, answered](int status, const Json& body) {
    if (std::exchange(*answered, true)) return;
    checker.abortAnswered(sim.now(), ref, status, status == 200 ? body.value("stage", "") : "");
    if (status == 200) {
      stage[ref] = body.value("stage", "");
    } else if (status != 404) {
      sim.after(kRetryS, [this, ref] { retryAbort(ref); });
    }
  };
  toNode(anyNode(), "POST", "/api/jobs/" + ref + "/abort", "", take);
  sim.after(5, [take] { take(0, Json()); });
}

void World::poll(const std::string& ref) {
  auto answered = std::make_shared<bool>(false);
  const auto take = [this, ref, answered](int status, const Json& body) {
    if (std::exchange(*answered, true)) return;
    const std::string told = status == 200 ? body.value("stage", "") : "";
    if (status == 0 || status == 503) ++unanswered;
    checker.pollAnswered(sim.now(), ref, status, told);
    if (status == 200) stage[ref] = told;
    if (told == "done") doneAt.emplace(ref, sim.now());
  };
  toNode(anyNode(), "GET", "/api/jobs/" + ref, "", take);
  sim.after(2, [take] { take(0, Json()); });
}

void World::pollAll() {
  for (const auto& [ref, plan] : jobs)
    if (accepted.contains(ref)) poll(ref);
  poll("job-999999999");  // submitted by nobody
  sim.after(kPollS, [this] { pollAll(); });
}

}  // namespace standin
