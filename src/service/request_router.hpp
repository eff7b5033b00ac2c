// Maps the method and the target of an HTTP request to the endpoint that serves it.
#pragma once

#include <string>
#include <string_view>

namespace reachhoist::service {

// The endpoints of a controller, and the two cases in which a request matches none.
enum class Endpoint {
  healthCheck,
  workerHeartbeat,
  submitJob,
  queryJob,
  abortJob,
  methodNotAllowed,  // the path exists, but not with this method
  notFound,          // there is no such path
};

// A request target after routing.
struct Route {
  Endpoint endpoint = Endpoint::notFound;
  std::string jobRef;  // for queryJob and abortJob; taken from the path and not validated
};

// Returns the route of a request. A query string in the target is ignored.
Route routeRequest(std::string_view method, std::string_view target);

}  // namespace reachhoist::service
