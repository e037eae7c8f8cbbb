#include "quota/credit_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace damask {

namespace {

// A hedge that is due within messageInterval after a deposit has to wait, so deposits are rarer than messages may be.
// But credit loses that part of its lifetime.
constexpr int64_t DepositInterval = 3;          // in messageInterval
constexpr double MaxDepositIntervalShare = 0.3; // of the window

constexpr double MinLifetimeShare = 0.1; // of the window; credit that expires sooner is not worth a message
constexpr double KeptShare = 0.5;        // of the window, for which an instance with enough calls keeps its own credit
constexpr double OwnCredits = 2;         // earned in a window: from then on, an instance has enough calls
constexpr double DueMemoryShare = 0.25;  // of the window; a second due attempt in that time makes a third one likely
constexpr double MaxAhead = 4;           // credits kept for attempts that are likely
constexpr int64_t MaxWanted = 16;        // credits in one request

Duration shareOf(Duration total, double share)
{
    return std::chrono::duration_cast<Duration>(total * share);
}

double decayed(double amount, Duration age, Duration memory)
{
    return amount * std::exp(-std::max(toSeconds(age), 0.0) / toSeconds(memory));
}

} // namespace

int64_t creditOfCall(double ratio)
{
    return static_cast<int64_t>(std::floor(ratio * static_cast<double>(CreditUnit)));
}

CreditLedger::CreditLedger(const CreditLedgerOptions &options)
    : m_options(options)
    , m_grantors(options.grantors)
    , m_number(options.firstNumber)
{
}

void CreditLedger::earn(std::string_view service, TimePoint now)
{
    Account *account = accountOf(service, now);
    const int64_t amount = creditOfCall(m_options.ratio);
    if (account == nullptr || amount <= 0) {
        return;
    }
    m_counts.expired += account->lots.removeExpired(now);
    account->lots.add(now + m_options.window, amount, now);
    account->earned = decayed(account->earned, now - account->earnedAt, m_options.window) + static_cast<double>(amount);
    account->earnedAt = now;
    m_counts.earned += amount;
}

double CreditLedger::balance(std::string_view service, TimePoint now) const
{
    const Account *account = find(service);
    return account == nullptr ? 0 : static_cast<double>(account->lots.total(now)) / static_cast<double>(CreditUnit);
}

bool CreditLedger::tryTake(std::string_view service, TimePoint now)
{
    Account *account = find(service);
    if (account == nullptr || !account->lots.take(CreditUnit, now)) {
        return false;
    }
    if (account->waiting.empty()) {
        noteDue(*account, now);
    } else {
        account->waiting.erase(account->waiting.begin());
    }
    m_counts.spent += CreditUnit;
    return true;
}

void CreditLedger::want(std::string_view service, TimePoint now)
{
    Account *account = accountOf(service, now);
    if (account == nullptr) {
        return;
    }
    noteDue(*account, now);
    std::erase_if(account->waiting, [now](TimePoint until) { return until <= now; });
    if (account->waiting.size() < static_cast<size_t>(MaxWanted)) {
        // Longer than until the next message, for which it may have to wait.
        account->waiting.push_back(now + m_options.messageInterval + m_options.messageInterval / 2);
    }
}

std::optional<CreditMessage> CreditLedger::dueRequest(TimePoint now)
{
    if (m_options.grantors == 0 || now < m_sentAt + m_options.messageInterval) {
        return std::nullopt;
    }
    const bool depositsDue = now >= m_depositedAt + depositInterval();
    const bool isDue = std::any_of(m_accounts.begin(), m_accounts.end(), [&](const auto &it) {
        return needed(it.second, now) > 0 || (depositsDue && hasDeposits(it.second, now));
    });
    if (!isDue) {
        return std::nullopt;
    }
    handleTimeout(now);
    const auto chosen = chooseGrantor(now);
    if (!chosen) {
        return std::nullopt;
    }
    const Grantor &grantor = m_grantors[*chosen];
    const bool clockKnown = grantor.epoch != 0 && now - grantor.receivedAt <= m_options.window;
    CreditMessage out{*chosen, {m_options.sender, ++m_number, clockKnown ? grantor.epoch : 0, {}}};
    m_last = {m_options.sender, m_number, 0, {}};
    for (auto &[service, account] : m_accounts) {
        CreditEntry entry{service, {}, needed(account, now)};
        if (clockKnown) {
            entry.deposits = takeDeposits(account, now);
        }
        for (CreditLot &it : entry.deposits) {
            m_counts.deposited += it.amount;
            it.expiresAt = grantor.clock + (it.expiresAt - grantor.receivedAt);
        }
        if (entry.wanted > 0) {
            m_last.entries.push_back({service, {}, entry.wanted});
        }
        if (entry.wanted > 0 || !entry.deposits.empty()) {
            out.request.entries.push_back(std::move(entry));
        }
    }
    m_depositedAt = clockKnown ? now : m_depositedAt;
    m_lastGrantor = *chosen;
    m_sentAt = now;
    m_answered = false;
    m_timedOut = false;
    ++m_counts.requests;
    return out;
}

