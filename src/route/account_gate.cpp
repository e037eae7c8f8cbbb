#include "route/account_gate.h"

#include <algorithm>

namespace damask {

namespace {

Duration ageFrom(const std::function<Duration()> &configurationAge)
{
    return configurationAge ? configurationAge() : Duration::zero();
}

KeyDecision decideKnown(const ClientAccount &account, const KeyAgeLimits &limits,
                        const std::function<Duration()> &configurationAge)
{
    KeyDecision out{.check = KeyCheck::Known, .account = &account};
    if (limits.maxKeyAge > Duration::zero()) {
        out.age = ageFrom(configurationAge);
        if (out.age > limits.maxKeyAge) {
            return {Code::KeyUnverified, KeyCheck::Outdated, nullptr, out.age};
        }
    }
    return out;
}

/// missing: the request has no key. Otherwise `account` is that of its key; null: none.
KeyDecision decideFound(const ClientAccount *account, bool missing, const KeyAgeLimits &limits,
                        const std::function<Duration()> &configurationAge)
{
    if (account != nullptr) {
        return decideKnown(*account, limits, configurationAge);
    }
    KeyDecision out{Code::UnknownKey, missing ? KeyCheck::Missing : KeyCheck::Unknown};
    if (limits.maxConfigurationAge > Duration::zero()) {
        out.age = ageFrom(configurationAge);
        if (out.age > limits.maxConfigurationAge) {
            out.code = Code::KeyUnverified;
            out.check = KeyCheck::Unverified;
        }
    }
    return out;
}

/// Null if no account has the name, or none of its keys identifies it.
const ClientAccount *findByName(const AccountTable &accounts, std::string_view name)
{
    const auto all = accounts.accounts();
    const auto it = std::find_if(all.begin(), all.end(), [name](const ClientAccount &n) { return n.name == name; });
    const bool identified = it != all.end() && std::any_of(it->keys.begin(), it->keys.end(), [&](const auto &key) {
                                return accounts.findByKey(key) == &*it;
                            });
    return identified ? &*it : nullptr;
}

} // namespace

std::string_view keyCheckName(KeyCheck check)
{
    switch (check) {
    case KeyCheck::Off:
        return "off";
    case KeyCheck::Exempt:
        return "exempt";
    case KeyCheck::Known:
        return "known";
    case KeyCheck::Missing:
        return "missing";
    case KeyCheck::Repeated:
        return "repeated";
    case KeyCheck::Unknown:
        return "unknown";
    case KeyCheck::Unverified:
        return "unverified";
    case KeyCheck::Outdated:
        return "outdated";
    }
    return "off";
}

KeyDecision decideKey(const Rule &rule, const KeyFields &key, const AccountTable *accounts, const KeyAgeLimits &limits,
                      const std::function<Duration()> &configurationAge)
{
    if (accounts == nullptr) {
        return {};
    }
    if (rule.needsNoKey) {
        return {.check = KeyCheck::Exempt};
    }
    if (key.count > 1) {
        return {Code::UnknownKey, KeyCheck::Repeated}; // no configuration makes it valid
    }
    const bool missing = key.count == 0 || key.value.empty();
    return decideFound(missing ? nullptr : accounts->findByKey(key.value), missing, limits, configurationAge);
}

KeyDecision decideAccount(const Rule &rule, std::string_view name, const AccountTable *accounts,
                          const KeyAgeLimits &limits, const std::function<Duration()> &configurationAge)
{
    if (accounts == nullptr) {
        return {};
    }
    if (rule.needsNoKey) {
        return {.check = KeyCheck::Exempt};
    }
    return decideFound(name.empty() ? nullptr : findByName(*accounts, name), name.empty(), limits, configurationAge);
}

} // namespace damask
