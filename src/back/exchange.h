/// One request and its answer over one connection, by cpp-httplib.
#pragma once

#include "back/connection.h"
#include "back/response_head.h"
#include "base/clock.h"

#include <span>
#include <string>
#include <string_view>

namespace damask {

/// What is sent, and what is allowed of the answer.
struct ExchangeRequest {
    std::string_view method;
    std::string_view head; // request line, fields and blank line
    std::string_view body;
    TimePoint        deadline = Never;      // of the whole answer
    size_t           maxResponseBytes = 0;  // of the body
    bool             closeEndsBody = false; // a body without a length ends with an orderly close
};

/// How one exchange ended. The connection may be used again only when reusable is set.
struct ExchangeResult {
    Code         code = Code::Ok;         // Ok: a whole answer
    ResponseHead head;                    // when Ok
    std::string  body;                    // when Ok
    size_t       bytesSent = 0;           // of the request; 0: nothing left
    bool         responseStarted = false; // at least one byte of an answer came
    bool         reusable = false;        // the answer was whole and nothing came after it
};

ExchangeResult exchange(Connection &connection, const Clock &clock, const ExchangeRequest &request);

} // namespace damask
