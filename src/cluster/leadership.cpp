#include "cluster/leadership.hpp"

#include "state/answers.hpp"
#include "wire/http_status.hpp"

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
    if (anotherLeads()) {
      // Another controller has won during our own attempt. The next attempt would be conditioned on its
      // revisions, and so would depose it.
      to(State::observing);
    } else if (leaseId_ != 0) {
      campaign();
    } else {
      requestLease();
    }
  }
  if (state_ == State::taking && !acquireInFlight_ && now >= retryAcquireAt_) acquirePartitions();
  if ((state_ == State::leading || state_ == State::taking) && !renewInFlight_ && now >= nextRenewAt_)
    renew();
}

std::optional<ConditionalWrite> Leadership::raiseLayout() const {
  if (layoutRaised() || termRevision_ == 0 || term_ == 0) return std::nullopt;
  return ConditionalWrite{{kTermKey, termRevision_}, writeTerm(term_, constants::kRecordLayoutWithGangs)};
}

bool Leadership::anotherLeads() const { return !leader_.empty() && leader_ != settings_.label; }

state::Write Leadership::writeTerm(std::uint64_t term, std::uint64_t layout) const {
  return {kTermKey, Json{{"term", term}, {"parts", partitionCount_}, {"layout", layout}}, std::nullopt};
}

state::Write Leadership::writePartition(PartitionId partition, std::uint64_t term) const {
  return {partitionKey(partition), Json{{"owner", settings_.label}, {"term", term}}, std::nullopt};
}

void Leadership::onEntry(const std::string& key, const Json* value, std::uint64_t revision) {
  if (key == kLeaderKey) {
    leader_ = value != nullptr ? wire::textField(*value, "label").value_or("") : "";
    leaderRevision_ = value != nullptr ? revision : 0;
  } else if (key == kTermKey && value != nullptr) {
    termRevision_ = revision;
    const auto term = wire::countField(*value, "term").value_or(0);
    if (state_ != State::leading && state_ != State::taking) term_ = std::max(term_, term);
    if (const auto count = wire::countField(*value, "parts"); count && *count > 0)
      partitionCount_ = static_cast<unsigned>(*count);
    checkLayout(wire::countField(*value, "layout").value_or(1));
  }
}

void Leadership::checkLayout(std::uint64_t layout) {
  if (layout == constants::kRecordLayout || layout == constants::kRecordLayoutWithGangs) {
    layout_ = std::max(layout_, layout);
    if (state_ == State::refusing) to(State::observing);
    return;
  }
  // Records of an earlier layout would be misread, and a task that they place might be started twice.
  if (state_ == State::refusing) return;
  if (state_ == State::taking) abandonTaking();
  resign("another layout");
  to(State::refusing);
  handlers_.refused(layout);
}

