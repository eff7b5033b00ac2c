// Stand-in for the users, who submit jobs, repeat requests without an answer, poll and cancel.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "standin/workload.hpp"
#include "wire/exchange.hpp"

namespace standin {

class World;

// Users of the HTTP API of jobs. They pass every answer to the checker.
class Users {
 public:
  explicit Users(World& world) : world_(world) {}

  // Submits the job, and repeats the submission for up to a minute until it is accepted or refused.
  void submit(const JobPlan& plan);
  // Cancels the job, and repeats the request until it gets status 200 or 404.
  void cancel(const std::string& ref);
  void poll(const std::string& ref);
  // Polls all accepted or refused jobs and an unknown one, from now on at regular intervals.
  void pollRegularly();
  // Repeats submissions of open jobs, cancels jobs that are done, and sends submissions that lack a field or
  // can never run.
  void sendRepeatedAndInvalidRequests();
  // Receives the completion of a task. FaultPlan::cancelAtEndShare makes users cancel some jobs at the end of
  // their last task.
  void onTaskCompleted(const reachhoist::wire::TaskId& task);
  // Adds a job that an earlier version had accepted.
  void addAcceptedJob(const JobPlan& plan);

  // Status of the answer that accepted or refused the submission, or 0 while there is none.
  int submissionStatus(const std::string& ref) const;
  bool isAccepted(const std::string& ref) const;
  // The state of the job in the last answer to a user, or "".
  std::string lastStage(const std::string& ref) const;
  std::size_t countInStage(const std::string& stage) const;
  // Statuses of the answers to submissions that lack a field or can never run, by reference.
  const std::map<std::string, int>& invalidSubmissionStatus() const { return invalidSubmissionStatus_; }
  // Number of jobs that were cancelled at the end of their last task.
  std::size_t cancelledAtEnd() const { return cancelledAtEnd_.size(); }

 private:
  using Answer = std::function<void(int status, const reachhoist::wire::Json& body)>;
  // Sends a request to a controller. Its answer or its timeout (status 0) is delivered, whichever is first.
  void request(const std::string& method, const std::string& target, const std::string& body, double timeoutS,
               const Answer& onAnswer);
  void sendSubmission(const std::string& ref, double retryUntilS);
  void sendCancellation(const std::string& ref);
  void repeatKnownRequests();
  void sendIncompleteSubmissions();
  void sendUnrunnableSubmissions();
  JobPlan newInvalidJobPlan();
  void sendInvalid(const JobPlan& plan, const reachhoist::wire::Json& body);

  World& world_;
  std::map<std::string, int> submissionStatus_;
  std::map<std::string, std::string> lastStage_;
  std::map<std::string, int> invalidSubmissionStatus_;
  std::set<std::string> cancelledAtEnd_;
  std::size_t invalidJobCount_ = 0;
};

}  // namespace standin
