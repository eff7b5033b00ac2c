// Virtual time: events in order of their time, and a seeded source of small variations.
#pragma once

#include <functional>
#include <map>
#include <random>

#include "wire/exchange.hpp"

namespace standin {

class Sim {
 public:
  explicit Sim(std::uint64_t seed) : random_(seed) {}
  double now() const { return now_; }
  reachhoist::wire::Time steady() const {
    return reachhoist::wire::Time{} + std::chrono::hours(1) + reachhoist::wire::seconds(now_);
  }
  std::int64_t wallMs() const { return 1'700'000'000'000 + static_cast<std::int64_t>(now_ * 1000); }
  void at(double when, std::function<void()> action) {
    events_.emplace(std::pair{std::max(when, now_), next_++}, std::move(action));
  }
  void after(double delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }
  void runUntil(double end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key().first;
      event.mapped()();
    }
    now_ = end;
  }
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }

 private:
  double now_ = 0;
  std::uint64_t next_ = 0;
  std::map<std::pair<double, std::uint64_t>, std::function<void()>> events_;
  std::mt19937_64 random_;
};

}  // namespace standin
