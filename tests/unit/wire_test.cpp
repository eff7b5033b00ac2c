// Decoding and encoding of submissions, CBOR bodies, heartbeats and task ids.
#include <gtest/gtest.h>

#include <limits>

#include "wire/codec.hpp"

namespace {

using namespace reachhoist::wire;

Json validJob() {
  return Json{{"ref", "job-000412"}, {"lane", "train"},    {"crew", "vision"}, {"shape", "sweep"},
              {"rank", "high"},      {"loads", 16},        {"vcpus", 8.0},     {"accelerators", 1.0},
              {"memoryGb", 64.0},    {"crate", "img"},     {"sizeGb", 6.2},    {"rigs", Json::array({"g8"})},
              {"yard", nullptr},     {"oneZone", true},    {"apart", false},   {"loaners", true},
              {"expectS", 240.0},    {"stowEveryS", 30.0}, {"stowS", 4.0},     {"dueS", 900.0}};
}

TEST(Job, RoundTrip) {
  const auto job = decodeJob(validJob());
  ASSERT_TRUE(job) << job.reason();
  const auto decoded = decodeJob(encodeJob(*job));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(encodeJob(*decoded), encodeJob(*job));
  EXPECT_EQ(decoded->priority, Priority::high);
  EXPECT_EQ(decoded->deadlineS, 900.0);
  EXPECT_FALSE(decoded->requiredZone);
}

TEST(Job, NullAndAbsentOptionalFieldsAreEquivalent) {
  Json body = validJob();
  for (const char* key : {"rigs", "yard", "dueS"}) {
    body.erase(key);
    EXPECT_TRUE(decodeJob(body)) << key;
    body[key] = nullptr;
    EXPECT_TRUE(decodeJob(body)) << key;
  }
}

TEST(Job, UnknownFieldsAreIgnored) {
  Json body = validJob();
  body["novelty"] = Json::array({1, 2});
  EXPECT_TRUE(decodeJob(body));
}

TEST(Job, ErrorNamesTheMissingField) {
  const Json valid = validJob();
  for (const auto& [key, value] : valid.items()) {
    if (key == "rigs" || key == "yard" || key == "dueS") continue;
    Json body = validJob();
    body.erase(key);
    const auto job = decodeJob(body);
    ASSERT_FALSE(job) << key;
    EXPECT_NE(job.reason().find(key), std::string::npos) << job.reason();
  }
}

TEST(Job, InvalidValuesAreRefused) {
  const std::vector<std::pair<const char*, Json>> invalidValues = {
      {"loads", 0},
      {"loads", 100001},
      {"loads", -1},
      {"loads", 1.5},
      {"loads", "3"},
      {"vcpus", -1.0},
      {"vcpus", std::numeric_limits<double>::quiet_NaN()},
      {"memoryGb", std::numeric_limits<double>::infinity()},
      {"ref", "job-"},
      {"ref", "task-1"},
      {"ref", "job-1/2"},
      {"ref", "job-1 "},
      {"ref", 7},
      {"crew", ""},
      {"lane", std::string(300, 'x')},
      {"shape", "gang"},
      {"rank", "urgent"},
      {"oneZone", 1},
      {"rigs", "g8"},
      {"rigs", Json::array({1})},
      {"yard", 3},
      {"dueS", -5.0},
      {"stowS", "4"}};
  for (const auto& [key, value] : invalidValues) {
    Json body = validJob();
    body[key] = value;
    EXPECT_FALSE(decodeJob(body)) << key << " = " << value;
  }
}

TEST(Cbor, MalformedBodiesAreRefusedBeforeDecoding) {
  EXPECT_FALSE(decodeBody(""));
  EXPECT_FALSE(decodeBody(std::string(60000, '\x81')));                              // 60,000 nested arrays
  EXPECT_FALSE(decodeBody(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9)));  // 2^64 items declared
  EXPECT_FALSE(decodeBody(std::string("\xbb\x7f\xff\xff\xff\xff\xff\xff\xff", 9)));
  EXPECT_FALSE(
      decodeBody(std::string("\x7a\xff\xff\xff\xff"
                             "abc",
                             8)));                               // text longer than the body
  EXPECT_FALSE(decodeBody(std::string("\x42\x01\x02", 3)));      // byte string
  EXPECT_FALSE(decodeBody(std::string("\x01\x02", 2)));          // trailing byte
  EXPECT_FALSE(decodeBody(std::string("\x9f\x01\xff", 3)));      // indefinite length
  EXPECT_FALSE(decodeBody(std::string("\xc1\x01", 2)));          // tag
  EXPECT_FALSE(decodeBody(std::string("\x61\xff", 2)));          // not UTF-8
  EXPECT_FALSE(decodeBody("{\"ref\":1}"));                       // JSON is not CBOR
  EXPECT_FALSE(decodeBody(std::string("\x63\xed\xa0\x80", 4)));  // a surrogate
  EXPECT_TRUE(decodeBody(encodeBody(Json("\u00e4\u20ac\U0001F600"))));
  const auto decoded = decodeBody(encodeBody(validJob()));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, validJob());
}

