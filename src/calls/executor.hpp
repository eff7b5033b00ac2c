// Executes calls to outside systems over HTTP with CBOR bodies.
#pragma once

#include "net/http_client.hpp"
#include "wire/exchange.hpp"

namespace reachhoist::calls {

// Encodes the body of the call as CBOR, sends the call and decodes the response. The result has status 0 if
// no response was received, or if the body of a response with status 200 could not be decoded.
net::Task<wire::CallResult> execute(net::HttpClient& client, wire::Call call);

}  // namespace reachhoist::calls
