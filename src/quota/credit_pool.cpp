#include "quota/credit_pool.h"

#include "base/check.h"

#include <algorithm>
#include <iterator>

namespace damask {

namespace {

constexpr double MinLifetimeShare = 0.15; // of the window; credit that expires sooner would hardly be used in time

} // namespace

CreditPool::CreditPool(const CreditPoolOptions &options)
    : m_options(options)
{
    DAMASK_ASSERT(options.epoch != 0 && options.maxSenders > 0 && options.maxServices > 0,
                  "pass an epoch, and limits above 0");
}

CreditAnswer CreditPool::handle(const CreditRequest &request, TimePoint now)
{
    CreditAnswer out;
    if (!recordSender(request, now)) {
        out.code = Code::CreditRepeated;
        return out;
    }
    out.grant = {.number = request.number, .epoch = m_options.epoch, .clock = now, .shares = {}};
    for (const CreditEntry &it : request.entries) {
        if (request.epoch == m_options.epoch) {
            deposit(it, now, out);
        } else {
            for (const CreditLot &lot : it.deposits) {
                out.ignored += lot.amount;
            }
        }
    }
    out.code = out.ignored > 0 ? Code::CreditOutdated : Code::Ok;
    for (const CreditEntry &it : request.entries) {
        if (it.wanted > 0) {
            out.grant->shares.push_back(withdraw(it, now));
            out.wanted += it.wanted;
            out.granted += out.grant->shares.back().credits;
        }
    }
    return out;
}

int64_t CreditPool::total(TimePoint now) const
{
    int64_t out = 0;
    for (const auto &[service, lots] : m_services) {
        out += lots.total(now);
    }
    return out;
}

int64_t CreditPool::expired() const
{
    return m_expired;
}

size_t CreditPool::services() const
{
    return m_services.size();
}

/// False if the request, or a later one of its sender, was handled before. A sender is forgotten once all credit of its
/// last request has expired: a deposit expires within a window, or it is ignored.
bool CreditPool::recordSender(const CreditRequest &request, TimePoint now)
{
    if (const auto it = m_senders.find(request.sender); it != m_senders.end()) {
        if (request.number <= it->second.number) {
            return false;
        }
        it->second = {request.number, now};
        return true;
    }
    if (m_senders.size() >= m_options.maxSenders) {
        std::erase_if(m_senders, [&](const auto &it) { return it.second.at + m_options.window < now; });
    }
    return m_senders.size() < m_options.maxSenders
           && m_senders.emplace(request.sender, Sender{request.number, now}).second;
}

/// Null: there is credit of too many services.
CreditLots *CreditPool::lotsOf(std::string_view service, TimePoint now)
{
    if (const auto it = m_services.find(service); it != m_services.end()) {
        m_expired += it->second.removeExpired(now);
        return &it->second;
    }
    if (m_services.size() >= m_options.maxServices) {
        for (auto it = m_services.begin(); it != m_services.end();) {
            m_expired += it->second.removeExpired(now);
            it = it->second.lots().empty() ? m_services.erase(it) : std::next(it);
        }
    }
    return m_services.size() < m_options.maxServices
               ? &m_services.emplace(service, CreditLots(m_options.window)).first->second
               : nullptr;
}

void CreditPool::deposit(const CreditEntry &entry, TimePoint now, CreditAnswer &answer)
{
    CreditLots *lots = lotsOf(entry.service, now);
    for (const CreditLot &it : entry.deposits) {
        const int64_t before = lots == nullptr ? 0 : lots->total(now);
        if (lots != nullptr) {
            lots->add(it.expiresAt, it.amount, now);
        }
        const int64_t added = lots == nullptr ? 0 : lots->total(now) - before;
        answer.deposited += added;
        answer.ignored += std::max<int64_t>(it.amount - added, 0);
    }
}

CreditShare CreditPool::withdraw(const CreditEntry &entry, TimePoint now)
{
    CreditShare out{.service = entry.service, .credits = 0, .lifetime = {}};
    CreditLots *lots = lotsOf(entry.service, now);
    if (lots == nullptr) {
        return out;
    }
    const TimePoint from = now + std::chrono::duration_cast<Duration>(m_options.window * MinLifetimeShare);
    const int64_t credits = std::min<int64_t>(entry.wanted, lots->total(from) / CreditUnit);
    if (const auto expiresAt = lots->take(credits * CreditUnit, from)) {
        out.credits = static_cast<uint32_t>(credits);
        out.lifetime = *expiresAt - now;
    }
    return out;
}

} // namespace damask