TEST(WorkerHeartbeat, RoundTripAndUnknownCauseOrState) {
  WorkerHeartbeat heartbeat;
  heartbeat.host.text = "vm-000231";
  heartbeat.endpoint = "10.1.0.232:9000";
  heartbeat.machineType = "g8";
  heartbeat.zone = "a";
  heartbeat.incarnation = 1;
  heartbeat.sequence = 88;
  heartbeat.fencingToken = 1ULL << 62U;
  heartbeat.tasks.push_back(
      TaskStatus{*parseTaskId("job-000412/3"), 2, TaskState::running, Cause::none, false});
  heartbeat.tasks.push_back(
      TaskStatus{*parseTaskId("job-000398/0"), 1, TaskState::ended, Cause::done, false});
  Json body = encodeHeartbeat(heartbeat);
  const auto decoded = decodeHeartbeat(body);
  ASSERT_TRUE(decoded) << decoded.reason();
  EXPECT_EQ(decoded->fencingToken, heartbeat.fencingToken);
  EXPECT_EQ(decoded->tasks.at(1).cause, Cause::done);
  for (const char* cause : {"peers", "alone"}) {
    body["loads"][1]["cause"] = cause;
    EXPECT_EQ(encodeHeartbeat(*decodeHeartbeat(body)), body);
  }
  // An unknown state or cause does not prove that the task has ended. The task counts as present, and the
  // rest of the heartbeat stays valid.
  body["loads"][1]["cause"] = "some later word";
  EXPECT_EQ(decodeHeartbeat(body)->tasks.at(1).state, TaskState::unrecognized);
  body["loads"][1]["stage"] = "some later stage";
  EXPECT_EQ(decodeHeartbeat(body)->tasks.at(1).state, TaskState::unrecognized);
  EXPECT_EQ(decodeHeartbeat(body)->tasks.at(0).state, TaskState::running);
  body["loads"][1].erase("stage");
  EXPECT_FALSE(decodeHeartbeat(body));
}

TEST(Job, GangRoundTrip) {
  Json body = validJob();
  body["shape"] = "ensemble";
  const auto job = decodeJob(body);
  ASSERT_TRUE(job) << job.reason();
  EXPECT_EQ(job->kind, JobKind::gang);
  EXPECT_EQ(encodeJob(*job)["shape"], "ensemble");
}

TEST(TaskId, ParsesValidIdsAndRefusesMalformedOnes) {
  EXPECT_EQ(parseTaskId("job-12/7")->index, 7U);
  for (const char* malformed :
       {"job-12", "job-12/", "job-12/x", "job-12/-1", "job-12/4294967296", "x/1", "/1", ""})
    EXPECT_FALSE(parseTaskId(malformed)) << malformed;
}

}  // namespace
