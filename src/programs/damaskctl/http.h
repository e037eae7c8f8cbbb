/// HTTP client for the operators' ports.
#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "programs/damaskctl/command_line.h"

#include <functional>
#include <string>

namespace damask {

struct FetchRequest {
    Endpoint    to;
    std::string method = "GET"; // or POST
    std::string path;           // including the query
    std::string body;           // of a POST
    std::string token;          // operators' token; empty: none
};

struct FetchResponse {
    int         status = 0;
    std::string body;
};

/// PeerUnavailable: the request had no effect. StoreUnknown: it was sent, but no valid response arrived.
using HttpFetch = std::function<Result<FetchResponse>(const FetchRequest &)>;

/// Uses a new connection for each request and never resends it. A response counts only if it is complete and conforms
/// to RFC 9112.
Result<FetchResponse> fetchOverHttp(const Clock &clock, const FetchRequest &ask);

} // namespace damask
