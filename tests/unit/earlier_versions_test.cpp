// Compatibility with two earlier versions: the one in production, and the first one with gangs. Their own
// code wrote the records and peer messages in tests/fixtures. This version must decode them and encode the
// same content to the same bytes, so that each version can continue from the records of the other and answer
// its messages.
#include <gtest/gtest.h>

#include <fstream>

#include "fleet/sizing.hpp"
#include "jobs/jobs.hpp"
#include "machines/placement_batches.hpp"
#include "peer/codec.hpp"
#include "wire/codec.hpp"

namespace {

using namespace reachhoist;
using wire::Json;

Json fixtureOf(const std::string& version, const std::string& name) {
  std::ifstream file(std::string(FIXTURE_DIR) + "/" + version + "/" + name);
  return Json::parse(file);
}

// Removes the mark that a transaction adds to each value that it writes.
Json withoutMark(Json value) {
  value.erase("mark");
  return value;
}

// Decodes a placement batch and encodes its content again with the code of this version.
Json reencoded(const Json& batch) {
  machines::MachineTable table;
  const auto hosts = machines::decodePlacementBatch(batch).value();
  for (const machines::BatchedHost& record : hosts) {
    machines::Machine& machine = table.add(record.host);
    machine.machineType = record.machineType;
    machine.zone = record.zone;
    machine.spot = record.spot;
    for (const auto& [task, number] : record.placed) {
      machines::Attempt attempt;
      attempt.task = task;
      attempt.number = number;
      attempt.batch = 0;
      attempt.phase = machines::AttemptPhase::recorded;
      machine.attempts.push_back(attempt);
    }
  }
  return machines::PlacementBatchTable(7000).encode(table, {0}).at(0);
}

Json fixture(const std::string& name) { return fixtureOf("production", name); }

class EarlierVersions : public testing::TestWithParam<const char*> {
 protected:
  Json fixture(const std::string& name) const { return fixtureOf(GetParam(), name); }
};

INSTANTIATE_TEST_SUITE_P(All, EarlierVersions, testing::Values("production", "first-gangs"),
                         [](const auto& info) {
                           return std::string(info.param) == "production" ? "Production" : "FirstGangs";
                         });

TEST_P(EarlierVersions, JobRecordsRoundTrip) {
  const Json records = fixture("records.json");
  int openJobs = 0;
  for (const auto& [key, value] : records.items()) {
    if (!key.starts_with("jobs/")) continue;
    const std::string ref = key.substr(5, key.find(' ') - 5);
    jobs::JobTable table;
    ASSERT_NE(table.apply(ref, value, 7), jobs::JobTable::Change::malformed) << key;
    const jobs::Job& job = *table.find(ref);
    if (job.isOpen()) {
      ++openJobs;
      EXPECT_EQ(jobs::encodeOpen(job), value) << key;
      EXPECT_EQ(jobs::encodeOpen(job).dump(), value.dump()) << key;
    } else {
      Json reencodedRecord = jobs::encodeFinal(job, job.phase);
      reencodedRecord["atMs"] = value["atMs"];  // not kept in memory once a job has ended
      EXPECT_EQ(reencodedRecord, value) << key;
    }
  }
  EXPECT_EQ(openJobs, 2);
}

TEST(Production, ProgressRecordRoundTrips) {
  const Json records = fixture("records.json");
  jobs::JobTable table;
  table.apply("job-000412", records["jobs/job-000412"], 1);
  jobs::Job& job = *table.find("job-000412");
  job.beginTracking(wire::Time{});
  ASSERT_TRUE(job.loadDoneChunk(0, records["done/job-000412/0"]["hex"], 3, wire::Time{}));
  EXPECT_EQ(job.completedCount, 4U);
  EXPECT_EQ(job.tasks[7], jobs::TaskPhase::completed);
  EXPECT_EQ(job.encodeDoneChunk(0), records["done/job-000412/0"]["hex"]);
}

TEST(Production, ProgressRecordSerializesToTheSameBytes) {
  EXPECT_EQ(fixture("records.json")["done/job-000412/0"].dump(), "{\"hex\":\"9808\"}");
}

TEST_P(EarlierVersions, PlacementBatchesRoundTrip) {
  const Json records = fixture("state.json");
  int batches = 0;
  for (const auto& [key, value] : records.items()) {
    if (!key.starts_with("placed/")) continue;
    ++batches;
    EXPECT_EQ(reencoded(value).dump(), withoutMark(value).dump()) << key;
  }
  EXPECT_GT(batches, 0);
  const Json batch = fixture("records.json")["placed/0"];
  EXPECT_EQ(reencoded(batch).dump(), batch.dump());
}

TEST(Production, PlacementBatchDecodesToMachinesAndAttempts) {
  const auto hosts = machines::decodePlacementBatch(fixture("records.json")["placed/0"]).value();
  ASSERT_EQ(hosts.size(), 3U);
  const machines::BatchedHost& lastMachine = hosts.back();
  EXPECT_EQ(lastMachine.host, "vm-000002");
  EXPECT_TRUE(lastMachine.spot);
  EXPECT_EQ(lastMachine.placed.at(1).task.str(), "job-000412/5");
  EXPECT_EQ(lastMachine.placed.at(1).number, (5ULL << 20U) + 19);
}

TEST(FirstGangs, PlacementBatchesHoldAllTasksOfAGangAttempt) {
  const Json records = fixtureOf("first-gangs", "state.json");
  std::set<std::uint32_t> tasks;
  std::set<std::uint64_t> numbers;
  for (const auto& [key, value] : records.items()) {
    if (!key.starts_with("placed/")) continue;
    const auto hosts = machines::decodePlacementBatch(value).value();
    for (const machines::BatchedHost& record : hosts) {
      for (const auto& [task, number] : record.placed) {
        if (task.job.text != "job-107") continue;
        tasks.insert(task.index);
        numbers.insert(number);
      }
    }
  }
  EXPECT_EQ(tasks.size(), 9U);
  EXPECT_EQ(numbers.size(), 1U);
}

TEST(FirstGangs, SizingStateRoundTrips) {
  const Json stored = fixtureOf("first-gangs", "records.json")["fleet/learned"];
  config::Settings settings;
  fleet::Sizing sizing(settings, 1);
  ASSERT_TRUE(sizing.decode(stored));
  EXPECT_EQ(sizing.encode(7000).dump(), stored.dump());
}

TEST_P(EarlierVersions, CatalogRoundTrips) {
  const Json stored = fixture("records.json")["catalog"];
  const auto machineTypes = wire::decodeCatalog(stored);
  ASSERT_TRUE(machineTypes);
  EXPECT_EQ(wire::encodeCatalog(*machineTypes).dump(), stored.dump());
}

TEST_P(EarlierVersions, PeerMessagesRoundTrip) {
  const Json frames = fixture("frames.json");
  EXPECT_EQ(frames.size(), 4U);
  for (const auto& [name, hexJson] : frames.items()) {
    const std::string hex = hexJson;
    std::string bytes;
    for (std::size_t i = 0; i < hex.size(); i += 2)
      bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
    const auto message = peer::decode(bytes);
    ASSERT_TRUE(message) << name;
    EXPECT_EQ(peer::encode(*message), bytes) << name;
  }
}

// A version without gangs decodes the record of a gang as malformed. The record layout prevents such a
// version from becoming leader while the store holds such records.
TEST(Production, GangRecordIsAcceptedAndUnknownJobKindIsMalformed) {
  Json record = fixture("records.json")["jobs/job-000412"];
  record["spec"]["shape"] = "ensemble";
  jobs::JobTable table;
  EXPECT_EQ(table.apply("job-000412", record, 1), jobs::JobTable::Change::accepted);
  EXPECT_TRUE(table.find("job-000412")->isGang());
  record["spec"]["shape"] = "some later shape";
  EXPECT_EQ(table.apply("job-000412", record, 2), jobs::JobTable::Change::malformed);
}

}  // namespace
