#include "config/accounts.h"

#include <algorithm>
#include <utility>

namespace damask {

AccountTable::AccountTable(std::vector<ClientAccount> accounts)
    : m_accounts(std::move(accounts))
{
    for (const ClientAccount &account : m_accounts) {
        m_leastUrgentRank = std::max(m_leastUrgentRank, account.rank);
        for (const std::string &key : account.keys) {
            const auto [it, isNew] = m_byKey.emplace(key, &account);
            if (!isNew && it->second != nullptr && it->second != &account) {
                it->second = nullptr;
                ++m_sharedKeys;
            }
        }
    }
}

const ClientAccount *AccountTable::findByKey(std::string_view key) const
{
    const auto it = m_byKey.find(key);
    return it == m_byKey.end() ? nullptr : it->second;
}

std::span<const ClientAccount> AccountTable::accounts() const
{
    return m_accounts;
}

size_t AccountTable::sharedKeys() const
{
    return m_sharedKeys;
}

int AccountTable::leastUrgentRank() const
{
    return m_leastUrgentRank;
}

} // namespace damask
