/// One HTTP request and its response, using cpp-httplib: parses the request line, writes status line and header fields.
#pragma once

#include "call/message.h"
#include "front/caller_protocol.h"
#include "front/head.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace damask {

/// A response as sent over the connection.
struct EncodedResponse {
    std::string bytes;
    bool        close = false; // the connection must be closed after it
};

/// Makes it the last response of its connection: adds `Connection: close`, or replaces `Connection: keep-alive` by it.
void closeAfter(EncodedResponse &response);

/// Produces the response once the library has parsed method and path (as received, with query).
using ResponseHook = std::function<CallResponse(std::string_view method, std::string_view path)>;

/// Whether the library passes requests with this method to the hook. HttpExchange refuses others and closes.
bool isKnownMethod(std::string_view method);

/// Thread-safe.
class HttpExchange
{
public:
    explicit HttpExchange(CallerProtocol protocol = defaultCallerProtocol());
    ~HttpExchange();

    /// Calls the hook at most once; not at all if the request line is malformed, which is answered with BadRequest. The
    /// connection is closed also if `mustClose` returns true after the hook; it is asked only where nothing else closes
    /// it.
    EncodedResponse run(const RequestHead &head, std::string_view requestId, const ResponseHook &hook,
                        const std::function<bool()> &mustClose = {});

    /// Encodes the response to a request that could not be parsed; the caller of this function closes the connection.
    std::string encodeRefusal(const CallResponse &response);

private:
    class Library;

    CallerProtocol           m_protocol;
    std::unique_ptr<Library> m_library;
};

} // namespace damask
