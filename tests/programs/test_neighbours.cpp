// Store updates and allowances between nodes over real sockets: relays that a source names, and addresses that can't be
// used.
#include "fakes/eventually.h"
#include "programs/damask-node/neighbours.h"
#include "wire/node.h"

#include <criterion/criterion.h>
#include <memory>
#include <vector>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr size_t ValueBytes = 500'000;

/// The neighbours of one node, and the relay that the last answer named.
struct Node {
    explicit Node(std::string_view name, std::string_view dataCentre, double linkMbps = 20)
        : neighbours(clock, metrics,
                     {.instance = std::string(name),
                      .dataCentre = std::string(dataCentre),
                      .address = "127.0.0.1",
                      .linkBytesPerSecond = static_cast<size_t>(linkMbps * 125000)},
                     {.news = [this](const FollowRequest &request, size_t) { return newsFor(request); },
                      .newsReceived =
                          [this](StoreNews news) {
                              LockGuard lock(mutex);
                              relay = news.relay;
                              answered = news.number;
                          },
                      .grantAllowances =
                          [this](const AllowanceRequest &request) {
                              LockGuard lock(mutex);
                              ++allowanceRequests;
                              return AllowanceGrant{request.number, {{request.wants.at(0).key, 2, 5ms, 0.5}}};
                          },
                      .allowancesGranted =
                          [this](const AllowanceGrant &grant) {
                              LockGuard lock(mutex);
                              grants.push_back(grant);
                          }})
    {
        cr_assert(neighbours.start().has_value());
    }
    /// One large change after each revision below `revision`.
    StoreNews newsFor(const FollowRequest &request)
    {
        LockGuard lock(mutex);
        StoreNews out{.number = request.number, .from = request.revision, .revision = revision};
        if (request.revision < revision) {
            out.changes.push_back({"k", std::string(ValueBytes, 'x'), revision});
            ++valuesSent;
        }
        return out;
    }
    std::string endpoint() const
    {
        return "127.0.0.1:" + std::to_string(neighbours.port());
    }
    void ask(std::string_view address)
    {
        const SeedRequest request{0, {.number = ++asked, .follows = true, .era = era}, std::string(address)};
        neighbours.sendRequests({&request, 1});
    }
    bool isAnswered()
    {
        return eventually([this] {
            LockGuard lock(mutex);
            return answered == asked;
        });
    }

    Clock clock;
    Metrics metrics;
    RankedMutex mutex{LockRank::Leaf};
    std::string relay;
    uint64_t revision = 0; // of the store, as this node knows it
    int valuesSent = 0;
    uint64_t asked = 0;
    uint64_t era = 0; // of its requests
    uint64_t answered = 0;
    int allowanceRequests = 0;
    std::vector<AllowanceGrant> grants;
    Neighbours neighbours; // stops before what its hooks use
};

} // namespace

Test(neighbours, a_source_names_the_follower_with_the_fastest_link_as_relay)
{
    Node source("source", "a");
    Node fast("fast", "b", 200);
    std::vector<std::unique_ptr<Node>> followers;
    for (int n = 0; n < 4; ++n) {
        followers.push_back(std::make_unique<Node>("b" + std::to_string(n), "b"));
    }
    fast.ask(source.endpoint());
    cr_assert(fast.isAnswered() && fast.relay.empty());
    for (const auto &it : followers) {
        it->ask(source.endpoint());
        cr_assert(it->isAnswered());
    }
    cr_assert(followers.back()->relay == fast.endpoint(), "%s", followers.back()->relay.c_str());
    followers.back()->ask(fast.endpoint());
    cr_assert(followers.back()->isAnswered(), "the relay answers at the address that the source named");
}

Test(neighbours, an_address_that_cannot_be_used_ends_nothing)
{
    Node source("source", "a");
    Node follower("follower", "b");
    for (const char *bad : {"", "nonsense", "10.0.0.1", "10.0.0.1:99999999", "[::", ":0", "*:*", "host name:1"}) {
        follower.ask(bad);
    }
    follower.ask(source.endpoint());
    cr_assert(follower.isAnswered());
}

