#include "standin/operators.hpp"

#include <array>

namespace standin {

namespace wire = reachhoist::wire;
namespace admin = reachhoist::admin;

namespace {
constexpr double kTickIntervalS = 0.02;
constexpr double kChangeTimeoutS = 30;

struct VerdictName {
  admin::EditVerdict verdict;
  const char* name;
};

constexpr std::array<VerdictName, 7> kVerdictNames{{
    {admin::EditVerdict::changed, "changed"},
    {admin::EditVerdict::repeated, "repeated"},
    {admin::EditVerdict::staleGeneration, "stale"},
    {admin::EditVerdict::invalid, "invalid"},
    {admin::EditVerdict::tableAbsent, "absent"},
    {admin::EditVerdict::tableUndecodable, "damaged"},
    {admin::EditVerdict::unavailable, "unavailable"},
}};

const char* verdictName(admin::EditVerdict verdict) {
  for (const VerdictName& entry : kVerdictNames)
    if (entry.verdict == verdict) return entry.name;
  return "";
}
}  // namespace

void Operators::change(const reachhoist::shares::Change& change, double delayS) {
  PendingChange& pending = changes_.emplace_back(settings_);
  pending.delayS = delayS;
  pending.edit = std::make_shared<admin::ShareEdit>(
      pending.client, settings_, change, sim_.steady() + wire::seconds(kChangeTimeoutS),
      [this, id = change.requestId](const admin::EditResult& result) {
        verdicts_[id] = verdictName(result.verdict);
      });
  pending.edit->start(sim_.steady());
  advance(pending);
}

std::string Operators::verdict(const std::string& requestId) const {
  const auto found = verdicts_.find(requestId);
  return found == verdicts_.end() ? "" : found->second;
}

void Operators::advance(PendingChange& change) {
  for (wire::Call& call : change.calls.drain()) {
    sim_.after(change.delayS, [this, &change, call] {
      store_.request("operator", call.method, call.path, call.body,
                     [this, &change, number = call.number](int status, const Json& body) {
                       sim_.after(change.delayS, [&change, number, status, body] {
                         change.calls.complete(number, wire::CallResult{status, true, body});
                       });
                     });
    });
  }
  if (change.edit->isFinished()) return;
  change.client.pump(sim_.steady());
  change.edit->tick(sim_.steady());
  sim_.after(kTickIntervalS, [this, &change] { advance(change); });
}

}  // namespace standin
