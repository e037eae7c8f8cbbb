/// Decides by its key whether a request is served, and for which client account.
///
/// Load pattern: many callers whose keys are added and removed while they are connected, and instances whose
/// configuration may lag behind the store. Callers take 401 as final, so an instance that may not know of the latest
/// keys refuses with 503 instead, and the caller tries another one.
/// Pure: the caller passes the configuration and its age. Pitfall: a key is a secret; the result contains none.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "config/accounts.h"
#include "config/model.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace damask {

/// What the check of a key found.
enum class KeyCheck : uint8_t {
    Off,        // accounts are not in force
    Exempt,     // the rule needs no key
    Known,      // the key is that of an account
    Missing,    // no key
    Repeated,   // more than one field with a key
    Unknown,    // no account has the key
    Unverified, // missing or unknown, but the configuration may be out of date
    Outdated,   // known, but the configuration is too old to tell whether the key was removed
};

std::string_view keyCheckName(KeyCheck check); // metric label, e.g. "exempt"

/// The key of a request, as its caller sent it.
struct KeyFields {
    std::string_view value;     // of the field, if there is one
    int              count = 0; // fields that hold a key
};

struct KeyAgeLimits {
    Duration maxConfigurationAge{0}; // beyond it an unknown key may be a new one; 0: it never is
    Duration maxKeyAge{0};           // beyond it a known key may have been removed; 0: it is trusted at any age
};

struct KeyDecision {
    Code                 code = Code::Ok; // Ok, UnknownKey or KeyUnverified
    KeyCheck             check = KeyCheck::Off;
    const ClientAccount *account = nullptr; // of the table; null: none
    Duration             age{-1};           // of the configuration; below 0: the decision did not depend on it
};

/// `accounts` is null when accounts are not in force. `configurationAge` is called only if the decision depends on it,
/// and may be empty: the configuration is then never out of date.
KeyDecision decideKey(const Rule &rule, const KeyFields &key, const AccountTable *accounts, const KeyAgeLimits &limits,
                      const std::function<Duration()> &configurationAge);

/// The same for a request that carries a key of the account with this name; empty: one without a key. Costs time with
/// the number of accounts and keys.
KeyDecision decideAccount(const Rule &rule, std::string_view name, const AccountTable *accounts,
                          const KeyAgeLimits &limits, const std::function<Duration()> &configurationAge);

} // namespace damask
