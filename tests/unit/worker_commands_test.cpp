// Commands to workers: the fencing tokens under which attempts are started and forgotten.
#include "service/leader/worker_commands.hpp"

#include <gtest/gtest.h>

#include "leader_state_fixture.hpp"

namespace {

using namespace reachhoist;
using machines::AttemptPhase;
using service::HeartbeatSource;
using wire::CommandVerb;

// A leader with one machine that is up.
class WorkerCommandsTest : public testing::Test, protected LeaderStateFixture {
 protected:
  WorkerCommandsTest() {
    machine.phase = machines::MachinePhase::up;
    machine.endpoint = "10.1.0.1:9000";
    machine.incarnation = 1;
    acknowledge();
  }

  machines::Attempt& addAttempt(std::uint32_t index) {
    machines::Attempt attempt;
    attempt.task = wire::TaskId{{"job-1"}, index};
    attempt.number = cluster::fencingToken(kTerm, index + 1);
    attempt.isService = true;
    attempt.phase = AttemptPhase::recorded;
    machine.attempts.push_back(attempt);
    return machine.attempts.back();
  }
  // The worker reports the machine's newest token.
  void acknowledge() {
    machine.workerToken = commands.fencingTokenOf(machine);
    machine.contact.tokenAcknowledged = true;
  }
  // Sends the commands due by a direct call. Returns the call, which is not answered yet.
  wire::Call sendDirectCall() {
    commands.requestDirectCall(machine);
    commands.sendDirectCommands();
    auto calls = context.calls.drain();
    EXPECT_EQ(calls.size(), 1U);
    return calls.empty() ? wire::Call{} : std::move(calls.front());
  }
  void answer(const wire::Call& call) {
    context.calls.complete(call.number, wire::CallResult{200, true, wire::Json::object()});
  }
  void startDirectly() {
    const wire::Call call = sendDirectCall();
    EXPECT_EQ(call.body["orders"].size(), machine.attempts.size());
    answer(call);
  }
  void endAll() {
    for (machines::Attempt& attempt : machine.attempts) {
      attempt.phase = AttemptPhase::ended;
      attempt.cause = wire::Cause::stopped;
    }
  }
  service::IssuedCommands answerHeartbeat() {
    return commands.issueCommands(machine, HeartbeatSource::worker, ++sequence);
  }
  static std::size_t count(const service::IssuedCommands& issued, CommandVerb verb) {
    std::size_t matching = 0;
    for (const wire::Command& command : issued.commands) matching += command.verb == verb ? 1 : 0;
    return matching;
  }

  service::WorkerCommands commands{
      state, {[](const auto&) { return true; }, [](const auto&) { return true; }, [](auto&, const auto&) {}}};
  machines::Machine& machine = state.machines.add("vm-1");
  std::uint64_t sequence = 0;
};

// Guards against a repeat of the start command that starts the attempt anew after it was forgotten.
TEST_F(WorkerCommandsTest, AttemptStartedByADirectCallIsForgottenUnderAHigherToken) {
  addAttempt(0);
  addAttempt(1);
  const wire::Call start = sendDirectCall();
  answer(start);
  endAll();
  const service::IssuedCommands issued = answerHeartbeat();
  EXPECT_EQ(count(issued, CommandVerb::forget), 2U);
  EXPECT_EQ(issued.fencingToken, start.body["baton"].get<std::uint64_t>() + 1);
  EXPECT_TRUE(machine.contact.tokenAcknowledged);  // the machine can still get work
  EXPECT_EQ(answerHeartbeat().fencingToken, issued.fencingToken);
}

TEST_F(WorkerCommandsTest, AttemptStartedByAHeartbeatAnswerIsForgottenUnderTheSameToken) {
  addAttempt(0);
  const service::IssuedCommands start = answerHeartbeat();
  ASSERT_EQ(count(start, CommandVerb::start), 1U);
  endAll();
  const service::IssuedCommands issued = answerHeartbeat();
  EXPECT_EQ(count(issued, CommandVerb::forget), 1U);
  EXPECT_EQ(issued.fencingToken, start.fencingToken);
}

TEST_F(WorkerCommandsTest, NextAttemptStartedByADirectCallIsForgottenUnderAnEvenHigherToken) {
  addAttempt(0);
  startDirectly();
  endAll();
  const std::uint64_t first = answerHeartbeat().fencingToken;
  machine.attempts.clear();
  addAttempt(1);
  startDirectly();
  endAll();
  EXPECT_EQ(answerHeartbeat().fencingToken, first + 1);
}

// Guards against commands of a direct call on its way that the worker would reject for their lower token.
TEST_F(WorkerCommandsTest, TokenIsNotRaisedWhileADirectCallIsOnItsWay) {
  addAttempt(0);
  startDirectly();
  endAll();
  addAttempt(1);
  const wire::Call start = sendDirectCall();
  const service::IssuedCommands meanwhile = answerHeartbeat();
  EXPECT_EQ(count(meanwhile, CommandVerb::forget), 0U);
  EXPECT_EQ(meanwhile.fencingToken, start.body["baton"].get<std::uint64_t>());
  answer(start);
  const service::IssuedCommands afterwards = answerHeartbeat();
  EXPECT_EQ(count(afterwards, CommandVerb::forget), 1U);
  EXPECT_EQ(afterwards.fencingToken, meanwhile.fencingToken + 1);
}

// Guards against an answer to a heartbeat that the worker drops because a direct call with a higher token
// overtook it.
TEST_F(WorkerCommandsTest, DirectCallRaisesTheTokenOnlyIfTheWorkerListsTooManyAttempts) {
  addAttempt(0);
  startDirectly();
  endAll();
  const std::uint64_t token = commands.fencingTokenOf(machine);
  commands.requestDirectCall(machine);
  commands.sendDirectCommands();
  EXPECT_TRUE(context.calls.drain().empty());
  for (std::uint32_t index = 1; index <= constants::kMaxEndedAttemptsListed; ++index) addAttempt(index);
  endAll();
  const wire::Call call = sendDirectCall();
  EXPECT_EQ(call.body["baton"].get<std::uint64_t>(), token + 1);
  EXPECT_EQ(call.body["orders"].size(), constants::kMaxEndedAttemptsListed + 1);
}

// Guards against tokens of the next term.
TEST_F(WorkerCommandsTest, LeaderResignsWithTheLastTokenOfItsTerm) {
  machine.fencingSequence = constants::kMaxFencingSequence - 1;
  acknowledge();
  addAttempt(0);
  startDirectly();
  endAll();
  EXPECT_LT(answerHeartbeat().fencingToken, cluster::fencingToken(kTerm + 1, 0));
  EXPECT_TRUE(state.hasResigned());
}

}  // namespace
