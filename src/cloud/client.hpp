// Calls to the cloud within its rate, most urgent first; rental requests are repeated under their own name
// until their outcome is known.
#pragma once

#include <deque>
#include <memory>
#include <set>

#include "config/settings.hpp"
#include "state/token_bucket.hpp"
#include "wire/exchange.hpp"

namespace reachhoist::cloud {

using wire::Json;
using wire::Time;

struct PoolKey {
  std::string machineType;
  std::string zone;
  bool spot = false;
  auto operator<=>(const PoolKey&) const = default;
  std::string str() const { return machineType + "/" + zone + (spot ? "/spot" : "/ordinary"); }
};

class Client {
 public:
  struct Handlers {
    std::function<void(const PoolKey& pool, const std::vector<std::string>& hosts, std::size_t refused)>
        rented;
    std::function<void(const std::vector<std::string>& hosts)> returned;  // proven gone
    std::function<void(const std::vector<wire::HostEntry>& hosts)> listed;
    std::function<void(std::vector<wire::MachineType> catalog)> catalog;
  };

  // `lifeName` is never used again by any life of any controller: rental names begin with it.
  Client(wire::Calls& calls, const config::Settings& settings, std::string lifeName, Handlers handlers);

  void rent(Time now, const PoolKey& pool, std::size_t count);
  void giveBack(Time now, const std::string& host);
  void tick(Time now);
  // Machines asked for whose request has no answer yet.
  std::size_t pending(const PoolKey& pool) const;

 private:
  struct Rental {
    std::string name;
    PoolKey pool;
    std::size_t count = 0;
    int refusals = 0;
    bool sent = false;  // at least once: the cloud may know of it
    Time notBefore{};
    bool out = false;
  };
  bool call(Time now, const char* method, std::string path, Json body, wire::Calls::Done done);
  void sendRental(Time now, const std::shared_ptr<Rental>& rental);
  // The pool has no more to give: what was to be asked of it next would be refused as well.
  void dropUnsent(const PoolKey& pool);
  void onRental(const std::shared_ptr<Rental>& rental, const wire::CallResult& result);
  void sendReturns(Time now);
  void sendList(Time now);
  void sendCatalog(Time now);

  wire::Calls& calls_;
  const config::Settings& settings_;
  std::string lifeName_;
  Handlers handlers_;
  state::TokenBucket budget_;
  Time now_{};
  std::uint64_t counter_ = 0;
  std::vector<std::shared_ptr<Rental>> rentals_;
  std::set<std::string> returns_;
  bool returning_ = false;
  Time nextReturn_{};
  bool listing_ = false;
  Time nextList_{};
  std::string listAfter_;
  std::vector<wire::HostEntry> listSoFar_;
  bool askingCatalog_ = false;
  Time nextCatalog_{};
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace reachhoist::cloud
