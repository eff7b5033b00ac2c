#include "calls/executor.hpp"

#include <utility>

#include "wire/http_status.hpp"

namespace reachhoist::calls {

net::Task<wire::CallResult> execute(net::HttpClient& client, wire::Call call) {
  std::string body = call.body.is_null() ? std::string() : wire::encodeBody(call.body);
  const net::HttpResult answer =
      co_await client.call(call.endpoint, call.method, call.path, std::move(body), call.timeout);
  wire::CallResult result;
  result.sent = answer.sent;
  result.responseTooLarge = answer.tooLarge;
  if (answer.status == 0) co_return result;
  result.status = answer.status;
  if (answer.body.empty()) co_return result;
  auto decoded = wire::decodeBody(answer.body);
  if (decoded) {
    result.body = std::move(*decoded);
  } else if (answer.status == http::kOk) {
    result.status = 0;  // callers rely on the body of a success, so without one the outcome is unknown
  }
  co_return result;
}

}  // namespace reachhoist::calls
