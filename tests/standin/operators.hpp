// Operators who change the table of shares as the admin daemon does, each over a client of its own.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>

#include "admin/share_editor.hpp"
#include "standin/sim.hpp"
#include "standin/state_service.hpp"

namespace standin {

class Operators {
 public:
  Operators(Sim& sim, StateService& state, const reachhoist::config::Settings& settings)
      : sim_(sim), state_(state), settings_(settings) {}
  // Each request to the state service takes so long on its way.
  void change(const reachhoist::shares::Change& change, double delayS);
  // What the operator was told: the verdict's name, or nothing yet.
  std::string told(const std::string& requestId) const;

 private:
  struct Session {
    explicit Session(const reachhoist::config::Settings& settings) : client(calls, settings) {}
    reachhoist::wire::Calls calls;
    reachhoist::state::Client client;
    std::shared_ptr<reachhoist::admin::ShareEdit> edit;
    double delayS = 0;
  };
  void run(Session& session);

  Sim& sim_;
  StateService& state_;
  const reachhoist::config::Settings& settings_;
  std::list<Session> sessions_;
  std::map<std::string, std::string> told_;
};

}  // namespace standin
