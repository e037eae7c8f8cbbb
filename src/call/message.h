/// A call as the decisions see it: free of HTTP, protobuf and sockets.
///
/// front/ turns a caller's request into a CallRequest and an CallResponse into bytes; back/ does the same towards
/// targets. Another front end can be put beside them without touching a decision.
#pragma once

#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// One header field. Names compare without regard to case.
struct HeaderField {
    std::string name;
    std::string value;
};

/// What a caller asked for.
struct CallRequest {
    std::string              method;    // GET, POST, ...
    std::string              path;      // as received, with query
    std::string              host;      // without port, lower case
    std::string              body;      // whole
    std::vector<HeaderField> headers;   // end-to-end fields only
    std::string              requestId; // the caller's, or made by the front
    std::string              caller;    // who is counted for fairness: the caller's address or its declared name
    int                      depth = 0; // calls above this one, 0 for the first
    TimePoint                arrivedAt; // when its first byte was read
    std::optional<Duration>  timeLeft;  // from the deadline header; none: the service's default
};

/// How a call ended, as the caller is told.
enum class Outcome {
    Answered, // a target's whole answer
    NotRun,   // proven: no byte of the request reached a target that could run it
    Unknown,  // it may have run
};

std::string_view outcomeName(Outcome outcome); // "answered", "not-run", "unknown"

/// What the caller gets.
struct CallResponse {
    int                      status = 503;              // HTTP status
    std::vector<HeaderField> headers;                   // end-to-end fields only
    std::string              body;                      // whole
    Outcome                  outcome = Outcome::NotRun; // told in a header
    Code                     code = Code::Ok;           // told in a header; Ok for a target's answer
    std::string              target;                    // name of the target that answered, may be empty
    Duration                 retryAfter{0};             // when to come back, 0: not said
    int                      attempts = 0;              // times the request was sent or tried
};

/// The load that a target reports of itself, on an answer or on its load endpoint.
struct LoadReport {
    int    inFlight = 0;      // requests it runs and queues
    int    slots = 0;         // requests it runs at once
    bool   draining = false;  // takes no new work
    bool   unhealthy = false; // calls itself not well; told only when it was asked
    double slowdown = 0;      // time that work takes there at the moment, 1: as usual; 0: not told
};

/// How far one attempt got.
enum class AttemptEnd {
    NotSent,  // no byte left: connect failed or no connection was free
    Refused,  // the target said that it did not run it
    Answered, // a whole answer came
    Lost,     // bytes left and no usable answer came
};

/// What one attempt on one target gave.
struct AttemptResult {
    AttemptEnd                end = AttemptEnd::NotSent;
    Code                      code = Code::Ok; // why, when not answered
    CallResponse              response;        // filled when answered or refused
    std::optional<LoadReport> load;            // carried on the answer
    Duration                  connectTime{0};  // 0 when a kept connection was used
    Duration                  elapsed{0};      // from send to end
};

/// The value of a header field, or an empty view.
std::string_view headerValue(std::span<const HeaderField> headers, std::string_view name);

/// Whether two header names are the same without regard to case.
bool sameHeaderName(std::string_view left, std::string_view right);

} // namespace damask
