// The table of shares on a controller: every one follows the stored record, the leader writes the first and
// reports how far the groups have come.
#pragma once

#include <optional>
#include <vector>

#include "service/context.hpp"
#include "shares/census.hpp"
#include "shares/table.hpp"
#include "state/key_watch.hpp"

namespace reachhoist::service {

// Follows the table. The last good one stays in force whatever is stored after it.
class SharesFollower {
 public:
  explicit SharesFollower(Context& context);
  void start() { watch_.start(context_.now); }
  // `leads`: may write the table of the operators' file, where none or an older one is stored.
  void tick(bool leads);

 private:
  void onRecord(const Json* value, std::uint64_t stamp);
  void refuse(const config::Problem& problem);
  void writeOwn();

  Context& context_;
  shares::Table own_;  // of the operators' file
  state::KeyWatch watch_;
  std::optional<std::uint64_t> stored_;  // generation of the stored table, 0 for none; unset: not known yet
  std::uint64_t stamp_ = 0;
  bool writing_ = false;
  Time retryAt_{};
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

// Writes the groups' status for operators while this controller leads.
class SharesReporter {
 public:
  explicit SharesReporter(Context& context) : context_(context) {}
  void tick(const std::vector<machines::Machine*>& machines, const std::vector<const jobs::Job*>& open,
            const shares::RanksAbove& ranksAbove, const std::vector<state::Condition>& conditions);
  bool due() const { return context_.shares && context_.now >= next_; }

 private:
  Json encode(const shares::Census& census) const;

  Context& context_;
  Time next_{};
  Json written_;
};

}  // namespace reachhoist::service
