// Store updates between nodes over real sockets: relays that a source names, and addresses that can't be used.
#include "fakes/eventually.h"
#include "programs/damask-node/neighbours.h"

#include <criterion/criterion.h>
#include <memory>

using namespace damask;
using namespace std::chrono_literals;

namespace {

/// The neighbours of one node, and the relay that the last answer named.
struct Node {
    explicit Node(std::string_view name, std::string_view dataCentre, double linkMbps = 20)
        : neighbours(clock, metrics,
                     {.instance = std::string(name),
                      .dataCentre = std::string(dataCentre),
                      .address = "127.0.0.1",
                      .linkBytesPerSecond = static_cast<size_t>(linkMbps * 125000)},
                     {.news = [](const FollowRequest &request, size_t) { return StoreNews{.number = request.number}; },
                      .newsReceived =
                          [this](StoreNews news) {
                              LockGuard lock(mutex);
                              relay = news.relay;
                              answered = news.number;
                          }})
    {
        cr_assert(neighbours.start().has_value());
    }
    std::string endpoint() const
    {
        return "127.0.0.1:" + std::to_string(neighbours.port());
    }
    void ask(std::string_view address)
    {
        const SeedRequest request{0, {.number = ++asked, .follows = true}, std::string(address)};
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
    uint64_t asked = 0;
    uint64_t answered = 0;
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
