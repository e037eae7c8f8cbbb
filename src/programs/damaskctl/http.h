/// How damaskctl asks a program's operators' port.
#pragma once

#include "base/result.h"
#include "programs/damaskctl/command_line.h"

#include <functional>
#include <string>

namespace damask {

struct FetchRequest {
    Endpoint    to;
    std::string method = "GET"; // or POST
    std::string path;           // with its query
    std::string body;           // of a POST
    std::string token;          // operators' token; empty: none
};

struct FetchResponse {
    int         status = 0;
    std::string body;
};

/// PeerUnavailable: it surely did not happen. StoreUnknown: it was sent, and no answer came.
using HttpFetch = std::function<Result<FetchResponse>(const FetchRequest &)>;

/// Over HTTP, one connection for each ask; nothing is sent twice.
Result<FetchResponse> fetchOverHttp(const FetchRequest &ask);

} // namespace damask
