/// Credit for extra attempts of this instance and, if it is a grantor, of others.
///
/// Use:
///     credit.earn("board") with each call of the service;
///     if (!credit.tryTake("board")) credit.want("board"), and try again while the extra attempt is of use.
/// Requests are sent by the calls of these functions, at most one in each messageInterval; there is no thread.
/// Thread-safe. No function waits; all but grant() and receive() may be called under a lock of rank Route.
/// docs/design/hedging.md explains the design.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "quota/credit.h"
#include "quota/credit_ledger.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

struct SharedCreditOptions {
    double                   ratio = 0;                                 // credit that a call earns
    Duration                 window = std::chrono::seconds(10);         // after which credit expires
    Duration                 messageInterval = std::chrono::seconds(1); // at least, between two requests to grantors
    std::vector<std::string> grantors; // addresses, in the same order on all instances; duplicates are left out
    std::string              own;      // address of this instance
};

struct SharedCreditHooks {
    /// Sends a request to another grantor; its answer comes by receive(). Never waits; called without the lock of this
    /// class, but possibly under a lock of rank Route. May lose requests.
    std::function<void(std::string_view address, const CreditRequest &)> send;
};

class SharedCredit
{
public:
    SharedCredit(Clock &clock, Metrics &metrics, const SharedCreditOptions &options, SharedCreditHooks hooks);
    ~SharedCredit();

    void   earn(std::string_view service);    // once per call
    double balance(std::string_view service); // extra attempts that may be sent now; below 1: none
    bool   tryTake(std::string_view service); // right before an extra attempt
    void   want(std::string_view service);    // an extra attempt is due and waits for credit

    std::optional<CreditGrant> grant(const CreditRequest &request); // as grantor; none: no answer
    void                       receive(const CreditGrant &grant);   // of another grantor

    void appendStatus(std::string &out) const; // a JSON object

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
