#include "service/request_router.hpp"

namespace reachhoist::service {

namespace {

constexpr std::string_view kHealthPath = "/healthz";
constexpr std::string_view kHeartbeatPath = "/v1/report";
constexpr std::string_view kJobsPath = "/api/jobs";
constexpr std::string_view kJobPrefix = "/api/jobs/";
constexpr std::string_view kAbortSuffix = "/abort";
constexpr std::string_view kGet = "GET";
constexpr std::string_view kPost = "POST";

Route requireMethod(std::string_view method, std::string_view required, Endpoint endpoint,
                    std::string_view jobRef = {}) {
  if (method != required) return {Endpoint::methodNotAllowed, {}};
  return {endpoint, std::string(jobRef)};
}

// `path` is the part of the target after kJobPrefix; it is not empty.
Route routeJob(std::string_view method, std::string_view path) {
  if (path.ends_with(kAbortSuffix)) {
    path.remove_suffix(kAbortSuffix.size());
    return requireMethod(method, kPost, Endpoint::abortJob, path);
  }
  if (path.find('/') != std::string_view::npos) return {};
  return requireMethod(method, kGet, Endpoint::queryJob, path);
}

}  // namespace

Route routeRequest(std::string_view method, std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  if (path == kHealthPath) return requireMethod(method, kGet, Endpoint::healthCheck);
  if (path == kHeartbeatPath) return requireMethod(method, kPost, Endpoint::workerHeartbeat);
  if (path == kJobsPath) return requireMethod(method, kPost, Endpoint::submitJob);
  if (path.starts_with(kJobPrefix) && path.size() > kJobPrefix.size())
    return routeJob(method, path.substr(kJobPrefix.size()));
  return {};
}

}  // namespace reachhoist::service
