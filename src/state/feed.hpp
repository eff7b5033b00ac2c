// Watch of a key prefix in the key-value store: lists all keys below it once, then follows their changes by
// revision. A confirming read serves everyone who was waiting when it was sent, so that its batch widens
// with the load while its rate stays bounded.
#pragma once

#include <functional>
#include <memory>

#include "state/client.hpp"

namespace reachhoist::state {

// List-then-watch of every key below a prefix, with reads that confirm the view is up to date.
class Feed {
 public:
  // stopped: not begun. listing: pages of keys are read. following: changes are watched.
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
  bool ready() const { return everListed_; }
  // The last confirming read got no answer or a refusal that is no matter of rates. Until one gets through
  // again, who asks is told at once.
  bool failing() const { return failing_; }
  // Everything that had happened by this time is known.
  Time confirmedAt() const { return confirmedAt_; }

 private:
  void to(State next) { state_ = next; }
  void list();
  void onPage(const wire::CallResult& result);
  void watch();
  void sendConfirm();
  void failWaiting();
  bool applyChanges(const Json& answer);
  static bool mustList(const wire::CallResult& result);

  Client& client_;
  std::string prefix_;
  Urgency urgency_;
  wire::Duration confirmGap_;
  Handlers handlers_;
  State state_ = State::stopped;
  bool everListed_ = false;
  std::string lastListedKey_;   // last key of the listing so far
  std::uint64_t revision_ = 0;  // everything up to here has been taken
  bool atFirstPage_ = true;
  bool watchInFlight_ = false;
  bool listInFlight_ = false;  // a listing call is out
  Time now_{};
  Time retryAt_{};
  Time listedFrom_{};  // the present listing was begun then
  Time confirmedAt_{};
  Time nextConfirm_{};
  Time lastConfirmAt_{};
  bool confirmInFlight_ = false;
  bool failing_ = false;
  std::vector<Confirmed> waiting_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace reachhoist::state
