// Properties of leader elections, over random faults of the controllers and of their calls.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "property/election_cluster.hpp"

namespace {

using election_cluster::ElectionCluster;
using election_cluster::Fault;
using election_cluster::FaultKind;

constexpr std::size_t kControllersMax = 3;
constexpr int kFaultsEndS = 60;
constexpr double kSettledS = 95;
constexpr double kEndS = 110;

rc::Gen<Fault> anyFault(std::size_t controllers) {
  const auto fault = [](FaultKind kind, std::size_t controller, int startMs, int durationMs) {
    return Fault{kind, controller, startMs / 1000.0, durationMs / 1000.0};
  };
  return rc::gen::apply(fault,
                        rc::gen::element(FaultKind::refused, FaultKind::suspended, FaultKind::slowAnswers,
                                         FaultKind::lostAnswers, FaultKind::restart, FaultKind::layoutRaise),
                        rc::gen::inRange<std::size_t>(0, controllers),
                        rc::gen::inRange(0, (kFaultsEndS - 10) * 1000),
                        rc::gen::oneOf(rc::gen::inRange(10, 1000), rc::gen::inRange(1000, 10000)));
}

rc::Gen<std::vector<Fault>> anyFaults(std::size_t controllers) {
  const auto faults = rc::gen::mapcat(rc::gen::inRange<std::size_t>(1, 13), [controllers](std::size_t count) {
    return rc::gen::container<std::vector<Fault>>(count, anyFault(controllers));
  });
  return rc::gen::resize(rc::kNominalSize, faults);
}

// Transactions of 16 writes hold a whole election, those of 4 only its first step.
rc::Gen<std::size_t> anyOpsPerTransaction() { return rc::gen::element<std::size_t>(16, 4); }

rc::Gen<std::uint64_t> anySeed() {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, 1U << 30U));
}

// Guards against two leaders whose commands are valid beside each other, and against controllers that can't
// be elected any more once their faults have ended.
RC_GTEST_PROP(Elections, UseEachTermOnceAndEndWithOneLeader, ()) {
  // A controller whose siblings are gone for good has to lead by itself.
  const std::size_t controllers = *rc::gen::element<std::size_t>(1, kControllersMax);
  ElectionCluster cluster(controllers, *anyOpsPerTransaction(), *anySeed());
  for (const Fault& fault : *anyFaults(controllers)) cluster.schedule(fault);
  cluster.runUntil(kSettledS);
  RC_LOG() << (cluster.violations().empty() ? "" : cluster.violations().front());
  RC_ASSERT(cluster.violations().empty());
  const auto leaders = cluster.leaders();
  RC_ASSERT(leaders.size() == 1U);
  RC_ASSERT(cluster.allKnow(leaders.front()));
  const std::size_t elections = cluster.electionCount();
  cluster.runUntil(kEndS);
  RC_ASSERT(cluster.electionCount() == elections);
}

}  // namespace
