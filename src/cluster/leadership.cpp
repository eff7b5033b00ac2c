#include "cluster/leadership.hpp"

#include "state/answers.hpp"
#include "wire/http_status.hpp"

namespace reachhoist::cluster {

namespace {
constexpr const char* kKeyPrefix = "leader";
constexpr const char* kLeaderKey = "leader";
}  // namespace

Leadership::Leadership(state::Client& client, const config::Settings& settings, std::uint64_t seed,
                       Handlers handlers)
    : client_(client),
      settings_(settings),
      handlers_(std::move(handlers)),
      feed_(client, kKeyPrefix, state::Urgency::lease, constants::kLeadershipConfirmInterval,
            {[this](const auto& key, const Json* value, std::uint64_t revision) {
               onEntry(key, value, revision);
             },
             [this](std::uint64_t revision) { records_.beginListing(revision); }, [this] { onCaughtUp(); }}),
      jitterRandom_(seed),
      partitionCount_(std::max(settings.initialPartitions, 1U)) {}

void Leadership::start(Time now) {
  now_ = now;
  feed_.start(now);
}

void Leadership::tick(Time now) {
  now_ = now;
  feed_.tick(now);
  if (state_ == State::waiting && now >= nextAttemptAt_) {
    if (hasOtherLeader()) {
      // Another controller was elected during this controller's attempt. The next attempt would be
      // conditioned on that election's revisions and so depose the new leader.
      transitionTo(State::observing);
    } else if (leaseId_ != 0) {
      campaign();
    } else {
      requestLease();
    }
  }
  if (state_ == State::acquiring && !acquireInFlight_ && now >= retryAcquireAt_) acquirePartitions();
  if (isElected() && !renewInFlight_ && now >= nextRenewAt_) renew();
}

std::optional<ConditionalWrite> Leadership::layoutRaisingWrite() const {
  if (layoutRaised() || records_.termRevision() == 0 || records_.storedTerm() == 0) return std::nullopt;
  return ConditionalWrite{{kTermKey, records_.termRevision()},
                          termWrite(records_.storedTerm(), constants::kRecordLayoutWithGangs)};
}

bool Leadership::hasOtherLeader() const { return !leader().empty() && leader() != settings_.label; }

state::Write Leadership::termWrite(std::uint64_t term, std::uint64_t layout) const {
  return {kTermKey, Json{{"term", term}, {"parts", partitionCount_}, {"layout", layout}}, std::nullopt};
}

state::Write Leadership::partitionWrite(PartitionId partition, std::uint64_t term) const {
  return {partitionKey(partition), Json{{"owner", settings_.label}, {"term", term}}, std::nullopt};
}

void Leadership::report(const ElectionEvent& event) const {
  if (handlers_.observed) handlers_.observed(event);
}

void Leadership::onEntry(const std::string& key, const Json* value, std::uint64_t revision) {
  if (key == kLeaderKey) onLeaderRecord(value, revision);
  if (key == kTermKey && value != nullptr) onTermRecord(*value, revision);
}

void Leadership::onLeaderRecord(const Json* value, std::uint64_t revision) {
  if (value == nullptr) {
    records_.adoptLeaderDeletion(revision);
    return report(LeaderObserved{"", revision});
  }
  const std::string label = wire::textField(*value, "label").value_or("");
  records_.adoptLeader(label, revision);
  report(LeaderObserved{label, revision});
}

void Leadership::onTermRecord(const Json& value, std::uint64_t revision) {
  const std::uint64_t term = wire::countField(value, "term").value_or(0);
  records_.adoptTerm(term, revision);
  report(TermObserved{term, revision, records_.highestTerm()});
  if (const auto count = wire::countField(value, "parts"); count && *count > 0)
    partitionCount_ = static_cast<unsigned>(*count);
  checkLayout(wire::countField(value, "layout").value_or(1));
}

void Leadership::checkLayout(std::uint64_t layout) {
  if (layout == constants::kRecordLayout || layout == constants::kRecordLayoutWithGangs) {
    layout_ = std::max(layout_, layout);
    if (state_ == State::refusing) transitionTo(State::observing);
    return;
  }
  // Records of another layout would be misread, and a task that they place could be started twice.
  if (state_ == State::refusing) return;
  if (state_ == State::acquiring) abandonAcquisition();
  resign("another layout");
  transitionTo(State::refusing);
  handlers_.layoutUnsupported(layout);
}

// The feed can lag behind this controller's own election, so only newer revisions count.
bool Leadership::isDeposedByRecord() const {
  return records_.leaderRevision() > ownLeaderRevision_ && leader() != settings_.label;
}

void Leadership::onCaughtUp() {
  if (state_ == State::refusing) return;
  if (state_ == State::leading) {
    if (isDeposedByRecord()) depose("another controller leads");
    return;
  }
  if (state_ == State::acquiring && isDeposedByRecord()) {
    leaseId_ = 0;
    return abandonAcquisition();
  }
  if (state_ == State::observing && !hasOtherLeader()) {
    // This controller's own label remains from an earlier run, so it need not wait for that lease to expire.
    scheduleAttempt();
  } else if (state_ == State::waiting && hasOtherLeader()) {
    transitionTo(State::observing);
  }
}

void Leadership::scheduleAttempt() {
  std::uniform_int_distribution<long> jitterMs(0, constants::kElectionJitter.count());
  const bool retryIntervalPassed = nextAttemptAt_ == Time{} || now_ >= nextAttemptAt_;
  nextAttemptAt_ = now_ + std::chrono::milliseconds(jitterMs(jitterRandom_)) +
                   (retryIntervalPassed ? std::chrono::milliseconds(0) : constants::kElectionRetryInterval);
  transitionTo(State::waiting);
}

void Leadership::scheduleRetry() {
  nextAttemptAt_ = now_ + constants::kElectionRetryInterval;
  transitionTo(State::waiting);
}

void Leadership::requestLease() {
  transitionTo(State::leasing);
  client_.grantLease(now_, constants::kLeaderLeaseTtl, [this](const wire::CallResult& result) {
    if (state_ != State::leasing) return;
    const auto leaseId = state::grantedLeaseId(result);
    if (!leaseId) return scheduleRetry();
    leaseId_ = *leaseId;
    if (hasOtherLeader()) {
      transitionTo(State::observing);
    } else {
      campaign();
    }
  });
}

void Leadership::campaign() {
  transitionTo(State::campaigning);
  const std::uint64_t term = records_.highestTerm() + 1;
  const Time sentAt = now_;
  report(CampaignStarted{term, records_.leaderRevision(), records_.termRevision()});
  state::Transaction transaction;
  transaction.conditions = {{kLeaderKey, records_.leaderRevision()}, {kTermKey, records_.termRevision()}};
  transaction.writes.push_back({kLeaderKey, Json{{"label", settings_.label}, {"term", term}}, leaseId_});
  transaction.writes.push_back(termWrite(term, layout_));
  const bool allPartitionsFit =
      partitionCount_ + transaction.writes.size() <= settings_.stateLimits.opsPerTransaction;
  const PartitionId includedPartitions = allPartitionsFit ? partitionCount_ : 0;
  for (PartitionId partition = 0; partition < includedPartitions; ++partition)
    transaction.writes.push_back(partitionWrite(partition, term));
  client_.transact(now_, state::Urgency::lease, transaction,
                   [this, term, sentAt, includedPartitions](const auto& result) {
                     if (state_ == State::campaigning)
                       onCampaignAnswer(result, term, sentAt, includedPartitions);
                   });
}

void Leadership::onCampaignAnswer(const wire::CallResult& result, std::uint64_t term, Time sentAt,
                                  PartitionId includedPartitions) {
  if (!result.ok()) {
    report(CampaignRefused{term, result.status});
    // The lease can have expired while this controller waited. The transaction respects every limit, so only
    // an expired lease can cause a bad request. If no answer came, the feed shows which controller leads.
    if (result.status == http::kBadRequest) leaseId_ = 0;
    return scheduleRetry();
  }
  const std::uint64_t revision = state::appliedRevision(result);
  const auto election = records_.adoptOwnElection(settings_.label, term, revision);
  if (election == ElectionRecords::OwnElection::superseded) {
    report(CampaignSuperseded{term, revision});
    leaseId_ = 0;
    return scheduleRetry();
  }
  ownLeaderRevision_ = revision;
  ownTerm_ = term;
  confirmedAt_ = sentAt;
  nextRenewAt_ = now_ + constants::kLeaderRenewInterval;
  client_.setLeading(true);
  partitionRevisions_.assign(includedPartitions, ownLeaderRevision_);
  transitionTo(State::acquiring);
  acquirePartitions();
}

// The writes of a deposed leader are conditioned on all partitions, so a single acquired partition already
// makes them fail. Each transaction here is conditioned on the term's record, so a delayed transaction of an
// earlier term has no effect.
void Leadership::acquirePartitions() {
  if (partitionRevisions_.size() >= partitionCount_) {
    transitionTo(State::leading);
    handlers_.elected(ownTerm_, partitionRevisions_);
    return;
  }
  acquireInFlight_ = true;
  const auto begin = static_cast<PartitionId>(partitionRevisions_.size());
  const PartitionId end =
      std::min<PartitionId>(partitionCount_, begin + settings_.stateLimits.opsPerTransaction);
  state::Transaction transaction;
  transaction.conditions = {{kTermKey, ownLeaderRevision_}};
  for (PartitionId partition = begin; partition < end; ++partition)
    transaction.writes.push_back(partitionWrite(partition, ownTerm_));
  client_.transact(now_, state::Urgency::lease, transaction,
                   [this, end, term = ownTerm_](const wire::CallResult& result) {
                     acquireInFlight_ = false;
                     if (state_ == State::acquiring && term == ownTerm_) onAcquireAnswer(result, end);
                   });
}

void Leadership::onAcquireAnswer(const wire::CallResult& result, PartitionId end) {
  if (result.ok()) {
    partitionRevisions_.resize(end, state::appliedRevision(result));
    return acquirePartitions();
  }
  retryAcquireAt_ = now_ + constants::kStateBackoff;
  // After any other failure the transaction could still be applied late and change the revisions on which
  // this leader's writes are conditioned. It cannot be applied in the next term, whose record makes its
  // precondition fail.
  if (result.status != http::kTooManyRequests && result.status != http::kServiceUnavailable)
    abandonAcquisition();
}

void Leadership::abandonAcquisition() {
  client_.setLeading(false);
  scheduleRetry();
}

void Leadership::renew() {
  renewInFlight_ = true;
  const Time sentAt = now_;
  client_.renewLease(now_, leaseId_, [this, sentAt, leaseId = leaseId_](const wire::CallResult& result) {
    renewInFlight_ = false;
    if (isElected() && leaseId == leaseId_) onRenewed(result, sentAt);
  });
}

void Leadership::onRenewed(const wire::CallResult& result, Time sentAt) {
  nextRenewAt_ = (result.ok() ? sentAt + constants::kLeaderRenewInterval : now_ + constants::kStateBackoff);
  if (result.ok()) confirmedAt_ = std::max(confirmedAt_, sentAt);
  if (result.status != http::kNotFound) return;
  if (state_ == State::acquiring) {
    leaseId_ = 0;
    return abandonAcquisition();
  }
  depose("the lease ran out");
}

void Leadership::depose(const char* reason) {
  leaseId_ = 0;
  resign(reason);
}

void Leadership::stepDown(const char* reason) {
  if (state_ != State::leading) return;
  client_.revokeLease(now_, leaseId_);
  depose(reason);
  nextAttemptAt_ = now_ + constants::kStepDownCooldown;
}

void Leadership::resign(const char* reason) {
  if (state_ != State::leading) return;
  transitionTo(State::observing);
  client_.setLeading(false);
  handlers_.deposed(reason);
  scheduleRetry();
}

}  // namespace reachhoist::cluster
