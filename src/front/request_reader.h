/// Puts whole requests together from the bytes of one connection. Knows no socket.
///
/// Use: `reader.append(bytes); auto whole = reader.advance();` and, when true, `reader.take()`.
/// Bytes after the request (a pipelined one) stay for the next advance().
#pragma once

#include "base/result.h"
#include "front/chunked.h"
#include "front/head.h"

#include <optional>
#include <string>
#include <string_view>

namespace damask {

/// What a request may be at most.
struct RequestLimits {
    size_t headerBytes = 32 * 1024;     // request line and fields
    size_t bodyBytes = 8 * 1024 * 1024; // without chunk sizes
};

/// A request that has come in completely.
struct CompleteRequest {
    RequestHead head;
    std::string body;
};

class RequestReader
{
public:
    explicit RequestReader(const RequestLimits &limits);

    void            append(std::string_view bytes);
    Result<bool>    advance();    // true: a whole request stands ready; BadRequest, HeaderTooLarge, BodyTooLarge
    CompleteRequest take();       // after advance() gave true
    bool            idle() const; // no byte of a next request has come
    size_t          bufferedBytes() const; // of memory, for the limit over all connections
    bool            takeContinueDue();     // true once when the caller waits for 100 Continue

private:
    Result<bool>     advanceHead();
    Result<bool>     advanceBody();
    std::string_view unread() const; // bytes not yet taken
    void             discardEmptyLines();
    void             discard(size_t n);

    RequestLimits                m_limits;
    std::string                  m_bytes;       // as they came
    size_t                       m_start = 0;   // of those not yet taken
    size_t                       m_scanned = 0; // of those not yet taken, searched for the end of the head
    std::optional<RequestHead>   m_head;
    std::optional<ChunkedReader> m_chunks;
    std::string                  m_body;
    bool                         m_continueDue = false;
};

} // namespace damask
