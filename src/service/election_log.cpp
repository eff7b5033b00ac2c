#include "service/election_log.hpp"

namespace reachhoist::service {

namespace {

// One overload for each kind of event.
struct ElectionLogger {
  const Context& context;

  void operator()(const cluster::LeaderObserved& event) const {
    context.logEvent(LogLevel::info, "leader_observed",
                     {{"leader", event.label}, {"revision", event.revision}});
  }
  void operator()(const cluster::TermObserved& event) const {
    context.logEvent(LogLevel::info, "term_observed",
                     {{"term", event.term}, {"revision", event.revision}, {"known_term", event.knownTerm}});
  }
  void operator()(const cluster::CampaignStarted& event) const {
    context.logEvent(LogLevel::info, "campaign",
                     {{"term", event.term},
                      {"leader_revision", event.leaderRevision},
                      {"term_revision", event.termRevision}});
  }
  void operator()(const cluster::CampaignRefused& event) const {
    context.logEvent(LogLevel::info, "campaign_refused", {{"term", event.term}, {"status", event.status}});
  }
  void operator()(const cluster::CampaignSuperseded& event) const {
    context.logEvent(LogLevel::info, "campaign_superseded",
                     {{"term", event.term}, {"revision", event.revision}});
  }
};

}  // namespace

void logElectionEvent(const Context& context, const cluster::ElectionEvent& event) {
  std::visit(ElectionLogger{context}, event);
}

}  // namespace reachhoist::service
