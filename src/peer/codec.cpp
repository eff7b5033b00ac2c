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

std::string toText(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

RelayRequest readRelayRequest(rpc::Relay::Reader in) { return {in.getNumber(), toText(in.getReport())}; }

RelayResponse readRelayResponse(rpc::Relayed::Reader in) {
  return {in.getNumber(), in.getStatus(), toText(in.getBody())};
}

Progress readProgress(rpc::Progress::Reader in) {
  Progress progress;
  progress.term = in.getTerm();
  for (const auto job : in.getJobs())
    progress.jobs.push_back(JobProgress{job.getRef().cStr(), job.getDone(), job.getRunning()});
  return progress;
}

Heartbeat readHeartbeat(rpc::Hello::Reader in) { return {in.getTerm(), in.getLeading(), in.getConfirmed()}; }

Message readMessage(rpc::Message::Reader in) {
  Message message;
  message.from = in.getFrom().cStr();
  switch (in.which()) {
    case rpc::Message::RELAY:
      message.payload = readRelayRequest(in.getRelay());
      break;
    case rpc::Message::RELAYED:
      message.payload = readRelayResponse(in.getRelayed());
      break;
    case rpc::Message::PROGRESS:
      message.payload = readProgress(in.getProgress());
      break;
    case rpc::Message::HELLO:
      message.payload = readHeartbeat(in.getHello());
      break;
  }
  return message;
}

void write(const RelayRequest& request, rpc::Message::Builder root) {
  auto out = root.initRelay();
  out.setNumber(request.number);
  out.setReport(toData(request.heartbeat));
}

void write(const RelayResponse& response, rpc::Message::Builder root) {
  auto out = root.initRelayed();
  out.setNumber(response.number);
  out.setStatus(static_cast<std::uint16_t>(response.status));
  out.setBody(toData(response.body));
}

void write(const Progress& progress, rpc::Message::Builder root) {
  auto out = root.initProgress();
  out.setTerm(progress.term);
  auto jobs = out.initJobs(static_cast<unsigned>(progress.jobs.size()));
  for (unsigned i = 0; i < progress.jobs.size(); ++i) {
    jobs[i].setRef(progress.jobs[i].ref);
    jobs[i].setDone(progress.jobs[i].done);
    jobs[i].setRunning(progress.jobs[i].running);
  }
}

void write(const Heartbeat& heartbeat, rpc::Message::Builder root) {
  auto out = root.initHello();
  out.setTerm(heartbeat.term);
  out.setLeading(heartbeat.leading);
  out.setConfirmed(heartbeat.storeConfirmed);
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
  // Cap'n Proto throws on malformed input, and needs aligned memory, hence the copy.
  const auto failed = kj::runCatchingExceptions([&] {
    auto words = kj::heapArray<capnp::word>(frame.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), frame.data(), frame.size());
    capnp::FlatArrayMessageReader reader(words);
    message = readMessage(reader.getRoot<rpc::Message>());
  });
  if (failed != nullptr) return std::nullopt;
  return message;
}

}  // namespace reachhoist::peer
