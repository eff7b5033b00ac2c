// Watch of a key prefix in the key-value store. The feed lists all keys below the prefix once and then
// follows their changes by revision. One confirming read serves all callers that were waiting when it was
// sent, so under load the number of callers per read grows while the rate of reads stays bounded.
#pragma once

#include <functional>

#include "state/callback_guard.hpp"
#include "state/client.hpp"

namespace reachhoist::state {

// List-then-watch of every key below a prefix, with reads that confirm that the view is up to date.
class Feed {
 public:
  // stopped: start() has not been called. listing: all keys are being read, page by page. following: changes
  // are being watched.
  enum class State { stopped, listing, following };
  // Callbacks. onEntry is required; the others can be empty.
  struct Handlers {
    // Called with each listed or changed key. The value is null if the key was deleted.
    std::function<void(const std::string& key, const Json* value, std::uint64_t revision)> onEntry;
    // Called before the entries of a listing, with the store's revision that the listing starts from.
    std::function<void(std::uint64_t revision)> onListingStart;
    // Called after a listing, and after each batch of changes.
    std::function<void()> onCaughtUp;
  };
  // Called with true when the view is confirmed to be up to date, or with false if that failed.
  using ConfirmCallback = std::function<void(bool ok)>;

  // `minConfirmInterval` is the minimum time between two confirming reads.
  Feed(Client& client, std::string prefix, Urgency urgency, wire::Duration minConfirmInterval,
       Handlers handlers);
  Feed(const Feed&) = delete;

  // Begins or restarts the listing. It can be called in any state.
  void start(Time now);
  // Retries failed calls after the back-off and keeps the view fresh. It must be called on each tick of the
  // event loop.
  void tick(Time now);
  // Calls `done` with true when a read that begins after this call has delivered all earlier changes, or with
  // false if that failed.
  void confirm(Time now, ConfirmCallback done);
  // Returns whether a listing has been completed.
  bool isReady() const { return hasListed_; }
  // Returns whether the last confirming read failed for another reason than the rate limits. Until one
  // succeeds again, confirm() fails immediately.
  bool isFailing() const { return failing_; }
  // Returns the time before which every change is included in the view.
  Time confirmedAt() const { return confirmedAt_; }

 private:
  void transitionTo(State next) { state_ = next; }
  void list();
  void onPage(const wire::CallResult& result);
  void watch();
  void sendConfirm();
  void onConfirmed(Time sentAt, const std::vector<ConfirmCallback>& batch, const wire::CallResult& result);
  void failPendingConfirms();
  void onChanges(const wire::CallResult& result);
  // Passes the changes of an answer to the handlers. Returns false if the answer cannot be decoded.
  bool applyChanges(const wire::CallResult& result);
  void scheduleRetry();
  static bool requiresListing(const wire::CallResult& result);

  Client& client_;
  std::string prefix_;
  Urgency urgency_;
  wire::Duration minConfirmInterval_;
  Handlers handlers_;
  State state_ = State::stopped;
  bool hasListed_ = false;
  std::string lastListedKey_;   // the last key that the current listing has read
  std::uint64_t revision_ = 0;  // all changes up to this revision have been passed on
  bool atFirstPage_ = true;
  bool watchInFlight_ = false;
  bool listInFlight_ = false;
  Time now_{};
  Time retryAt_{};
  Time listingStartedAt_{};  // start of the current listing
  Time confirmedAt_{};
  Time nextConfirmAt_{};
  Time lastConfirmAt_{};
  bool confirmInFlight_ = false;
  bool failing_ = false;
  std::vector<ConfirmCallback> pendingConfirms_;  // callers that wait for the next confirming read
  CallbackGuard guard_;
};

}  // namespace reachhoist::state
