// The users' interface: submit, query, abort. Every controller that knows the machine types serves it.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "jobs/jobs.hpp"
#include "service/context.hpp"
#include "state/feed.hpp"

namespace reachhoist::service {

class JobApi {
 public:
  // Told of every job that this controller itself made known or ended.
  using Applied = std::function<void(jobs::JobTable::Change, const std::string& ref)>;

  // The leadership tells how the first gang fences off versions that can't read it.
  JobApi(Context& context, state::Feed& feed, jobs::JobTable& jobs, const cluster::Leadership& leadership,
         Applied applied);

  void submit(std::uint64_t request, const std::string& body);
  void query(std::uint64_t request, const std::string& ref);
  void abort(std::uint64_t request, const std::string& ref);
  void tick();

 private:
  struct Submission {
    wire::JobSpec spec;
    std::vector<std::uint64_t> requests;
    Time deadline{};
    bool sent = false;
  };

  Json shown(const jobs::Job& job) const;
  Json brief(const jobs::Job& job) const;
  void answerKnown(std::uint64_t request, const std::string& ref);
  std::optional<std::string> cannotRun(const wire::JobSpec& spec) const;
  void refuse(std::uint64_t request, const std::string& ref, int status, const std::string& reason);
  void sendSubmissions();
  void onSubmissions(const std::vector<std::string>& refs, const std::vector<Json>& records,
                     const wire::CallResult& result);
  void giveUp(const std::string& ref);
  void tryAbort(std::uint64_t request, const std::string& ref, int tries);

  Context& context_;
  state::Feed& feed_;
  jobs::JobTable& jobs_;
  const cluster::Leadership& leadership_;
  Applied applied_;
  std::map<std::string, Submission> submissions_;
  std::deque<std::string> queue_;
  int flying_ = 0;
  Time resumeAt_{};
};

}  // namespace reachhoist::service
