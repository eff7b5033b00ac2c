// What the version in production wrote (tests/fixtures/production, made with its own code) is read by this
// one, and what this one writes for the same content is the same.
#include <gtest/gtest.h>

#include <fstream>

#include "jobs/jobs.hpp"
#include "machines/pages.hpp"
#include "peer/codec.hpp"
#include "wire/codec.hpp"

namespace {

using namespace reachhoist;
using wire::Json;

Json fixture(const std::string& name) {
  std::ifstream in(std::string(FIXTURE_DIR) + "/production/" + name);
  return Json::parse(in);
}

TEST(Production, JobsAreReadAndWrittenAlike) {
  const Json records = fixture("records.json");
  int open = 0;
  for (const auto& [key, value] : records.items()) {
    if (!key.starts_with("jobs/")) continue;
    const std::string ref = key.substr(5, key.find(' ') - 5);
    jobs::JobTable table;
    ASSERT_NE(table.apply(ref, value, 7), jobs::JobTable::Change::malformed) << key;
    const jobs::Job& job = *table.find(ref);
    if (job.open()) {
      ++open;
      EXPECT_EQ(jobs::encodeOpen(job), value) << key;
      EXPECT_EQ(jobs::encodeOpen(job).dump(), value.dump()) << key;
    } else {
      Json again = jobs::encodeFinal(job, job.phase);
      again["atMs"] = value["atMs"];  // not kept in memory once a job has ended
      EXPECT_EQ(again, value) << key;
    }
  }
  EXPECT_EQ(open, 2);
}

TEST(Production, ProgressIsReadAndWrittenAlike) {
  const Json records = fixture("records.json");
  jobs::JobTable table;
  table.apply("job-000412", records["jobs/job-000412"], 1);
  jobs::Job& job = *table.find("job-000412");
  job.beginOwning(wire::Time{});
  ASSERT_TRUE(job.loadDoneChunk(0, records["done/job-000412/0"]["hex"], 3, wire::Time{}));
  EXPECT_EQ(job.completed, 4U);
  EXPECT_EQ(job.tasks[7], jobs::TaskPhase::completed);
  EXPECT_EQ(job.doneChunk(0), records["done/job-000412/0"]["hex"]);
}

TEST(Production, PagesAreReadAndWrittenAlike) {
  const Json page = fixture("records.json")["placed/0"];
  const auto hosts = machines::decodePage(page);
  ASSERT_TRUE(hosts);
  ASSERT_EQ(hosts->size(), 3U);
  machines::MachineTable table;
  for (const machines::PagedHost& paged : *hosts) {
    machines::Machine& machine = table.add(paged.host);
    machine.rig = paged.rig;
    machine.yard = paged.yard;
    machine.loaners = paged.loaners;
    for (const auto& [task, number] : paged.placed) {
      machines::Attempt attempt;
      attempt.task = task;
      attempt.number = number;
      attempt.paged = 0;
      attempt.phase = machines::AttemptPhase::recorded;
      machine.attempts.push_back(attempt);
    }
  }
  EXPECT_EQ(table.find("vm-000002")->attempts.at(1).number, (5ULL << 20U) + 19);
  EXPECT_EQ(machines::PageTable(7000).encode(table, {0}).at(0).dump(), page.dump());
}

TEST(Production, TheCatalogIsReadAndWrittenAlike) {
  const Json stored = fixture("records.json")["catalog"];
  const auto rigs = wire::decodeCatalog(stored);
  ASSERT_TRUE(rigs);
  EXPECT_EQ(wire::encodeCatalog(*rigs).dump(), stored.dump());
}

TEST(Production, PeerMessagesAreReadAndWrittenAlike) {
  const Json frames = fixture("frames.json");
  EXPECT_EQ(frames.size(), 4U);
  for (const auto& [name, text] : frames.items()) {
    const std::string hex = text;
    std::string bytes;
    for (std::size_t i = 0; i < hex.size(); i += 2)
      bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
    const auto message = peer::decode(bytes);
    ASSERT_TRUE(message) << name;
    EXPECT_EQ(peer::encode(*message), bytes) << name;
  }
}

// An earlier version's reader takes a gang for a malformed record; the layout keeps it from leading over one.
TEST(Production, AGangIsNoArrayToAnybody) {
  Json record = fixture("records.json")["jobs/job-000412"];
  record["spec"]["shape"] = "ensemble";
  jobs::JobTable table;
  EXPECT_EQ(table.apply("job-000412", record, 1), jobs::JobTable::Change::accepted);
  EXPECT_TRUE(table.find("job-000412")->isGang());
  record["spec"]["shape"] = "some later shape";
  EXPECT_EQ(table.apply("job-000412", record, 2), jobs::JobTable::Change::malformed);
}

}  // namespace
