#include "peer/codec.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>

#include "peer.capnp.h"

namespace reachhoist::peer {

namespace {

capnp::Data::Reader toData(const std::string& text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

std::string toString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

RelayRequest readRelayRequest(rpc::Relay::Reader relay) {
  return {relay.getNumber(), toString(relay.getReport())};
}

RelayResponse readRelayResponse(rpc::Relayed::Reader relayed) {
  return {relayed.getNumber(), relayed.getStatus(), toString(relayed.getBody())};
}

Progress readProgress(rpc::Progress::Reader reader) {
  Progress progress;
  progress.term = reader.getTerm();
  for (const auto job : reader.getJobs())
    progress.jobs.push_back(JobProgress{job.getRef().cStr(), job.getDone(), job.getRunning()});
  return progress;
}

Heartbeat readHeartbeat(rpc::Hello::Reader hello) {
  return {hello.getTerm(), hello.getLeading(), hello.getConfirmed()};
}

Message readMessage(rpc::Message::Reader reader) {
  Message message;
  message.from = reader.getFrom().cStr();
  switch (reader.which()) {
    case rpc::Message::RELAY:
      message.payload = readRelayRequest(reader.getRelay());
      break;
    case rpc::Message::RELAYED:
      message.payload = readRelayResponse(reader.getRelayed());
      break;
    case rpc::Message::PROGRESS:
      message.payload = readProgress(reader.getProgress());
      break;
    case rpc::Message::HELLO:
      message.payload = readHeartbeat(reader.getHello());
      break;
  }
  return message;
}

void write(const RelayRequest& request, rpc::Message::Builder root) {
  auto relay = root.initRelay();
  relay.setNumber(request.number);
  relay.setReport(toData(request.heartbeat));
}

void write(const RelayResponse& response, rpc::Message::Builder root) {
  auto relayed = root.initRelayed();
  relayed.setNumber(response.number);
  relayed.setStatus(static_cast<std::uint16_t>(response.status));
  relayed.setBody(toData(response.body));
}

void write(const Progress& progress, rpc::Message::Builder root) {
  auto builder = root.initProgress();
  builder.setTerm(progress.term);
  auto jobs = builder.initJobs(static_cast<unsigned>(progress.jobs.size()));
  for (unsigned i = 0; i < progress.jobs.size(); ++i) {
    jobs[i].setRef(progress.jobs[i].ref);
    jobs[i].setDone(progress.jobs[i].done);
    jobs[i].setRunning(progress.jobs[i].running);
  }
}

void write(const Heartbeat& heartbeat, rpc::Message::Builder root) {
  auto hello = root.initHello();
  hello.setTerm(heartbeat.term);
  hello.setLeading(heartbeat.leading);
  hello.setConfirmed(heartbeat.storeConfirmed);
}

}  // namespace

std::string encode(const Message& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<rpc::Message>();
  root.setFrom(message.from);
  std::visit([&root](const auto& payload) { write(payload, root); }, message.payload);
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<Message> decode(const std::string& frame) {
  if (frame.empty() || frame.size() % sizeof(capnp::word) != 0) return std::nullopt;
  std::optional<Message> message;
  // Cap'n Proto throws on malformed input. It requires aligned memory, so the frame is copied.
  const auto exception = kj::runCatchingExceptions([&] {
    auto words = kj::heapArray<capnp::word>(frame.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), frame.data(), frame.size());
    capnp::FlatArrayMessageReader reader(words);
    message = readMessage(reader.getRoot<rpc::Message>());
  });
  if (exception != nullptr) return std::nullopt;
  return message;
}

}  // namespace reachhoist::peer
