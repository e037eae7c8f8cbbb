#include "wire/keys.h"

#include <algorithm>
#include <array>
#include <zmq.hpp>

namespace damask {

Result<KeyPair> makeKeyPair()
{
    std::array<char, KeyTextBytes + 1> publicKey{};
    std::array<char, KeyTextBytes + 1> secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
        return fail(Code::SystemError, "libzmq was built without CURVE support");
    }
    return KeyPair{publicKey.data(), secretKey.data()};
}

Result<void> checkKeyPair(const KeyPair &pair)
{
    if (pair.publicKey.empty() && pair.secretKey.empty()) {
        return {};
    }
    if (pair.publicKey.size() != KeyTextBytes || pair.secretKey.size() != KeyTextBytes) {
        return fail(Code::BadSettings, "a key must have 40 characters; damask-keeper --make-keys prints a key pair");
    }
    std::array<char, KeyTextBytes + 1> derived{};
    if (zmq_curve_public(derived.data(), pair.secretKey.c_str()) != 0 || pair.publicKey != derived.data()) {
        return fail(Code::BadSettings, "the public key does not match the secret key");
    }
    return {};
}

void KeyTable::allow(std::string_view publicKey)
{
    LockGuard lock(m_mutex);
    if (!publicKey.empty()) {
        m_allowed.emplace_back(publicKey);
    }
}

bool KeyTable::replace(std::span<const PeerKey> keys)
{
    LockGuard lock(m_mutex);
    bool newlyRetired = false;
    std::map<std::string, PeerKey, std::less<>> next;
    for (const PeerKey &it : keys) {
        const auto previous = m_keys.find(it.publicKey);
        const bool wasRetired = previous != m_keys.end() && previous->second.retired;
        newlyRetired = newlyRetired || (it.retired && !wasRetired);
        next[it.publicKey] = it;
    }
    m_keys = std::move(next);
    return newlyRetired;
}

Result<void> KeyTable::admit(std::string_view publicKey) const
{
    LockGuard lock(m_mutex);
    const auto it = m_keys.find(publicKey);
    if (it != m_keys.end()) {
        return it->second.retired ? Result<void>(fail(Code::StaleKey, it->second.name)) : Result<void>();
    }
    if (std::find(m_allowed.begin(), m_allowed.end(), publicKey) != m_allowed.end()) {
        return {};
    }
    return fail(Code::StrangerRefused, publicKey);
}

bool KeyTable::retired(std::string_view publicKey) const
{
    LockGuard lock(m_mutex);
    const auto it = m_keys.find(publicKey);
    return it != m_keys.end() && it->second.retired;
}

bool KeyTable::current(std::string_view publicKey) const
{
    LockGuard lock(m_mutex);
    const auto it = m_keys.find(publicKey);
    return it != m_keys.end() && !it->second.retired;
}

const KeyPair &activeSlot(const KeyTable &keys, const KeyPair &slotA, const KeyPair &slotB)
{
    if (slotB.empty() || keys.retired(slotB.publicKey)) {
        return slotA;
    }
    const bool onlyB = keys.current(slotB.publicKey) && !keys.current(slotA.publicKey);
    return onlyB || keys.retired(slotA.publicKey) ? slotB : slotA;
}

} // namespace damask
