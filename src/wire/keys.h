/// CURVE keys of the inner protocol, and the table that says which of them are known here.
///
/// Use: `KeyTable table; table.allow(pair.publicKey); table.replace(configuration.keys); table.admit(key);`
#pragma once

#include "base/lock.h"
#include "base/result.h"
#include "config/model.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

constexpr size_t KeyTextBytes = 40; // a key in Z85

/// A CURVE key pair; both empty: the connection is plain.
struct KeyPair {
    std::string publicKey; // Z85
    std::string secretKey; // Z85

    bool empty() const
    {
        return publicKey.empty();
    }
    bool operator==(const KeyPair &) const = default;
};

Result<KeyPair> makeKeyPair();
Result<void>    checkKeyPair(const KeyPair &pair); // BadSettings when the halves don't belong together

/// Who may connect. Safe from all threads.
class KeyTable
{
public:
    void         allow(std::string_view publicKey);       // from the settings, unless a ticket has retired it
    bool         replace(std::span<const PeerKey> keys);  // from the accepted configuration; true: one was retired anew
    Result<void> admit(std::string_view publicKey) const; // StrangerRefused, StaleKey with the key's name
    bool         retired(std::string_view publicKey) const;

private:
    mutable RankedMutex                         m_mutex{LockRank::Leaf};
    std::vector<std::string>                    m_allowed;
    std::map<std::string, PeerKey, std::less<>> m_keys; // by public key
};

} // namespace damask
