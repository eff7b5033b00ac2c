// HTTP status codes that controllers, workers and outside systems exchange.
#pragma once

namespace reachhoist::wire::http_status {

inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kConflict = 409;
inline constexpr int kMisdirectedRequest = 421;
inline constexpr int kUnprocessable = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServiceUnavailable = 503;

}  // namespace reachhoist::wire::http_status
