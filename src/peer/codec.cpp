#include "peer/codec.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>

#include "peer.capnp.h"

namespace reachhoist::peer {

namespace {

capnp::Data::Reader data(const std::string& text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

std::string text(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

Message read(rpc::Message::Reader in) {
  Message out;
  out.from = in.getFrom().cStr();
  switch (in.which()) {
    case rpc::Message::RELAY:
      out.what = Relay{in.getRelay().getNumber(), text(in.getRelay().getReport())};
      break;
    case rpc::Message::RELAYED: {
      const auto relayed = in.getRelayed();
      out.what = Relayed{relayed.getNumber(), relayed.getStatus(), text(relayed.getBody())};
      break;
    }
    case rpc::Message::PROGRESS: {
      Progress progress;
      progress.term = in.getProgress().getTerm();
      for (const auto job : in.getProgress().getJobs())
        progress.jobs.push_back(JobProgress{job.getRef().cStr(), job.getDone(), job.getRunning()});
      out.what = std::move(progress);
      break;
    }
    case rpc::Message::HELLO:
      out.what = Heartbeat{in.getHello().getTerm(), in.getHello().getLeading(), in.getHello().getConfirmed()};
      break;
  }
  return out;
}

}  // namespace

std::string encode(const Message& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<rpc::Message>();
  root.setFrom(message.from);
  if (const auto* relay = std::get_if<Relay>(&message.what)) {
    auto out = root.initRelay();
    out.setNumber(relay->number);
    out.setReport(data(relay->heartbeat));
  } else if (const auto* relayed = std::get_if<Relayed>(&message.what)) {
    auto out = root.initRelayed();
    out.setNumber(relayed->number);
    out.setStatus(static_cast<std::uint16_t>(relayed->status));
    out.setBody(data(relayed->body));
  } else if (const auto* heartbeat = std::get_if<Heartbeat>(&message.what)) {
    auto out = root.initHello();
    out.setTerm(heartbeat->term);
    out.setLeading(heartbeat->leading);
    out.setConfirmed(heartbeat->confirmed);
  } else if (const auto* progress = std::get_if<Progress>(&message.what)) {
    auto out = root.initProgress();
    out.setTerm(progress->term);
    auto jobs = out.initJobs(static_cast<unsigned>(progress->jobs.size()));
    for (unsigned i = 0; i < progress->jobs.size(); ++i) {
      jobs[i].setRef(progress->jobs[i].ref);
      jobs[i].setDone(progress->jobs[i].done);
      jobs[i].setRunning(progress->jobs[i].running);
    }
  }
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<Message> decode(const std::string& frame) {
  if (frame.empty() || frame.size() % sizeof(capnp::word) != 0) return std::nullopt;
  std::optional<Message> out;
  // Cap'n Proto reports what is malformed by exceptions; a copy gives the alignment that it needs.
  const auto failed = kj::runCatchingExceptions([&] {
    auto words = kj::heapArray<capnp::word>(frame.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), frame.data(), frame.size());
    capnp::FlatArrayMessageReader reader(words);
    out = read(reader.getRoot<rpc::Message>());
  });
  if (failed != nullptr) return std::nullopt;
  return out;
}

}  // namespace reachhoist::peer
