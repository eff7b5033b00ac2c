#include "calls/executor.hpp"

#include <utility>

#include "wire/http_status.hpp"

namespace reachhoist::calls {

net::Task<wire::CallResult> execute(net::HttpClient& client, wire::Call call) {
  std::string body = call.body.is_null() ? std::string() : wire::encodeBody(call.body);
  const net::HttpResult response =
      co_await client.call(call.endpoint, call.method, call.path, std::move(body), call.timeout);
  wire::CallResult result;
  result.sent = response.sent;
  result.responseTooLarge = response.responseTooLarge;
  if (response.status == 0) co_return result;
  result.status = response.status;
  if (response.body.empty()) co_return result;
  auto decoded = wire::decodeBody(response.body);
  if (decoded) {
    result.body = std::move(*decoded);
  } else if (response.status == http::kOk) {
    // Callers need the body of a successful answer, so without it the outcome counts as unknown.
    result.status = 0;
  }
  co_return result;
}

}  // namespace reachhoist::calls
