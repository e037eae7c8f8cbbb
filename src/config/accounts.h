/// Client accounts: the keys that identify them, their priority, quota and home regions.
///
/// Use: `AccountTable table(accounts); const ClientAccount *account = table.findByKey(key);`
/// Immutable after construction, so that calls read it without a lock. A look-up costs the same for any number of keys.
/// Pitfall: keys are secrets. They must never appear in logs, metrics, traces or error texts.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace damask {

/// One client account, as the operators configured it.
struct ClientAccount {
    std::string              name;                  // unique, passed on to targets
    std::vector<std::string> keys;                  // each identifies the account; secret
    std::vector<std::string> allowedRegions;        // where its requests may be served; empty: anywhere
    int                      rank = 0;              // priority, compared before that of the rule; 0 is the most urgent
    double                   requestsPerSecond = 0; // quota over all instances together; 0: unlimited
    double                   burst = 0;             // requests in addition to the rate

    bool operator==(const ClientAccount &) const = default;
};

class AccountTable
{
public:
    /// A key that two accounts have identifies neither.
    explicit AccountTable(std::vector<ClientAccount> accounts);
    AccountTable(const AccountTable &) = delete;
    AccountTable &operator=(const AccountTable &) = delete;

    const ClientAccount           *findByKey(std::string_view key) const; // null: no account has the key
    std::span<const ClientAccount> accounts() const;
    size_t                         sharedKeys() const;      // keys that are ignored because two accounts have them
    int                            leastUrgentRank() const; // the highest number of all accounts; 0 without any

private:
    std::vector<ClientAccount>                                  m_accounts;
    std::unordered_map<std::string_view, const ClientAccount *> m_byKey; // views of m_accounts; null: shared
    size_t                                                      m_sharedKeys = 0;
    int                                                         m_leastUrgentRank = 0;
};

} // namespace damask
