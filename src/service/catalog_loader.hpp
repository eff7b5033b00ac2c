// Loads the catalogue of machine types at startup.
#pragma once

#include "service/context.hpp"

namespace reachhoist::service {

// Requests the catalogue from the cloud until one is loaded. From then on the leader's cloud client keeps it
// current. A copy in the key-value store serves controllers that start during an outage of the cloud.
class CatalogLoader {
 public:
  explicit CatalogLoader(Context& context) : context_(context) {}
  CatalogLoader(const CatalogLoader&) = delete;

  // Starts a request if no catalogue is loaded and no request is in flight. It must be called on each tick.
  void tick();

 private:
  void onCloudResponse(const wire::CallResult& result);
  void storeCopy();
  void loadCopy();
  void onCopyRead(const wire::CallResult& result);

  Context& context_;
  bool requestInFlight_ = false;
  Time retryAt_{};
};

}  // namespace reachhoist::service
