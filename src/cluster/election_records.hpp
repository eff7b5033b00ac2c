// The stored records of an election, as this controller knows them.
#pragma once

#include <cstdint>
#include <string>

namespace reachhoist::cluster {

// The newest known versions of the leader record and of the term record. They arrive through the feed and in
// answers to this controller's own transactions, in any order, so each record is replaced only by a later
// version. A transaction that replaces a record is conditioned on the record's revision, so what it writes
// must follow from the value of that same version.
class ElectionRecords {
 public:
  // The outcome of this controller's own election.
  enum class OwnElection {
    current,     // no later version of the leader record is known
    superseded,  // the leadership has been lost since
  };

  // Begins a listing of all keys as of the store's revision `revision`. A key that it lacks does not exist.
  void beginListing(std::uint64_t revision);
  // Adopts a version of the leader record.
  void adoptLeader(const std::string& label, std::uint64_t revision);
  // Adopts the deletion of the leader record.
  void adoptLeaderDeletion(std::uint64_t revision);
  // Adopts a version of the term record.
  void adoptTerm(std::uint64_t term, std::uint64_t revision);
  // Adopts both records as this controller's election has written them at `revision`.
  OwnElection adoptOwnElection(const std::string& label, std::uint64_t term, std::uint64_t revision);

  // Returns the label of the leader; empty if there is none.
  const std::string& leader() const { return leader_; }
  // Returns the revision of the leader record; 0 if there is none.
  std::uint64_t leaderRevision() const { return hasLeaderRecord_ ? leaderRevision_ : 0; }
  // Returns the term in the term record; 0 if none is known.
  std::uint64_t storedTerm() const { return storedTerm_; }
  // Returns the revision of the term record; 0 if none is known.
  std::uint64_t termRevision() const { return termRevision_; }
  // Returns the highest term that any known version of the term record has had.
  std::uint64_t highestTerm() const { return highestTerm_; }

 private:
  std::string leader_;
  bool hasLeaderRecord_ = false;
  std::uint64_t leaderRevision_ = 0;   // of the last change of the leader record, also of its deletion
  std::uint64_t listingRevision_ = 0;  // of the last listing
  std::uint64_t storedTerm_ = 0;
  std::uint64_t termRevision_ = 0;
  std::uint64_t highestTerm_ = 0;
};

}  // namespace reachhoist::cluster