// CONFIG: a large change that was still on its way to a follower was sent again with each answer.
Test(neighbours, a_change_in_transit_is_not_sent_again)
{
    Node source("source", "a", 1); // 1 Mbit/s: the change takes 4 s
    Node follower("follower", "b");
    source.clock.pause();
    source.revision = 7;
    for (int n = 0; n < 3; ++n) {
        follower.ask(source.endpoint());
        cr_assert(follower.isAnswered());
    }
    cr_assert(source.valuesSent == 1, "%d values", source.valuesSent);
    source.neighbours.notifyFollowers();
    cr_assert(source.valuesSent == 1);
    source.clock.advance(1s - 1ms); // followerTimeout
    follower.ask(source.endpoint());
    cr_assert(follower.isAnswered() && source.valuesSent == 1);
    source.clock.advance(1ms);
    follower.ask(source.endpoint());
    cr_assert(follower.isAnswered() && source.valuesSent == 2,
              "it must have been lost: the follower still asks for it");
}

// CONFIG: a follower that has entered an era is not answered after what was sent to it in the one before.
Test(neighbours, what_is_in_transit_counts_only_within_its_era)
{
    Node source("source", "a", 1);
    Node follower("follower", "b");
    source.clock.pause();
    source.revision = 7;
    follower.ask(source.endpoint());
    cr_assert(follower.isAnswered() && source.valuesSent == 1);
    source.revision = 5;
    follower.era = 1;
    follower.ask(source.endpoint());
    cr_assert(follower.isAnswered() && source.valuesSent == 2);
}

Test(neighbours, a_request_for_allowances_is_answered_to_its_sender)
{
    Node grantor("grantor", "a");
    Node node("node", "b");
    node.neighbours.sendAllowanceRequest(grantor.endpoint(), {.number = 41, .wants = {{"account/a", {10, 20, 3}, 4}}});
    cr_assert(eventually([&] {
        LockGuard lock(node.mutex);
        return node.grants.size() == 1;
    }));
    cr_assert(node.grants[0].number == 41 && node.grants[0].shares.size() == 1);
    const AllowanceShare &share = node.grants[0].shares[0];
    cr_assert(share.key == "account/a" && share.tokens == 2 && share.retryAfter == 5ms && share.usage == 0.5);
    node.neighbours.sendAllowanceRequest("nonsense", {.number = 42, .wants = {{"account/a", {10, 20, 3}, 4}}});
}

// One malformed or unexpected message must not end the process, nor what follows it.
Test(neighbours, allowance_messages_that_cannot_be_used_are_refused)
{
    Node grantor("grantor", "a");
    WireNode stranger(grantor.clock, grantor.metrics, {.name = "stranger"}, {.receive = [](auto &&...) {
                      }});
    cr_assert(stranger.start().has_value());
    const WirePeer peer{.address = "tcp://" + grantor.endpoint(), .serverKey = {}, .key = {}};
    const auto send = [&](MessageBody body) {
        cr_assert(stranger.send(peer, {"stranger", 1, std::move(body)}).has_value());
    };
    send(AllowanceGrant{.number = 1, .shares = {{"account/a", 1000, {}, 0}}}); // nobody asked
    send(AllowanceRequest{.number = 2, .wants = {{"account/a", {-1, 0, 0}, 1}}});
    send(AllowanceRequest{.number = 3, .wants = {}}); // the hook of this test throws
    send(AllowanceRequest{.number = 4, .wants = {{"account/a", {10, 20, 3}, 4}}});
    cr_assert(eventually([&] {
        LockGuard lock(grantor.mutex);
        return grantor.allowanceRequests == 2;
    }));
    cr_assert(grantor.grants.empty());
    stranger.stop();
}