/// An answer that comes late is used as well, until the next request is sent: its credit expires in time all the same.
std::optional<CreditReceipt> CreditLedger::receive(const CreditGrant &grant, TimePoint now)
{
    if (m_answered || grant.number != m_last.number) {
        ++m_counts.unmatched;
        return std::nullopt;
    }
    CreditReceipt out{.grantor = m_lastGrantor, .roundTrip = now - m_sentAt};
    for (const CreditEntry &it : m_last.entries) {
        out.wanted += it.wanted;
    }
    m_answered = true;
    Grantor &grantor = m_grantors[m_lastGrantor];
    grantor = {.epoch = grant.epoch, .clock = grant.clock, .receivedAt = now};
    for (const CreditShare &it : grant.shares) {
        const auto asked = std::find_if(m_last.entries.begin(), m_last.entries.end(),
                                        [&](const CreditEntry &n) { return n.service == it.service && n.wanted > 0; });
        Account *account = find(it.service);
        if (asked == m_last.entries.end() || account == nullptr) {
            continue;
        }
        const uint32_t credits = std::min(it.credits, std::exchange(asked->wanted, 0));
        out.withdrawn += credits;
        m_counts.withdrawn += credits * CreditUnit;
        account->lots.add(m_sentAt + std::min(it.lifetime, m_options.window), credits * CreditUnit, now);
    }
    return out;
}

const CreditCounts &CreditLedger::counts() const
{
    return m_counts;
}

bool CreditLedger::answers(size_t grantor, TimePoint now) const
{
    return m_grantors.at(grantor).silentUntil <= now;
}

std::vector<size_t> CreditLedger::takeSilent()
{
    return std::exchange(m_silent, {});
}

CreditLedger::Account *CreditLedger::find(std::string_view service)
{
    const auto it = m_accounts.find(service);
    return it == m_accounts.end() ? nullptr : &it->second;
}

const CreditLedger::Account *CreditLedger::find(std::string_view service) const
{
    const auto it = m_accounts.find(service);
    return it == m_accounts.end() ? nullptr : &it->second;
}

/// Null: there are too many services with calls in the last window.
CreditLedger::Account *CreditLedger::accountOf(std::string_view service, TimePoint now)
{
    if (Account *account = find(service); account != nullptr) {
        return account;
    }
    if (m_accounts.size() >= m_options.maxServices) {
        std::erase_if(m_accounts, [&](const auto &it) {
            return it.second.lots.total(now) == 0 && it.second.earnedAt + m_options.window <= now;
        });
    }
    if (m_accounts.size() >= m_options.maxServices) {
        return nullptr;
    }
    return &m_accounts.emplace(service, Account{.lots = CreditLots(m_options.window), .waiting = {}}).first->second;
}

void CreditLedger::noteDue(Account &account, TimePoint now) const
{
    account.due = decayed(account.due, now - account.dueAt, shareOf(m_options.window, DueMemoryShare)) + 1;
    account.dueAt = now;
}

/// Credits for attempts that are due or likely.
int64_t CreditLedger::reserve(const Account &account, TimePoint now) const
{
    const int64_t waiting =
        std::count_if(account.waiting.begin(), account.waiting.end(), [now](TimePoint until) { return until > now; });
    const double due = decayed(account.due, now - account.dueAt, shareOf(m_options.window, DueMemoryShare));
    return std::max(waiting, static_cast<int64_t>(std::floor(std::min(due, MaxAhead))));
}

uint32_t CreditLedger::needed(const Account &account, TimePoint now) const
{
    const int64_t held = account.lots.total(now) / CreditUnit;
    return static_cast<uint32_t>(std::clamp<int64_t>(reserve(account, now) - held, 0, MaxWanted));
}

/// An instance that earns several credits in a window spends them itself, and deposits those that grow old.
TimePoint CreditLedger::depositsUntil(const Account &account, TimePoint now) const
{
    const double earned = decayed(account.earned, now - account.earnedAt, m_options.window);
    return earned >= OwnCredits * static_cast<double>(CreditUnit)
               ? now + m_options.window - shareOf(m_options.window, KeptShare)
               : Never;
}

bool CreditLedger::hasDeposits(const Account &account, TimePoint now) const
{
    const TimePoint until = depositsUntil(account, now);
    const auto lots = account.lots.lots();
    return account.lots.total(now) > reserve(account, now) * CreditUnit
           && std::any_of(lots.begin(), lots.end(), [&](const CreditLot &it) {
                  return it.expiresAt > now + minLifetime() && it.expiresAt <= until;
              });
}

/// Keeps whole credits only: parts of one are of use only with those of other instances.
std::vector<CreditLot> CreditLedger::takeDeposits(Account &account, TimePoint now) const
{
    const int64_t held = account.lots.total(now);
    const int64_t kept = std::min(reserve(account, now), held / CreditUnit) * CreditUnit;
    return account.lots.takeLots(now + minLifetime(), depositsUntil(account, now), held - kept);
}

/// The first by the number of this process that is not silent, so that all instances together use each grantor alike.
std::optional<size_t> CreditLedger::chooseGrantor(TimePoint now) const
{
    if (m_options.own) {
        return m_options.own;
    }
    for (size_t i = 0; i < m_grantors.size(); ++i) {
        const size_t n = (i + m_options.sender) % m_grantors.size();
        if (m_grantors[n].silentUntil <= now) {
            return n;
        }
    }
    return std::nullopt;
}

/// A grantor has the time between two requests to answer.
void CreditLedger::handleTimeout(TimePoint now)
{
    Grantor &it = m_grantors[m_lastGrantor];
    if (m_answered || m_timedOut) {
        return;
    }
    m_timedOut = true;
    it.silentFor = std::min(std::max(it.silentFor * 2, m_options.messageInterval), m_options.maxSilence);
    it.silentUntil = now + it.silentFor;
    it.epoch = 0; // no deposit until it has answered again
    m_silent.push_back(m_lastGrantor);
    ++m_counts.timeouts;
}

Duration CreditLedger::depositInterval() const
{
    const Duration most = std::max(m_options.messageInterval, shareOf(m_options.window, MaxDepositIntervalShare));
    return std::min(m_options.messageInterval * DepositInterval, most);
}

Duration CreditLedger::minLifetime() const
{
    return shareOf(m_options.window, MinLifetimeShare);
}

} // namespace damask
