/// Incremental parser that assembles requests from the bytes of one connection. Independent of sockets.
///
/// Use: `reader.append(bytes); auto complete = reader.advance();` and, when true, `reader.take()`.
/// Bytes that follow the request (pipelining) stay buffered for the next advance().
/// A large body can be read while it arrives: after head() with `bodyExceeds(n)`, call startBody(), then readBody()
/// until bodyEnded(). advance() may be called again once the body has ended.
#pragma once

#include "base/result.h"
#include "front/chunked.h"
#include "front/head.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace damask {

/// Size limits of a request.
struct RequestLimits {
    size_t headerBytes = 32 * 1024;     // request line and fields
    size_t bodyBytes = 8 * 1024 * 1024; // excluding chunk framing

    bool operator==(const RequestLimits &) const = default;
};

/// A request that has been received completely.
struct CompleteRequest {
    RequestHead head;
    std::string body;
};

class RequestReader
{
public:
    explicit RequestReader(const RequestLimits &limits);

    void append(std::string_view bytes);
    void setLimits(const RequestLimits &limits); // of the request being read; HeaderTooLarge and BodyTooLarge
                                                 // are then tried again by advance()
    uint64_t        offset() const;              // bytes appended before the first byte of the request being read
    Result<bool>    advance();             // true: a request is complete; BadRequest, HeaderTooLarge, BodyTooLarge
    CompleteRequest take();                // after advance() returned true
    bool            idle() const;          // no byte of the next request has arrived
    size_t          bufferedBytes() const; // counted towards the limit over all connections
    bool            takeContinueDue();     // true once if the caller waits for 100 Continue

    const RequestHead      &head() const;                 // while its body is incomplete
    bool                    bodyExceeds(size_t n) const;  // it is incomplete, and known to have more than n bytes
    std::optional<uint64_t> bodyLength() const;           // of an incomplete body; none: unknown until its end
    void                    startBody();                  // the body is read by readBody() from now on
    Result<size_t>          readBody(std::span<char> to); // bytes read, 0: none have arrived; BadRequest, BodyTooLarge
    bool                    bodyEnded() const;            // true also if no body was started

private:
    Result<bool>     advanceHead();
    Result<bool>     advanceBody();
    std::string_view unread() const; // bytes not yet consumed
    void             discardEmptyLines();
    void             discard(size_t n);

    RequestLimits                m_limits;
    std::string                  m_bytes;          // as received
    size_t                       m_start = 0;      // offset of the first byte not yet consumed
    size_t                       m_scanned = 0;    // unread bytes already searched for the end of the head
    uint64_t                     m_consumed = 0;   // in total
    uint64_t                     m_headOffset = 0; // of the request whose head has been consumed
    std::optional<RequestHead>   m_head;
    std::optional<ChunkedReader> m_chunks;
    std::string                  m_body;
    size_t                       m_bodyLeft = 0; // bytes of a started body that readBody() has not returned
    bool                         m_bodyStarted = false;
    bool                         m_continueDue = false;
};

} // namespace damask
