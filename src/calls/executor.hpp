// Executes calls to outside systems: CBOR bodies over HTTP.
#pragma once

#include "net/http_client.hpp"
#include "wire/exchange.hpp"

namespace reachhoist::calls {

// Sends the call with its body encoded as CBOR and decodes the answer. The result has status 0 when there was
// no answer, or a success whose body could not be decoded.
net::Task<wire::CallResult> execute(net::HttpClient& client, wire::Call call);

}  // namespace reachhoist::calls
