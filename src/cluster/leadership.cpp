#include "cluster/leadership.hpp"

namespace reachhoist::cluster {

namespace {
constexpr const char* kPrefix = "leader";
constexpr const char* kLeaderKey = "leader";
}  // namespace

Leadership::Leadership(state::Client& client, const config::Settings& settings, std::uint64_t seed,
                       Handlers handlers)
    : client_(client),
      settings_(settings),
      handlers_(std::move(handlers)),
      feed_(client, kPrefix, state::Urgency::lease, constants::kLeadershipConfirmInterval,
            {[this](const auto& key, const Json* value, std::uint64_t revision) {
               onEntry(key, value, revision);
             },
             [this] {
               leader_.clear();
               leaderRevision_ = 0;
             },
             [this] { onCaughtUp(); }}),
      jitter_(seed),
      partitionCount_(std::max(settings.initialPartitions, 1U)) {}

void Leadership::start(Time now) {
  now_ = now;
  feed_.start(now);
}

void Leadership::tick(Time now) {
  now_ = now;
  feed_.tick(now);
  if (state_ == State::waiting && now >= nextAttemptAt_) {
    if (!leader_.empty() && leader_ != settings_.label) {
      // Somebody was faster while our own try was under way. Its stamps would let the next try take the lead
      // from it.
      to(State::observing);
    } else if (leaseId_ != 0) {
      campaign();
    } else {
      lease();
    }
  }
  if (state_ == State::taking && !acquireInFlight_ && now >= retryAcquireAt_) acquirePartitions();
  if ((state_ == State::leading || state_ == State::taking) && !renewInFlight_ && now >= nextRenewAt_)
    renew();
}

std::optional<std::pair<state::Condition, state::Write>> Leadership::raiseLayout() const {
  if (layoutRaised() || termRevision_ == 0 || term_ == 0) return std::nullopt;
  return std::pair{
      state::Condition{kTermKey, termRevision_},
      state::Write{
          kTermKey,
          Json{{"term", term_}, {"parts", partitionCount_}, {"layout", constants::kRecordLayoutWithGangs}},
          std::nullopt}};
}

void Leadership::onEntry(const std::string& key, const Json* value, std::uint64_t revision) {
  if (key == kLeaderKey) {
    leader_ = value != nullptr ? wire::textField(*value, "label").value_or("") : "";
    leaderRevision_ = value != nullptr ? revision : 0;
  } else if (key == kTermKey && value != nullptr) {
    termRevision_ = revision;
    const auto term = wire::countField(*value, "term").value_or(0);
    if (state_ != State::leading && state_ != State::taking) term_ = std::max(term_, term);
    if (const auto parts = wire::countField(*value, "parts"); parts && *parts > 0)
      partitionCount_ = static_cast<unsigned>(*parts);
    checkLayout(wire::countField(*value, "layout").value_or(1));
  }
}

void Leadership::checkLayout(std::uint64_t layout) {
  if (layout == constants::kRecordLayout || layout == constants::kRecordLayoutWithGangs) {
    layout_ = std::max(layout_, layout);
    if (state_ == State::refusing) to(State::observing);
    return;
  }
  // Records of an earlier layout would be misread, and a task that they place be started twice.
  if (state_ == State::refusing) return;
  if (state_ == State::taking) abandonTaking();
  resign("another layout");
  to(State::refusing);
  handlers_.refused(layout);
}

void Leadership::onCaughtUp() {
  if (state_ == State::refusing) return;
  if (state_ == State::leading) {
    // The feed may be older than our own election, so only what is newer counts.
    if (leaderRevision_ > ownRevision_ && leader_ != settings_.label) depose("another controller leads");
    return;
  }
  if (state_ == State::taking && leaderRevision_ > ownRevision_ && leader_ != settings_.label) {
    leaseId_ = 0;
    return abandonTaking();
  }
  if (state_ == State::observing && (leader_.empty() || leader_ == settings_.label)) {
    // Our own name there is an earlier life's, which has ended: no need to wait for its lease.
    pause();
  } else if (state_ == State::waiting && !leader_.empty() && leader_ != settings_.label) {
    to(State::observing);
  }
}

void Leadership::pause() {
  std::uniform_int_distribution<long> spread(0, constants::kElectionJitter.count());
  const bool urgent = nextAttemptAt_ == Time{} || now_ >= nextAttemptAt_;
  nextAttemptAt_ = now_ + std::chrono::milliseconds(spread(jitter_)) +
                   (urgent ? std::chrono::milliseconds(0) : constants::kElectionRetryInterval);
  to(State::waiting);
}

void Leadership::lease() {
  to(State::leasing);
  client_.newLease(now_, constants::kLeaderLeaseTtl, [this](const wire::CallResult& result) {
    if (state_ != State::leasing) return;
    const auto leaseId = wire::countField(result.body, "permit");
    if (!result.ok() || !leaseId) {
      nextAttemptAt_ = now_ + constants::kElectionRetryInterval;
      to(State::waiting);
      return;
    }
    leaseId_ = *leaseId;
    if (!leader_.empty() && leader_ != settings_.label) {
      to(State::observing);
    } else {
      campaign();
    }
  });
}

void Leadership::campaign() {
  to(State::campaigning);
  const std::uint64_t term = term_ + 1;
  const Time sent = now_;
  state::Transaction transaction;
  transaction.conditions = {{kLeaderKey, leaderRevision_}, {kTermKey, termRevision_}};
  transaction.writes.push_back({kLeaderKey, Json{{"label", settings_.label}, {"term", term}}, leaseId_});
  transaction.writes.push_back(
      {kTermKey, Json{{"term", term}, {"parts", partitionCount_}, {"layout", layout_}}, std::nullopt});
  const bool partitionsInElection = partitionCount_ + 2 <= settings_.state.opsPerTransaction;
  for (PartitionId part = 0; partitionsInElection && part < partitionCount_; ++part)
    transaction.writes.push_back(
        {partitionKey(part), Json{{"owner", settings_.label}, {"term", term}}, std::nullopt});
  client_.multi(now_, state::Urgency::lease, transaction,
                [this, term, sent, partitionsInElection](const auto& result) {
                  if (state_ != State::campaigning) return;
                  if (!result.ok()) {
                    // The lease may have run out during the wait. Without an answer the feed tells who leads.
                    if (result.status == 400)
                      leaseId_ = 0;  // it holds only what every limit allows, so it is the lease
                    nextAttemptAt_ = now_ + constants::kElectionRetryInterval;
                    to(State::waiting);
                    return;
                  }
                  ownRevision_ = wire::countField(result.body, "ledger").value_or(0);
                  term_ = term;
                  leader_ = settings_.label;
                  leaderRevision_ = ownRevision_;
                  termRevision_ = ownRevision_;
                  confirmedAt_ = sent;
                  nextRenewAt_ = now_ + constants::kLeaderRenewInterval;
                  client_.setLeading(true);
                  partitionRevisions_.assign(partitionsInElection ? partitionCount_ : 0, ownRevision_);
                  to(State::taking);
                  acquirePartitions();
                });
}

// A deposed owner's writes depend on all parts, so that one taken part already stops it; and each transaction
// depends on the term's record, so that a late one of an earlier term changes nothing.
void Leadership::acquirePartitions() {
  if (partitionRevisions_.size() >= partitionCount_) {
    to(State::leading);
    handlers_.elected(term_, partitionRevisions_);
    return;
  }
  acquireInFlight_ = true;
  const auto from = static_cast<PartitionId>(partitionRevisions_.size());
  const PartitionId end = std::min<PartitionId>(partitionCount_, from + settings_.state.opsPerTransaction);
  state::Transaction transaction;
  transaction.conditions = {{kTermKey, ownRevision_}};
  for (PartitionId part = from; part < end; ++part)
    transaction.writes.push_back(
        {partitionKey(part), Json{{"owner", settings_.label}, {"term", term_}}, std::nullopt});
  client_.multi(now_, state::Urgency::lease, transaction,
                [this, end, term = term_](const wire::CallResult& result) {
                  acquireInFlight_ = false;
                  if (state_ != State::taking || term != term_) return;
                  if (result.ok()) {
                    partitionRevisions_.resize(end, wire::countField(result.body, "ledger").value_or(0));
                    return acquirePartitions();
                  }
                  retryAcquireAt_ = now_ + constants::kStateBackoff;
                  // Carried out late it would move the stamps that our own writes depend on: only the next
                  // term, whose record it can't pass, is safe from that.
                  if (result.status != 429 && result.status != 503) abandonTaking();
                });
}

void Leadership::abandonTaking() {
  client_.setLeading(false);
  nextAttemptAt_ = now_ + constants::kElectionRetryInterval;
  to(State::waiting);
}

void Leadership::renew() {
  renewInFlight_ = true;
  const Time sent = now_;
  client_.touchLease(now_, leaseId_, [this, sent, leaseId = leaseId_](const wire::CallResult& result) {
    renewInFlight_ = false;
    if ((state_ != State::leading && state_ != State::taking) || leaseId != leaseId_) return;
    nextRenewAt_ = (result.ok() ? sent + constants::kLeaderRenewInterval : now_ + constants::kStateBackoff);
    if (result.ok()) confirmedAt_ = std::max(confirmedAt_, sent);
    if (result.status == 404 && state_ == State::taking) {
      leaseId_ = 0;
      return abandonTaking();
    }
    if (result.status == 404) depose("the lease ran out");
  });
}

void Leadership::depose(const char* why) {
  leaseId_ = 0;
  resign(why);
}

void Leadership::stepDown(const char* why) {
  if (state_ != State::leading) return;
  client_.endLease(now_, leaseId_);
  depose(why);
  nextAttemptAt_ = now_ + constants::kStepDownCooldown;
}

void Leadership::resign(const char* why) {
  if (state_ != State::leading) return;
  to(State::observing);
  client_.setLeading(false);
  handlers_.deposed(why);
  nextAttemptAt_ = now_ + constants::kElectionRetryInterval;
  to(State::waiting);
}

}  // namespace reachhoist::cluster
