// Virtual time: a queue of events in the order of their times, and a seeded source of random numbers.
#pragma once

#include <functional>
#include <map>
#include <random>

#include "wire/exchange.hpp"

namespace standin {

// A deterministic event simulation. The same seed and the same calls give the same run. Times are in seconds
// since the start of the simulation.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random_(seed) {}
  double now() const { return nowS_; }
  // The current time on a steady clock.
  reachhoist::wire::Time steady() const { return steadyAt(nowS_); }
  // The given time on a steady clock, which starts one hour after its epoch.
  static reachhoist::wire::Time steadyAt(double timeS) {
    return reachhoist::wire::Time{} + std::chrono::hours(1) + reachhoist::wire::seconds(timeS);
  }
  // The current time on a wall clock, in milliseconds since 1970.
  std::int64_t wallClockMs() const { return kWallClockStartMs + static_cast<std::int64_t>(nowS_ * 1000); }
  // Schedules an action. An action that is due in the past runs next. Actions that are due at the same time
  // run in the order of these calls.
  void at(double whenS, std::function<void()> action) {
    events_.emplace(std::pair{std::max(whenS, nowS_), nextEvent_++}, std::move(action));
  }
  void after(double delayS, std::function<void()> action) { at(nowS_ + delayS, std::move(action)); }
  // Runs all actions due up to the given time, including those that they schedule until then.
  void runUntil(double endS) {
    while (!events_.empty() && events_.begin()->first.first <= endS) {
      auto event = events_.extract(events_.begin());
      nowS_ = event.key().first;
      event.mapped()();
    }
    nowS_ = endS;
  }
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  // Returns true with the given probability.
  bool chance(double probability) { return uniform(0, 1) < probability; }
  // Returns a random index below the count.
  std::size_t randomIndex(std::size_t count) {
    return static_cast<std::size_t>(uniform(0, 1) * static_cast<double>(count));
  }

 private:
  static constexpr std::int64_t kWallClockStartMs = 1'700'000'000'000;

  double nowS_ = 0;
  std::uint64_t nextEvent_ = 0;
  std::map<std::pair<double, std::uint64_t>, std::function<void()>> events_;  // by time and order
  std::mt19937_64 random_;
};

}  // namespace standin
