/// Sends one request and reads its response over one connection, using cpp-httplib.
///
/// Every read is bounded in bytes and in time, whatever the other side sends: endless heads, interim responses, chunk
/// framing and bodies end with AnswerTooLarge or AnswerTimeout.
#pragma once

#include "base/clock.h"
#include "http/connection.h"
#include "http/response_head.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace damask {

constexpr int MaxSkippedResponses = 8; // of one exchange

/// The request, and the limits of its response.
struct ExchangeRequest {
    std::string_view method;
    std::string_view head; // request line, fields and blank line
    std::string_view body;
    BodyStream      *stream = nullptr;   // sent instead of `body`, in chunks if its length is unknown
    TimePoint        deadline = Never;   // for the complete response
    double           bytesPerSecond = 0; // each byte received extends the deadline by its time at this rate; 0: not
    Duration         maxStart = Duration::max();   // until the first byte of a response
    Duration         maxSilence = Duration::max(); // between two parts of the response, after its first byte
    size_t           maxResponseBytes = 0;         // of the body
    bool             closeEndsBody = false;        // accept a body without a length that ends with a clean close

    /// Called before the memory that holds the body grows by so many bytes; false: it does not grow. AnswerTooLarge if
    /// the body does not fit then. Growing copies the body, so that up to twice the reserved bytes are in use
    /// meanwhile.
    std::function<bool(size_t bytes)> reserve = {};

    /// Receives the body in parts, as it arrives, instead of ExchangeResult::body; maxResponseBytes and reserve do not
    /// apply then. The head has been checked before. False ends the exchange with Cancelled.
    std::function<bool(const ResponseHead &, std::string_view part)> consume = {};

    /// Whether a complete response answers an earlier request. It is discarded, and the next one is read, up to
    /// MaxSkippedResponses; the connection is not reusable then.
    std::function<bool(const ResponseHead &)> skips = {};
};

/// Result of one exchange. The connection may be used again only if reusable is set.
struct ExchangeResult {
    Code         code = Code::Ok;         // Ok: a complete response
    ResponseHead head;                    // if Ok
    std::string  body;                    // if Ok
    size_t       bytesSent = 0;           // of the request; 0: nothing was sent
    bool         bodyFailed = false;      // the stream failed with `code`; the request was not sent to its end
    bool         responseStarted = false; // at least one byte of a response was received
    int          skipped = 0;             // responses to earlier requests that came before it
    bool         reusable = false;        // the response was complete, none was skipped, and no data followed it
};

ExchangeResult exchange(Connection &connection, const Clock &clock, const ExchangeRequest &request);

} // namespace damask
