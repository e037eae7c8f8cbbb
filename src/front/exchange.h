/// One request and its answer as HTTP, by the library: request line in, status line and fields out.
#pragma once

#include "call/message.h"
#include "front/caller_protocol.h"
#include "front/head.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace damask {

/// An answer as it goes over the connection.
struct EncodedResponse {
    std::string bytes;
    bool        close = false; // the connection must not be used again
};

/// Gives the answer once the library has read method and path (as received, with query).
using ResponseHook = std::function<CallResponse(std::string_view method, std::string_view path)>;

/// Safe from all threads.
class HttpExchange
{
public:
    /// `draining` is asked after each answer: must its connection close?
    explicit HttpExchange(std::function<bool()> draining, CallerProtocol protocol = defaultCallerProtocol());
    ~HttpExchange();

    /// The hook is called at most once; not at all when the request line is malformed (answered with BadRequest).
    EncodedResponse run(const RequestHead &head, std::string_view requestId, const ResponseHook &hook);

    /// The bytes of an answer to a request that could not be read; its connection is to be closed.
    std::string encodeRefusal(const CallResponse &response);

private:
    class Library;

    EncodedResponse runWith(const RequestHead &head, std::string_view requestId, const ResponseHook &hook,
                            const std::function<bool()> &mustClose);

    std::function<bool()>    m_draining;
    CallerProtocol           m_protocol;
    std::unique_ptr<Library> m_library;
};

} // namespace damask
