// Carries out calls to outside systems: CBOR over the HTTP client.
#pragma once

#include "net/http_client.hpp"
#include "wire/exchange.hpp"

namespace reachhoist::calls {

net::Task<wire::CallResult> carryOut(net::HttpClient& client, wire::Call call);

}  // namespace reachhoist::calls
