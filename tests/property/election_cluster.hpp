// Leader elections of a few controllers against the stand-in of the key-value store, under random faults, in
// virtual time. Of each controller only the election runs.
#pragma once

#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "standin/checker.hpp"
#include "standin/key_value_store.hpp"

namespace election_cluster {

namespace wire = reachhoist::wire;

// refused: the key-value store answers 503 to the controller. suspended: its process is suspended.
// slowAnswers: answers to it are delayed. lostAnswers: answers to its transactions are lost, and the store
// applies them late. restart: its process restarts at the end of the fault. layoutRaise: it raises the stored
// layout, as for its first gang.
enum class FaultKind { refused, suspended, slowAnswers, lostAnswers, restart, layoutRaise };

struct Fault {
  FaultKind kind = FaultKind::refused;
  std::size_t controller = 0;
  double startS = 0;
  double durationS = 0;
};

// Prints a fault of a counterexample.
std::ostream& operator<<(std::ostream& out, const Fault& fault);

// The controllers, their key-value store and the faults. Times are in seconds of the simulation.
class ElectionCluster {
 public:
  ElectionCluster(std::size_t controllerCount, std::size_t opsPerTransaction, std::uint64_t seed);
  ElectionCluster(const ElectionCluster&) = delete;

  void schedule(const Fault& fault);
  void runUntil(double endS) { sim_.runUntil(endS); }

  // The violations of the rules about terms.
  const std::vector<std::string>& violations() const { return checker_.violations(); }
  // The labels of the controllers that lead.
  std::vector<std::string> leaders() const;
  // Whether every controller knows the leader and its term.
  bool allKnow(const std::string& leader) const;
  // Number of elections so far.
  std::size_t electionCount() const { return electionCount_; }

 private:
  // What a crash destroys.
  struct Process {
    wire::Calls calls;
    std::unique_ptr<reachhoist::state::Client> client;
    std::unique_ptr<reachhoist::cluster::Leadership> leadership;
  };
  struct Controller {
    reachhoist::config::Settings settings;
    std::unique_ptr<Process> process;  // null while it has crashed
    std::uint64_t incarnation = 0;     // of the process; calls of an earlier one get no answer
    double suspendedUntilS = 0;
    double slowUntilS = 0;
    double answersLostUntilS = 0;
  };

  void start(Controller& controller);
  void restartAfter(Controller& controller, double durationS);
  void tick(Controller& controller, std::uint64_t incarnation);
  void sendCalls(Controller& controller);
  void send(Controller& controller, const wire::Call& call);
  // Passes the result to the controller, once its process is not suspended.
  void deliver(Controller& controller, std::uint64_t incarnation, std::uint64_t call,
               const wire::CallResult& result);
  void raiseLayout(Controller& controller);

  standin::Simulation sim_;
  standin::KeyValueStore store_;
  standin::Checker checker_{0};
  std::vector<std::unique_ptr<Controller>> controllers_;
  std::size_t electionCount_ = 0;
};

}  // namespace election_cluster
