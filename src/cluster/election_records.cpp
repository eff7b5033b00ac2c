#include "cluster/election_records.hpp"

#include <algorithm>

namespace reachhoist::cluster {

void ElectionRecords::beginListing(std::uint64_t revision) {
  listingRevision_ = std::max(listingRevision_, revision);
  if (revision < leaderRevision_) return;  // the feed delivers the later changes again
  adoptLeaderDeletion(revision);
  leaderRevision_ = 0;  // the entries of the listing are older than the listing itself
}

void ElectionRecords::adoptLeader(const std::string& label, std::uint64_t revision) {
  if (revision < leaderRevision_) return;
  leader_ = label;
  hasLeaderRecord_ = true;
  leaderRevision_ = revision;
}

void ElectionRecords::adoptLeaderDeletion(std::uint64_t revision) {
  if (revision < leaderRevision_) return;
  leader_.clear();
  hasLeaderRecord_ = false;
  leaderRevision_ = revision;
}

// The record is adopted also while this controller leads: the next election counts from it, whichever of the
// feed and the renewal of the lease first shows that this controller has been deposed.
void ElectionRecords::adoptTerm(std::uint64_t term, std::uint64_t revision) {
  highestTerm_ = std::max(highestTerm_, term);
  if (revision < termRevision_) return;
  storedTerm_ = term;
  termRevision_ = revision;
}

ElectionRecords::OwnElection ElectionRecords::adoptOwnElection(const std::string& label, std::uint64_t term,
                                                               std::uint64_t revision) {
  adoptTerm(term, revision);
  if (revision > std::max(leaderRevision_, listingRevision_)) adoptLeader(label, revision);
  return leader_ == label && leaderRevision_ == revision ? OwnElection::current : OwnElection::superseded;
}

}  // namespace reachhoist::cluster