void Leadership::onCaughtUp() {
  if (state_ == State::refusing) return;
  if (state_ == State::leading) {
    // The feed may be older than our own election, so only newer revisions count.
    if (leaderRevision_ > ownRevision_ && leader_ != settings_.label) depose("another controller leads");
    return;
  }
  if (state_ == State::taking && leaderRevision_ > ownRevision_ && leader_ != settings_.label) {
    leaseId_ = 0;
    return abandonTaking();
  }
  if (state_ == State::observing && (leader_.empty() || leader_ == settings_.label)) {
    // Our own name is left from an earlier run of this controller: no need to wait for its lease to expire.
    pause();
  } else if (state_ == State::waiting && anotherLeads()) {
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

void Leadership::retryElection() {
  nextAttemptAt_ = now_ + constants::kElectionRetryInterval;
  to(State::waiting);
}

void Leadership::requestLease() {
  to(State::leasing);
  client_.grantLease(now_, constants::kLeaderLeaseTtl, [this](const wire::CallResult& result) {
    if (state_ != State::leasing) return;
    const auto leaseId = state::grantedLease(result);
    if (!leaseId) return retryElection();
    leaseId_ = *leaseId;
    if (anotherLeads()) {
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
  transaction.writes.push_back(writeTerm(term, layout_));
  const bool fitsAll = partitionCount_ + transaction.writes.size() <= settings_.stateLimits.opsPerTransaction;
  const PartitionId included = fitsAll ? partitionCount_ : 0;
  for (PartitionId partition = 0; partition < included; ++partition)
    transaction.writes.push_back(writePartition(partition, term));
  client_.transact(now_, state::Urgency::lease, transaction,
                   [this, term, sent, included](const auto& result) {
                     if (state_ == State::campaigning) onCampaignAnswer(result, term, sent, included);
                   });
}

void Leadership::onCampaignAnswer(const wire::CallResult& result, std::uint64_t term, Time sent,
                                  PartitionId included) {
  if (!result.ok()) {
    // The lease may have expired during the pause. The transaction respects every limit, so a bad request can
    // only be due to the lease. If no answer came, the feed tells who leads.
    if (result.status == http::kBadRequest) leaseId_ = 0;
    return retryElection();
  }
  ownRevision_ = state::appliedRevision(result);
  term_ = term;
  leader_ = settings_.label;
  leaderRevision_ = ownRevision_;
  termRevision_ = ownRevision_;
  confirmedAt_ = sent;
  nextRenewAt_ = now_ + constants::kLeaderRenewInterval;
  client_.setLeading(true);
  partitionRevisions_.assign(included, ownRevision_);
  to(State::taking);
  acquirePartitions();
}

// The writes of a deposed leader are conditioned on all partitions, so that one acquired partition already
// stops them; and each transaction here is conditioned on the term's record, so that a late one of an earlier
// term changes nothing.
void Leadership::acquirePartitions() {
  if (partitionRevisions_.size() >= partitionCount_) {
    to(State::leading);
    handlers_.elected(term_, partitionRevisions_);
    return;
  }
  acquireInFlight_ = true;
  const auto from = static_cast<PartitionId>(partitionRevisions_.size());
  const PartitionId end =
      std::min<PartitionId>(partitionCount_, from + settings_.stateLimits.opsPerTransaction);
  state::Transaction transaction;
  transaction.conditions = {{kTermKey, ownRevision_}};
  for (PartitionId partition = from; partition < end; ++partition)
    transaction.writes.push_back(writePartition(partition, term_));
  client_.transact(now_, state::Urgency::lease, transaction,
                   [this, end, term = term_](const wire::CallResult& result) {
                     acquireInFlight_ = false;
                     if (state_ == State::taking && term == term_) onAcquireAnswer(result, end);
                   });
}

void Leadership::onAcquireAnswer(const wire::CallResult& result, PartitionId end) {
  if (result.ok()) {
    partitionRevisions_.resize(end, state::appliedRevision(result));
    return acquirePartitions();
  }
  retryAcquireAt_ = now_ + constants::kStateBackoff;
  // Otherwise the transaction may be applied late, and change the revisions that our own writes are
  // conditioned on. It can't be applied in the next term, whose record makes its precondition fail.
  if (result.status != http::kTooManyRequests && result.status != http::kServiceUnavailable) abandonTaking();
}

void Leadership::abandonTaking() {
  client_.setLeading(false);
  retryElection();
}

void Leadership::renew() {
  renewInFlight_ = true;
  const Time sent = now_;
  client_.renewLease(now_, leaseId_, [this, sent, leaseId = leaseId_](const wire::CallResult& result) {
    renewInFlight_ = false;
    if ((state_ == State::leading || state_ == State::taking) && leaseId == leaseId_) onRenewed(result, sent);
  });
}

void Leadership::onRenewed(const wire::CallResult& result, Time sent) {
  nextRenewAt_ = (result.ok() ? sent + constants::kLeaderRenewInterval : now_ + constants::kStateBackoff);
  if (result.ok()) confirmedAt_ = std::max(confirmedAt_, sent);
  if (result.status != http::kNotFound) return;
  if (state_ == State::taking) {
    leaseId_ = 0;
    return abandonTaking();
  }
  depose("the lease ran out");
}

void Leadership::depose(const char* why) {
  leaseId_ = 0;
  resign(why);
}

void Leadership::stepDown(const char* why) {
  if (state_ != State::leading) return;
  client_.revokeLease(now_, leaseId_);
  depose(why);
  nextAttemptAt_ = now_ + constants::kStepDownCooldown;
}

void Leadership::resign(const char* why) {
  if (state_ != State::leading) return;
  to(State::observing);
  client_.setLeading(false);
  handlers_.deposed(why);
  retryElection();
}

}  // namespace reachhoist::cluster
