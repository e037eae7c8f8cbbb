/// The credit of one instance for extra attempts: what its calls have earned, what it deposits, what it withdraws.
///
/// Use: `ledger.earn(service, now)` with each call; `ledger.tryTake(service, now)` before an extra attempt, and
/// `ledger.want(service, now)` where that fails; send what `dueRequest(now)` returns; pass answers to `receive()`.
/// Load pattern: some hundred instances of a few calls a second each. The share of one instance is less than one extra
/// attempt in any window, although the shares of all allow for many.
///
/// Invariant: in any window, the extra attempts of all instances are at most ratio times the calls of all instances in
/// that window and the one before, whatever is lost, late, duplicated, partitioned, restarted or paused. Reasons:
///   - A call earns `ratio` credit once, and it expires everywhere `window` after the call or earlier. So an attempt is
///     matched by calls of the window that ends with it.
///   - Credit is in one place: it is debited before it is sent, a message is used at most once, and what is lost stays
///     lost.
///   - No holder takes credit for younger than it is. Deposits are dated by a clock of the grantor that was read before
///     the depositor received it, and a withdrawal lives from when it was asked for.
/// It needs clocks that run at the same rate, and an attempt that is sent right after tryTake().
///
/// Pure: the caller passes the time and holds any lock.
#pragma once

#include "base/time.h"
#include "quota/allowance_grantor.h"
#include "quota/credit.h"
#include "quota/credit_lots.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace damask {

struct CreditLedgerOptions {
    double                ratio = 0;                         // credit that a call earns
    Duration              window = std::chrono::seconds(10); // after which credit expires
    size_t                grantors = 0;                      // 0: none, so each instance has only its own credit
    std::optional<size_t> own;                               // index of this instance, if it is a grantor
    Duration              messageInterval = std::chrono::seconds(1); // at least, between two requests
    Duration              maxSilence = std::chrono::seconds(30);     // for which a silent grantor is not asked
    uint64_t              sender = 1;                                // random number of this process
    uint64_t              firstNumber = 0;                           // random, so that no old answer matches
    size_t                maxServices = 1024;                        // others earn no credit
};

/// A request to a grantor.
struct CreditMessage {
    size_t        grantor = 0;
    CreditRequest request;
};

/// What an answer brought, for the log; whole credits.
struct CreditReceipt {
    size_t   grantor = 0;
    uint32_t wanted = 0;
    uint32_t withdrawn = 0;
    Duration roundTrip{0};
};

/// Since the start; credit in CreditUnit.
struct CreditCounts {
    int64_t  earned = 0;
    int64_t  spent = 0;
    int64_t  deposited = 0;
    int64_t  withdrawn = 0;
    int64_t  expired = 0;
    uint64_t requests = 0;
    uint64_t timeouts = 0;
    uint64_t unmatched = 0; // answers to no open request
};

class CreditLedger
{
public:
    explicit CreditLedger(const CreditLedgerOptions &options);

    void   earn(std::string_view service, TimePoint now);          // once per call
    double balance(std::string_view service, TimePoint now) const; // extra attempts; below 1: none may be sent
    bool   tryTake(std::string_view service, TimePoint now);       // right before an extra attempt
    void   want(std::string_view service, TimePoint now); // one is due and waits for credit, for 1.5 messageInterval

    /// The request that has to be sent now; its deposits are debited. None: nothing is to be deposited or withdrawn,
    /// the last request is less than messageInterval ago, or no grantor answers.
    std::optional<CreditMessage> dueRequest(TimePoint now);

    std::optional<CreditReceipt> receive(const CreditGrant &grant, TimePoint now); // none: it answers no open request

    const CreditCounts &counts() const;
    bool                answers(size_t grantor, TimePoint now) const; // it is not known to be silent
    std::vector<size_t> takeSilent();                                 // grantors that became silent since the last call

private:
    struct Account {
        CreditLots             lots;
        double                 earned = 0; // in CreditUnit, decays over the window
        TimePoint              earnedAt{};
        double                 due = 0; // extra attempts, decays over a part of the window
        TimePoint              dueAt{};
        std::vector<TimePoint> waiting; // until when each extra attempt waits for credit
    };
    struct Grantor {
        uint64_t  epoch = 0; // of its last answer; 0: its clock is not known
        TimePoint clock{};   // of the grantor, at that answer
        TimePoint receivedAt{};
        TimePoint silentUntil{};
        Duration  silentFor{0};
    };

    Account               *find(std::string_view service);
    const Account         *find(std::string_view service) const;
    Account               *accountOf(std::string_view service, TimePoint now);
    void                   noteDue(Account &account, TimePoint now) const;
    int64_t                reserve(const Account &account, TimePoint now) const;
    uint32_t               needed(const Account &account, TimePoint now) const;
    std::vector<CreditLot> takeDeposits(Account &account, TimePoint now) const;
    bool                   hasDeposits(const Account &account, TimePoint now) const;
    TimePoint              depositsUntil(const Account &account, TimePoint now) const;
    std::optional<size_t>  chooseGrantor(TimePoint now) const;
    void                   handleTimeout(TimePoint now);
    Duration               depositInterval() const;
    Duration               minLifetime() const;

    CreditLedgerOptions   m_options;
    AllowanceMap<Account> m_accounts;
    std::vector<Grantor>  m_grantors;
    std::vector<size_t>   m_silent;
    CreditRequest         m_last; // the last request, without deposits
    size_t                m_lastGrantor = 0;
    TimePoint             m_sentAt{};
    TimePoint             m_depositedAt{};
    bool                  m_answered = true;
    bool                  m_timedOut = false; // the last request
    uint64_t              m_number;
    CreditCounts          m_counts;
};

/// A share of a call's credit, in CreditUnit, rounded down.
int64_t creditOfCall(double ratio);

} // namespace damask
