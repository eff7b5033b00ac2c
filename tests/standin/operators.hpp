// Operators, who change the share table with the code of the admin daemon.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>

#include "admin/share_editor.hpp"
#include "standin/key_value_store.hpp"
#include "standin/simulation.hpp"

namespace standin {

class Operators {
 public:
  Operators(Simulation& sim, KeyValueStore& store, const reachhoist::config::Settings& settings)
      : sim_(sim), store_(store), settings_(settings) {}
  // Starts a change with a key-value store client of its own. Each of its requests to the key-value store
  // takes delayS, and so does each answer.
  void change(const reachhoist::shares::Change& change, double delayS);
  // Returns the name of the verdict on the request, or "" while there is none.
  std::string verdict(const std::string& requestId) const;

 private:
  struct PendingChange {
    explicit PendingChange(const reachhoist::config::Settings& settings) : client(calls, settings) {}
    reachhoist::wire::Calls calls;
    reachhoist::state::Client client;
    std::shared_ptr<reachhoist::admin::ShareEdit> edit;
    double delayS = 0;
  };
  // Sends the pending requests of the change, and repeats until it has finished.
  void advance(PendingChange& change);

  Simulation& sim_;
  KeyValueStore& store_;
  const reachhoist::config::Settings& settings_;
  std::list<PendingChange> changes_;
  std::map<std::string, std::string> verdicts_;  // by request id
};

}  // namespace standin
