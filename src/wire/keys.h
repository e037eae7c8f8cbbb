/// CURVE keys of the inner protocol, and the table of keys that may connect.
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

/// A CURVE key pair. Both empty: connections are not encrypted.
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
Result<void>    checkKeyPair(const KeyPair &pair); // BadSettings when the public key doesn't match the secret key

/// The keys that may connect. Thread-safe.
class KeyTable
{
public:
    void         allow(std::string_view publicKey);       // from the settings; a ticket may retire it
    bool         replace(std::span<const PeerKey> keys);  // of the accepted configuration; true: one is newly retired
    Result<void> admit(std::string_view publicKey) const; // StrangerRefused, StaleKey with the key's name
    bool         retired(std::string_view publicKey) const;
    bool         current(std::string_view publicKey) const; // in the accepted configuration and not retired

private:
    mutable RankedMutex                         m_mutex{LockRank::Leaf};
    std::vector<std::string>                    m_allowed;
    std::map<std::string, PeerKey, std::less<>> m_keys; // by public key
};

/// The key pair for connections to other keepers: slot A, unless its key is retired or only slot B's key is current.
/// Always slot A when slot B is empty or its key is retired.
const KeyPair &activeSlot(const KeyTable &keys, const KeyPair &slotA, const KeyPair &slotB);

} // namespace damask
