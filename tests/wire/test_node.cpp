#include "fakes/eventually.h"
#include "wire/node.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace damask;

namespace {

/// A node that listens, the table of keys it asks, and all that reached it.
struct Receiver {
    Clock clock;
    Metrics metrics;
    KeyTable keys;
    KeyPair pair = *makeKeyPair();
    RankedMutex mutex{LockRank::Leaf};
    std::vector<std::string> senders; // guarded by mutex
    std::vector<Code> refusals;       // guarded by mutex
    WireNode node;

    Receiver()
        : node(clock, metrics, {.name = "receiver", .listeners = {{"tcp://127.0.0.1:*", "peer", pair}}},
               {.receive =
                    [this](const WireSource &, const Message &message) {
                        LockGuard lock(mutex);
                        senders.push_back(message.sender);
                    },
                .admit =
                    [this](std::string_view, std::string_view key) {
                        auto admitted = keys.admit(key);
                        if (!admitted) {
                            LockGuard lock(mutex);
                            refusals.push_back(admitted.error().code);
                        }
                        return admitted;
                    }})
    {
        cr_assert(node.start().has_value());
    }

    bool received(std::string_view sender)
    {
        LockGuard lock(mutex);
        return std::find(senders.begin(), senders.end(), sender) != senders.end();
    }
    bool refused(Code code)
    {
        LockGuard lock(mutex);
        return std::find(refusals.begin(), refusals.end(), code) != refusals.end();
    }
};

struct Sender {
    Clock clock;
    Metrics metrics;
    KeyPair pair = *makeKeyPair();
    WireNode node{clock, metrics, {.name = "sender"}, {.receive = [](const WireSource &, const Message &) {
                  }}};

    Sender()
    {
        cr_assert(node.start().has_value());
    }
    void sendHello(const Receiver &to, std::string_view name, const KeyPair &ownKey)
    {
        const WirePeer peer{to.node.address(0), to.pair.publicKey, ownKey};
        cr_assert(node.send(peer, {std::string(name), 1, EntryHello{}}).has_value());
    }
};

} // namespace

Test(node, a_known_key_is_let_in_and_a_stranger_is_not)
{
    Receiver receiver;
    Sender sender;
    receiver.keys.allow(sender.pair.publicKey);
    sender.sendHello(receiver, "stranger", *makeKeyPair());
    sender.sendHello(receiver, "known", sender.pair);
    cr_assert(eventually([&] { return receiver.received("known") && receiver.refused(Code::StrangerRefused); }));
    cr_assert(!receiver.received("stranger"));
}

Test(node, a_plain_connection_is_not_let_in_where_keys_are_asked)
{
    Receiver receiver;
    Sender sender;
    receiver.keys.allow(sender.pair.publicKey);
    const WirePeer plain{receiver.node.address(0), "", {}};
    cr_assert(sender.node.send(plain, {"plain", 1, EntryHello{}}).has_value());
    sender.sendHello(receiver, "known", sender.pair);
    cr_assert(eventually([&] { return receiver.received("known"); }));
    cr_assert(!receiver.received("plain"));
}

Test(node, a_retired_key_is_refused_by_name_and_its_connections_end)
{
    Receiver receiver;
    Sender sender;
    receiver.keys.allow(sender.pair.publicKey);
    sender.sendHello(receiver, "before", sender.pair);
    cr_assert(eventually([&] { return receiver.received("before"); }));

    const std::vector<PeerKey> keys{{"spring", 2, sender.pair.publicKey, true}};
    cr_assert(receiver.keys.replace(keys), "one was retired");
    cr_assert(!receiver.keys.replace(keys), "it was already");
    cr_assert(receiver.keys.admit(sender.pair.publicKey).error().detail == "spring");
    receiver.node.reconnect();
    cr_assert(eventually([&] { return receiver.refused(Code::StaleKey); }));
}

Test(node, keys_that_do_not_belong_together_are_found_in_the_settings)
{
    const KeyPair one = *makeKeyPair();
    const KeyPair other = *makeKeyPair();
    cr_assert(checkKeyPair(one).has_value());
    cr_assert(checkKeyPair({one.publicKey, other.secretKey}).error().code == Code::BadSettings);
    cr_assert(checkKeyPair({"short", one.secretKey}).error().code == Code::BadSettings);
}

Test(keys, the_slot_in_use_follows_the_tickets_in_turn)
{
    const KeyPair spring = *makeKeyPair();
    const KeyPair summer = *makeKeyPair();
    const KeyPair autumn = *makeKeyPair();
    KeyTable keys;
    const KeyPair none;
    cr_assert(activeSlot(keys, spring, none) == spring);
    cr_assert(activeSlot(keys, spring, summer) == spring, "no ticket has named the next one yet");
    keys.replace(std::vector<PeerKey>{{"spring", 2, spring.publicKey, true}, {"summer", 1, summer.publicKey, false}});
    cr_assert(activeSlot(keys, spring, summer) == summer);
    cr_assert(activeSlot(keys, autumn, summer) == summer, "slot a holds the one after it");
    keys.replace(std::vector<PeerKey>{{"summer", 2, summer.publicKey, true}, {"autumn", 1, autumn.publicKey, false}});
    cr_assert(activeSlot(keys, autumn, summer) == autumn);
}
