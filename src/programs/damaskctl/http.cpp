#include "programs/damaskctl/http.h"

#include <httplib.h>

namespace damask {

namespace {

constexpr time_t ConnectTimeoutSeconds = 3;
constexpr time_t ResponseTimeoutSeconds = 20; // the store may be slow

httplib::Headers headersOf(const FetchRequest &ask)
{
    httplib::Headers headers;
    if (!ask.token.empty()) {
        headers.emplace("Authorization", "Bearer " + ask.token);
    }
    return headers;
}

bool requestNotSent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
           || error == httplib::Error::BindIPAddress;
}

} // namespace

Result<FetchResponse> fetchOverHttp(const FetchRequest &ask)
{
    httplib::Client client(ask.to.address, ask.to.port);
    client.set_connection_timeout(ConnectTimeoutSeconds);
    client.set_read_timeout(ResponseTimeoutSeconds);
    client.set_keep_alive(false);
    const httplib::Headers headers = headersOf(ask);
    const auto answer =
        ask.method == "POST" ? client.Post(ask.path, headers, ask.body, "text/plain") : client.Get(ask.path, headers);
    const std::string where = ask.to.address + ":" + std::to_string(ask.to.port);
    if (answer) {
        return FetchResponse{answer->status, answer->body};
    }
    if (requestNotSent(answer.error())) {
        return fail(Code::PeerUnavailable, "cannot connect to " + where);
    }
    return fail(ask.method == "POST" ? Code::StoreUnknown : Code::PeerUnavailable,
                where + " received the request, but did not answer: " + httplib::to_string(answer.error()));
}

} // namespace damask
