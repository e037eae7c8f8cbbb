#include "programs/damaskctl/http.h"

#include "http/exchange.h"

#include <utility>

namespace damask {

namespace {

constexpr Duration ConnectTimeout = std::chrono::seconds(3);
constexpr Duration ResponseTimeout = std::chrono::seconds(20); // until it begins, and between two parts of it
constexpr double MinBytesPerSecond = 10'000;                   // of a long response, on top of ResponseTimeout
constexpr size_t MaxResponseBytes = 64UL * 1024 * 1024;

std::string hostAndPort(const Endpoint &to)
{
    const bool ipv6 = to.address.find(':') != std::string::npos;
    return (ipv6 ? "[" + to.address + "]" : to.address) + ":" + std::to_string(to.port);
}

std::string requestHead(const FetchRequest &ask)
{
    std::string out = ask.method + " " + ask.path + " HTTP/1.1\r\nHost: " + hostAndPort(ask.to)
                      + "\r\nAccept: */*\r\nConnection: close\r\n";
    if (!ask.token.empty()) {
        out += "Authorization: Bearer " + ask.token + "\r\n";
    }
    if (ask.method == "POST") {
        out += "Content-Type: text/plain\r\nContent-Length: " + std::to_string(ask.body.size()) + "\r\n";
    }
    return out + "\r\n";
}

} // namespace

Result<FetchResponse> fetchOverHttp(const Clock &clock, const FetchRequest &ask)
{
    const std::string where = hostAndPort(ask.to);
    const auto connection = Connection::open(ask.to.address, ask.to.port, ConnectTimeout);
    if (!connection) {
        return fail(Code::PeerUnavailable, "cannot connect to " + where);
    }
    const std::string head = requestHead(ask);
    ExchangeResult result = exchange(**connection, clock,
                                     {.method = ask.method,
                                      .head = head,
                                      .body = ask.body,
                                      .deadline = clock.now() + ResponseTimeout,
                                      .bytesPerSecond = MinBytesPerSecond,
                                      .maxSilence = ResponseTimeout,
                                      .maxResponseBytes = MaxResponseBytes,
                                      .closeEndsBody = true});
    if (result.code == Code::Ok) {
        return FetchResponse{result.head.status, std::move(result.body)};
    }
    const bool mayHaveRun = ask.method == "POST" && result.bytesSent > 0;
    return fail(mayHaveRun ? Code::StoreUnknown : Code::PeerUnavailable,
                where + " received the request, but sent no valid response: " + std::string(codeName(result.code)));
}

} // namespace damask
