// The state of a leader for tests of its components.
#pragma once

#include "service/leader/leader_state.hpp"

namespace reachhoist {

// A leader of term kTerm without machines. Its leadership counts as confirmed at the beginning of time,
// shortly before the present of the test.
struct LeaderStateFixture {
  static constexpr std::uint64_t kTerm = 3;

  LeaderStateFixture() { context.now = wire::Time{} + std::chrono::milliseconds(100); }

  static config::Settings makeSettings() {
    config::Settings settings;
    settings.label = "hoist-0";
    return settings;
  }

  const config::Settings settings = makeSettings();
  service::Context context{settings, service::LogLevel::error, [](auto, const auto&) {}};
  cluster::Leadership leadership{context.state, settings, 1, {}};
  state::Feed jobFeed{context.state,
                      "jobs/",
                      state::Urgency::placement,
                      std::chrono::milliseconds(1),
                      {[](const auto&, const wire::Json*, std::uint64_t) {}, nullptr, nullptr}};
  jobs::JobTable jobTable;
  service::LeaderState state{context, leadership, jobFeed, jobTable, kTerm, {1}};
};

}  // namespace reachhoist
