// Virtual time: a queue of events in order of their time, and a seeded source of random numbers.
#pragma once

#include <functional>
#include <map>
#include <random>

#include "wire/exchange.hpp"

namespace standin {

// A deterministic event simulation. The same seed and the same calls give the same run. Times are in seconds
// since the start of the simulation.
class Sim {
 public:
  explicit Sim(std::uint64_t seed) : random_(seed) {}
  double now() const { return now_; }
  // The time as a steady clock shows it.
  reachhoist::wire::Time steady() const { return steadyAt(now_); }
  // What a steady clock shows at the given time; it starts one hour after its epoch.
  static reachhoist::wire::Time steadyAt(double timeS) {
    return reachhoist::wire::Time{} + std::chrono::hours(1) + reachhoist::wire::seconds(timeS);
  }
  // The time as a wall clock shows it, in milliseconds since 1970.
  std::int64_t wallClockMs() const { return kWallClockStartMs + static_cast<std::int64_t>(now_ * 1000); }
  // Schedules an action; one due in the past runs next. Actions due at the same time run in the order of
  // these calls.
  void at(double whenS, std::function<void()> action) {
    events_.emplace(std::pair{std::max(whenS, now_), next_++}, std::move(action));
  }
  void after(double delayS, std::function<void()> action) { at(now_ + delayS, std::move(action)); }
  // Runs all actions due up to the given time, and those that they schedule until then.
  void runUntil(double endS) {
    while (!events_.empty() && events_.begin()->first.first <= endS) {
      auto event = events_.extract(events_.begin());
      now_ = event.key().first;
      event.mapped()();
    }
    now_ = endS;
  }
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  // True with the given probability.
  bool chance(double probability) { return uniform(0, 1) < probability; }
  // A random index below the count.
  std::size_t pick(std::size_t count) {
    return static_cast<std::size_t>(uniform(0, 1) * static_cast<double>(count));
  }

 private:
  static constexpr std::int64_t kWallClockStartMs = 1'700'000'000'000;

  double now_ = 0;
  std::uint64_t next_ = 0;
  std::map<std::pair<double, std::uint64_t>, std::function<void()>> events_;
  std::mt19937_64 random_;
};

}  // namespace standin
