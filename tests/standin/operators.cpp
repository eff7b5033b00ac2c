#include "standin/operators.hpp"

namespace standin {

namespace wire = reachhoist::wire;
namespace admin = reachhoist::admin;

namespace {
constexpr double kStepS = 0.02;
constexpr double kPatienceS = 30;

const char* name(admin::EditVerdict verdict) {
  switch (verdict) {
    case admin::EditVerdict::changed:
      return "changed";
    case admin::EditVerdict::repeated:
      return "repeated";
    case admin::EditVerdict::stale:
      return "stale";
    case admin::EditVerdict::invalid:
      return "invalid";
    case admin::EditVerdict::absent:
      return "absent";
    case admin::EditVerdict::damaged:
      return "damaged";
    case admin::EditVerdict::unavailable:
      return "unavailable";
  }
  return "";
}
}  // namespace

void Operators::change(const reachhoist::shares::Change& change, double delayS) {
  Session& session = sessions_.emplace_back(settings_);
  session.delayS = delayS;
  session.edit = std::make_shared<admin::ShareEdit>(
      session.client, settings_, change, sim_.steady() + wire::seconds(kPatienceS),
      [this, id = change.requestId](const admin::EditResult& result) { told_[id] = name(result.verdict); });
  session.edit->start(sim_.steady());
  run(session);
}

std::string Operators::told(const std::string& requestId) const {
  const auto found = told_.find(requestId);
  return found == told_.end() ? "" : found->second;
}

void Operators::run(Session& session) {
  for (wire::Call& call : session.calls.drain()) {
    sim_.after(session.delayS, [this, &session, call] {
      state_.request("operator", call.method, call.path, call.body,
                     [this, &session, number = call.number](int status, const Json& body) {
                       sim_.after(session.delayS, [&session, number, status, body] {
                         session.calls.complete(number, wire::CallResult{status, true, body});
                       });
                     });
    });
  }
  if (session.edit->finished()) return;
  session.client.pump(sim_.steady());
  session.edit->tick(sim_.steady());
  sim_.after(kStepS, [this, &session] { run(session); });
}

}  // namespace standin
