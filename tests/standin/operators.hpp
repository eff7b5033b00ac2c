// Operators who change the share table as the admin daemon does.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>

#include "admin/share_editor.hpp"
#include "standin/key_value_store.hpp"
#include "standin/sim.hpp"

namespace standin {

class Operators {
 public:
  Operators(Sim& sim, KeyValueStore& store, const reachhoist::config::Settings& settings)
      : sim_(sim), store_(store), settings_(settings) {}
  // Starts a change over a client of its own. Each of its requests to the key-value store and each answer
  // takes delayS.
  void change(const reachhoist::shares::Change& change, double delayS);
  // The name of the verdict that the operator got for the request, or "" so far.
  std::string verdict(const std::string& requestId) const;

 private:
  struct PendingChange {
    explicit PendingChange(const reachhoist::config::Settings& settings) : client(calls, settings) {}
    reachhoist::wire::Calls calls;
    reachhoist::state::Client client;
    std::shared_ptr<reachhoist::admin::ShareEdit> edit;
    double delayS = 0;
  };
  void run(PendingChange& change);

  Sim& sim_;
  KeyValueStore& store_;
  const reachhoist::config::Settings& settings_;
  std::list<PendingChange> changes_;
  std::map<std::string, std::string> verdicts_;  // by request id
};

}  // namespace standin
