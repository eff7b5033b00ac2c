// Loads the catalog of machine types at startup.
#pragma once

#include "service/context.hpp"

namespace reachhoist::service {

// Fetches the catalog from the cloud until it is known once; the leader's cloud client keeps it current from
// then on. A copy in the key-value store serves controllers that start during an outage of the cloud.
class CatalogLoader {
 public:
  explicit CatalogLoader(Context& context) : context_(context) {}
  CatalogLoader(const CatalogLoader&) = delete;

  // Starts a request if the catalog is not known and none is in flight; call on each tick.
  void tick();

 private:
  void onCloudResponse(const wire::CallResult& result);
  void storeCopy();
  void loadCopy();
  void onCopy(const wire::CallResult& stored);

  Context& context_;
  bool requestInFlight_ = false;
  Time retryAt_{};
};

}  // namespace reachhoist::service
