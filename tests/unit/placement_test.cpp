// Pages of placements, and the aims that order the work.
#include <gtest/gtest.h>

#include "machines/pages.hpp"
#include "placement/aims.hpp"

namespace {

using namespace reachhoist;
using machines::Attempt;
using machines::AttemptPhase;
using machines::Machine;
using machines::MachineTable;
using machines::PageTable;

Attempt attempt(std::uint32_t index, std::uint64_t number) {
  Attempt out;
  out.task = wire::TaskId{wire::JobRef{"job-000412"}, index};
  out.number = number;
  return out;
}

Machine& machine(MachineTable& table, const std::string& host) {
  Machine& out = table.add(host);
  out.rig = "shuttle";
  out.yard = "merkato";
  return out;
}

TEST(Pages, StayBelowTheValueLimitAndReadBack) {
  constexpr std::size_t kBytes = 6900;
  MachineTable table;
  PageTable pages(kBytes);
  std::set<std::uint32_t> round;
  std::size_t placed = 0;
  for (int host = 0; host < 200; ++host) {
    Machine& one = machine(table, "vm-" + std::to_string(100000 + host));
    for (std::uint32_t i = 0; i < 8; ++i) {
      Attempt next = attempt(100'000 - i, (std::uint64_t{1} << 40) + placed);
      next.paged = pages.place(one, next, round, 4);
      if (!next.paged) continue;
      ++placed;
      one.attempts.push_back(next);
    }
  }
  EXPECT_EQ(round.size(), 4U);
  EXPECT_GT(placed, 250U);
  std::size_t read = 0;
  for (const auto& [number, value] : pages.encode(table, round)) {
    EXPECT_LE(value.dump().size(), kBytes);
    const auto hosts = machines::decodePage(value);
    ASSERT_TRUE(hosts);
    for (const auto& host : *hosts) {
      EXPECT_EQ(host.yard, "merkato");
      read += host.placed.size();
    }
  }
  EXPECT_EQ(read, placed);
}

TEST(Pages, TheNextWritingLeavesOutWhatIsFree) {
  MachineTable table;
  PageTable pages(7000);
  Machine& one = machine(table, "vm-1");
  std::set<std::uint32_t> round;
  for (std::uint32_t i = 0; i < 3; ++i) {
    Attempt next = attempt(i, i + 1);
    next.paged = pages.place(one, next, round, 4);
    one.attempts.push_back(next);
  }
  one.attempts[1].phase = AttemptPhase::free;
  const auto hosts = machines::decodePage(pages.encode(table, round).at(0));
  ASSERT_TRUE(hosts);
  EXPECT_EQ(hosts->at(0).placed.size(), 2U);
  pages.written(0, 9, {"vm-1"});
  EXPECT_EQ(pages.naming("vm-1"), std::vector<std::uint32_t>{0});
  EXPECT_TRUE(pages.naming("vm-2").empty());
}

TEST(Pages, MalformedOnesAreRefused) {
  using wire::Json;
  EXPECT_FALSE(machines::decodePage(Json::array()));
  EXPECT_FALSE(machines::decodePage(Json{{"hosts", {{"vm-1", Json::array({"a", "b", true})}}}}));
  EXPECT_FALSE(machines::decodePage(
      Json{{"hosts", {{"vm-1", Json::array({"a", "b", true, Json::array({"job-1/0"})})}}}}));
  EXPECT_FALSE(machines::decodePage(
      Json{{"hosts", {{"vm-1", Json::array({"a", "b", true, Json::array({"odd", 3})})}}}}));
}

TEST(Aims, TheNextOneThatCanStillBeMet) {
  config::Settings settings;
  settings.teams.push_back({"t", 0, 20, 0, 0});
  settings.objectives = {{"wait", "night", 90, 0.7, 0}, {"finished", "night", 400, 0.9, 0}};
  jobs::Job job;
  job.spec.crew = "t";
  job.spec.lane = "night";
  job.spec.loads = job.waiting = 10;
  job.spec.each.vcpus = 2;
  job.spec.expectS = 100;
  job.acceptedMs = 1000;
  // All ten fit the team's limit at once.
  EXPECT_EQ(placement::nextCall(job, settings, 1000).latestStartMs, 91'000);
  // The start within 90 s is lost beyond what estimates err by; 400 s less a run is next.
  EXPECT_EQ(placement::nextCall(job, settings, 150'000).latestStartMs, 301'000);
  EXPECT_FALSE(placement::nextCall(job, settings, 400'000).reachable);
  // Thirty need three runs one after another: only the end within 400 s is left, less 300 s.
  job.spec.loads = job.waiting = 30;
  EXPECT_EQ(placement::nextCall(job, settings, 1000).latestStartMs, 101'000);
}

}  // namespace
