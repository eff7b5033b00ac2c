#include "admin/rpc/state_loop.hpp"

#include <algorithm>
#include <future>
#include <thread>
#include <utility>

#include "calls/executor.hpp"

namespace reachhoist::admin {

namespace {
constexpr std::size_t kMaxSockets = 8;
constexpr std::chrono::milliseconds kLoopInterval{10};
}  // namespace

StateLoop::StateLoop(const config::Settings& settings)
    : settings_(settings),
      http_(reactor_, kMaxSockets),
      client_(calls_, settings, constants::kAdminBudgetShare),
      statusWatch_(client_, shares::kStatusKey, [this](const wire::Json*, std::uint64_t) {
        const std::lock_guard lock(mutex_);
        ++statusChangeCount_;
        statusChanged_.notify_all();
      }) {}

void StateLoop::start() {
  std::thread([this] { run(); }).detach();
}

void StateLoop::run() {
  statusWatch_.start(reactor_.now());
  net::spawn(runLoop());
  reactor_.run();
}

void StateLoop::post(std::function<void()> action) {
  const std::lock_guard lock(mutex_);
  postedActions_.push_back(std::move(action));
}

net::Task<void> StateLoop::runLoop() {
  for (;;) {
    runPostedActions();
    const auto now = reactor_.now();
    client_.pump(now);
    statusWatch_.tick(now);
    tickEdits(now);
    sendCalls();
    co_await reactor_.sleepUntil(now + kLoopInterval);
  }
}

void StateLoop::runPostedActions() {
  std::vector<std::function<void()>> actions;
  {
    // The lock is released before the actions run, so that other threads can post more actions meanwhile.
    const std::lock_guard lock(mutex_);
    actions = std::exchange(postedActions_, {});
  }
  for (const auto& action : actions) action();
}

void StateLoop::tickEdits(wire::Time now) {
  for (const auto& edit : edits_) edit->tick(now);
  std::erase_if(edits_, [](const auto& edit) { return edit->isFinished(); });
}

void StateLoop::sendCalls() {
  for (wire::Call& call : calls_.drain()) net::spawn(executeCall(std::move(call)));
}

net::Task<void> StateLoop::executeCall(wire::Call call) {
  const std::uint64_t number = call.number;
  const wire::CallResult result = co_await calls::execute(http_, std::move(call));
  calls_.complete(number, result);
  sendCalls();
}

std::optional<wire::CallResult> StateLoop::get(const std::string& key, Deadline deadline) {
  const auto promise = std::make_shared<std::promise<wire::CallResult>>();
  auto future = promise->get_future();
  post([this, key, promise] {
    client_.get(reactor_.now(), state::Urgency::background, key,
                [promise](const wire::CallResult& result) { promise->set_value(result); });
  });
  if (future.wait_until(deadline) != std::future_status::ready) return std::nullopt;
  return future.get();
}

EditResult StateLoop::edit(shares::Change change, Deadline deadline) {
  const auto promise = std::make_shared<std::promise<EditResult>>();
  auto future = promise->get_future();
  post([this, change = std::move(change), promise, deadline] {
    const auto remaining = deadline - std::chrono::system_clock::now();
    const auto steadyDeadline = reactor_.now() + std::chrono::duration_cast<wire::Duration>(remaining);
    auto edit =
        std::make_shared<ShareEdit>(client_, settings_, change, steadyDeadline,
                                    [promise](const EditResult& result) { promise->set_value(result); });
    edits_.push_back(edit);
    edit->start(reactor_.now());
  });
  if (future.wait_until(deadline) != std::future_status::ready) return unavailableResult();
  return future.get();
}

bool StateLoop::awaitStatusChange(std::uint64_t& seenChanges, Deadline deadline) {
  std::unique_lock lock(mutex_);
  if (!statusChanged_.wait_until(lock, deadline, [&] { return statusChangeCount_ != seenChanges; }))
    return false;
  seenChanges = statusChangeCount_;
  return true;
}

}  // namespace reachhoist::admin
