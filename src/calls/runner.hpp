// Carries out calls to outside systems: CBOR over the HTTP client.
#pragma once

#include "net/http_client.hpp"
#include "wire/exchange.hpp"

namespace reachhoist::calls {

// Sends the call with its body encoded as CBOR and decodes the answer. Status 0: no answer, or a success
// whose body could not be decoded.
net::Task<wire::CallResult> carryOut(net::HttpClient& client, wire::Call call);

}  // namespace reachhoist::calls
