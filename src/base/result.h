/// Numbered result codes and the Result type that every fallible function returns.
///
/// Use: `Result<int> parse(...)`; return `fail(Code::BadTicket, "line 3: ...")` on failure.
/// docs/CODES.md documents the codes; tests/docs checks it against codeTable().
/// Pitfall: code numbers are part of the interface to callers and operators. Never renumber; append.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace damask {

/// Every result code of the system. The hundreds digit groups codes by who has to act.
enum class Code : uint16_t {
    Ok = 0,

    // 1xx: the call was refused before any byte was sent to a target ("not run")
    NoSuchService = 101,
    NoRule = 102,
    NoTarget = 103,
    QueueFull = 104,
    QueueTimeout = 105,
    DeadlineTooShort = 106,
    DepthExceeded = 107,
    EntryLeaving = 108,
    NoConfiguration = 109,
    FairShareExceeded = 110,
    ConnectFailed = 111,
    TargetRefused = 112,
    TargetShares = 113,
    EntryBusy = 114,
    EntryPaused = 115,
    TargetReplaced = 116,
    RuleUnusable = 117,
    TargetsPushBack = 118,
    ObjectiveMissed = 119,
    NoHomeTarget = 120,
    QuotaExceeded = 121,
    QuotaUnavailable = 122,
    KeyUnverified = 123,
    PermitLapsed = 124,

    // 2xx: the call may have run ("unknown"), or its response was unusable
    AnswerTimeout = 201,
    ConnectionLost = 202,
    BadAnswer = 203,
    AnswerTooLarge = 204,
    Cancelled = 205,

    // 3xx: the caller's request was invalid, too large or too slow
    BadRequest = 301,
    HeaderTooLarge = 302,
    BodyTooLarge = 303,
    SlowSender = 304,
    TooManyConnections = 305,
    BadDeadline = 306,
    BadDepth = 307,
    UnknownKey = 308,

    // 4xx: tickets and configuration
    BadTicket = 401,
    StaleTicket = 402,
    TicketNumberTaken = 403,
    TicketLosesCapacity = 404,
    TicketWaiting = 405,
    UnknownTicket = 406,
    BadConfiguration = 407,
    OlderRevision = 408,
    TicketBusy = 409,

    // 5xx: settings and command line
    BadSettings = 501,
    UnknownSetting = 502,
    BadUsage = 503,

    // 6xx: the platform's store and instance list
    StoreUnavailable = 601,
    StoreConflict = 602,
    StoreUnknown = 603,
    StoreBadValue = 604,
    StoreTooLarge = 605,
    LeaseLapsed = 606,
    NotFound = 607,
    StoreHistoryGone = 608,
    StoreHistoryLarge = 609,

    // 7xx: the inner protocol and operators' access
    BadMessage = 701,
    StrangerRefused = 702,
    StaleKey = 703,
    PeerUnavailable = 704,
    TokenRefused = 705,
    CreditRepeated = 706,
    CreditOutdated = 707,
    CreditExhausted = 708,

    // 8xx: this process
    QueueClosed = 801,
    OverBudget = 802,
    SystemError = 803,
    RetryBudgetSpent = 804,
};

/// One row of the table of codes.
struct CodeInfo {
    Code             code;    // the code
    std::string_view name;    // as in the enum; used as metric label and in logs
    std::string_view meaning; // one human-readable sentence
};

/// A failure: its code and a human-readable detail (file, line, field, allowed values).
struct Error {
    Code        code = Code::Ok; // never Ok in a failure
    std::string detail;          // English, one line, may be empty
};

template<class T>
using Result = tl::expected<T, Error>;

/// Creates the error value of a Result.
tl::unexpected<Error> fail(Code code, std::string_view detail = {});

/// All codes, in ascending order of their numbers.
std::span<const CodeInfo> codeTable();

/// The name of a code as in the enum, e.g. "QueueFull".
std::string_view codeName(Code code);

/// The number of a code, e.g. 104.
constexpr int codeNumber(Code code)
{
    return static_cast<int>(code);
}

} // namespace damask
