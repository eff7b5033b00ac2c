// Watch of a key prefix in the key-value store: lists all keys below it once, then follows their changes by
// revision. One confirming read serves all callers that were waiting when it was sent, so that under load its
// batch grows while its rate stays bounded.
#pragma once

#include <functional>

#include "state/callback_guard.hpp"
#include "state/client.hpp"

namespace reachhoist::state {

// List-then-watch of every key below a prefix, with reads that confirm the view is up to date.
class Feed {
 public:
  // stopped: not begun. listing: all keys are read, page by page. following: changes are watched.
  enum class State { stopped, listing, following };
  // Callbacks; entry is required, the others may be empty.
  struct Handlers {
    // A null value: the key was deleted.
    std::function<void(const std::string& key, const Json* value, std::uint64_t revision)> entry;
    std::function<void()> listingBegins;
    std::function<void()> caughtUp;  // after a listing, and after each batch of changes
  };
  // Called with true once the view is confirmed up to date, or with false.
  using Confirmed = std::function<void(bool ok)>;

  // confirmGap: least time between two confirming reads.
  Feed(Client& client, std::string prefix, Urgency urgency, wire::Duration confirmGap, Handlers handlers);
  Feed(const Feed&) = delete;

  // Begins (or restarts) the listing; may be called in any state.
  void start(Time now);
  // Retries failed calls after the back-off and keeps the view fresh; call on each tick of the event loop.
  void tick(Time now);
  // Calls back once a read begun after this moment has brought in everything before it, or with false.
  void confirm(Time now, Confirmed done);
  // Whether one listing has been completed.
  bool isReady() const { return everListed_; }
  // Whether the last confirming read failed for another reason than the rate limits. Until one succeeds
  // again, confirm() fails at once.
  bool isFailing() const { return failing_; }
  // The view holds every change made before this time.
  Time confirmedAt() const { return confirmedAt_; }

 private:
  void to(State next) { state_ = next; }
  void list();
  void onPage(const wire::CallResult& result);
  void watch();
  void sendConfirm();
  void onConfirmed(Time sent, const std::vector<Confirmed>& batch, const wire::CallResult& result);
  void failWaiting();
  void onChanges(const wire::CallResult& result);
  // Tells the changes in an answer; false if it holds none that can be read.
  bool applyChanges(const wire::CallResult& result);
  void retryLater();
  static bool mustList(const wire::CallResult& result);

  Client& client_;
  std::string prefix_;
  Urgency urgency_;
  wire::Duration confirmGap_;
  Handlers handlers_;
  State state_ = State::stopped;
  bool everListed_ = false;
  std::string lastListedKey_;   // in the listing under way
  std::uint64_t revision_ = 0;  // all changes up to here have been told
  bool atFirstPage_ = true;
  bool watchInFlight_ = false;
  bool listInFlight_ = false;
  Time now_{};
  Time retryAt_{};
  Time listedFrom_{};  // when the listing under way was begun
  Time confirmedAt_{};
  Time nextConfirm_{};
  Time lastConfirmAt_{};
  bool confirmInFlight_ = false;
  bool failing_ = false;
  std::vector<Confirmed> waiting_;  // for the next confirming read
  CallbackGuard guard_;
};

}  // namespace reachhoist::state
