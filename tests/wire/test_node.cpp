#include "fakes/eventually.h"
#include "wire/node.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <zmq.hpp>

using namespace damask;

namespace {

/// A listening node with its key table. Records the senders of received messages and the codes of refused keys.
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

Test(node, a_known_key_is_admitted_and_an_unknown_key_is_refused)
{
    Receiver receiver;
    Sender sender;
    receiver.keys.allow(sender.pair.publicKey);
    sender.sendHello(receiver, "stranger", *makeKeyPair());
    sender.sendHello(receiver, "known", sender.pair);
    cr_assert(eventually([&] { return receiver.received("known") && receiver.refused(Code::StrangerRefused); }));
    cr_assert(!receiver.received("stranger"));
}

Test(node, an_unencrypted_connection_is_refused_by_a_listener_with_a_key)
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

Test(node, a_retired_key_is_refused_by_name_and_its_connections_are_closed)
{
    Receiver receiver;
    Sender sender;
    receiver.keys.allow(sender.pair.publicKey);
    sender.sendHello(receiver, "before", sender.pair);
    cr_assert(eventually([&] { return receiver.received("before"); }));

    const std::vector<PeerKey> keys{{"spring", 2, sender.pair.publicKey, true}};
    cr_assert(receiver.keys.replace(keys), "one key is newly retired");
    cr_assert(!receiver.keys.replace(keys), "the key was retired before");
    cr_assert(receiver.keys.admit(sender.pair.publicKey).error().detail == "spring");
    receiver.node.reconnect();
    cr_assert(eventually([&] { return receiver.refused(Code::StaleKey); }));
}

Test(node, a_key_pair_that_does_not_match_is_a_settings_error)
{
    const KeyPair one = *makeKeyPair();
    const KeyPair other = *makeKeyPair();
    cr_assert(checkKeyPair(one).has_value());
    cr_assert(checkKeyPair({one.publicKey, other.secretKey}).error().code == Code::BadSettings);
    cr_assert(checkKeyPair({"short", one.secretKey}).error().code == Code::BadSettings);
}

Test(keys, the_active_slot_follows_the_keys_that_tickets_add_and_retire)
{
    const KeyPair spring = *makeKeyPair();
    const KeyPair summer = *makeKeyPair();
    const KeyPair autumn = *makeKeyPair();
    KeyTable keys;
    const KeyPair none;
    cr_assert(activeSlot(keys, spring, none) == spring);
    cr_assert(activeSlot(keys, spring, summer) == spring, "no ticket has added the next key yet");
    keys.replace(std::vector<PeerKey>{{"spring", 2, spring.publicKey, true}, {"summer", 1, summer.publicKey, false}});
    cr_assert(activeSlot(keys, spring, summer) == summer);
    cr_assert(activeSlot(keys, autumn, summer) == summer, "slot A holds the key that follows, not added yet");
    keys.replace(std::vector<PeerKey>{{"summer", 2, summer.publicKey, true}, {"autumn", 1, autumn.publicKey, false}});
    cr_assert(activeSlot(keys, autumn, summer) == autumn);
}

// Messages of a node that sends without end were kept until memory ran out, up to 1,000 of 2 MB for each connection.
Test(node, messages_that_are_not_read_yet_are_bounded)
{
    constexpr size_t Limit = 8;
    constexpr size_t ValueBytes = 1024 * 1024;
    constexpr size_t Sent = 200;
    constexpr size_t InTransit = 40; // MB that sockets and the sender may hold
    Clock clock;
    Metrics metrics;
    RankedMutex mutex{LockRank::Leaf};
    Condition changed(clock);
    bool reads = false;
    WireNode node(clock, metrics,
                  {.name = "receiver", .listeners = {{"tcp://127.0.0.1:*", "peer", {}}}, .receiveLimit = Limit},
                  {.receive = [&](const WireSource &, const Message &) {
                      LockGuard lock(mutex);
                      while (!reads) {
                          changed.wait(lock);
                      }
                  }});
    cr_assert(node.start().has_value());
    StoreNews news{.revision = 1};
    news.changes.push_back({"k", std::string(ValueBytes, 'x'), 1});
    const std::string bytes = encodeMessage({.sender = "flood", .body = news});
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::sndhwm, 1);
    socket.set(zmq::sockopt::sndtimeo, 1000);
    socket.set(zmq::sockopt::linger, 0);
    socket.connect(node.address(0));
    size_t taken = 0;
    while (taken < Sent && socket.send(zmq::buffer(bytes))) {
        ++taken;
    }
    cr_assert(taken >= Limit && taken <= Limit + InTransit, "%zu messages", taken);
    {
        LockGuard lock(mutex);
        reads = true;
        changed.notifyAll();
    }
    cr_assert(socket.send(zmq::buffer(bytes)).has_value(), "it reads on");
}
