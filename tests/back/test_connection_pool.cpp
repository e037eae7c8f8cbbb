#include "back/connection_pool.h"

#include <array>
#include <criterion/criterion.h>
#include <sys/socket.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view Key = "10.0.0.1:80";

/// A connection pool and the peer ends of its connections.
struct PoolFixture {
    PoolFixture()
        : pool(clock, {.idleLimit = 10s, .freshLimit = 500ms})
    {
        clock.pause();
    }
    ConnectionLease acquire()
    {
        auto lease = pool.acquire(Key, 4, {});
        cr_assert(lease.has_value());
        if (!lease->connection) {
            std::array<int, 2> ends{};
            cr_assert(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
            lease->connection = std::make_shared<Connection>(FileDescriptor(ends[0]));
            peers.emplace_back(ends[1]);
        }
        return *lease;
    }

    Clock clock;
    ConnectionPool pool;
    std::vector<FileDescriptor> peers;
};

} // namespace

Test(connection_pool, closes_older_idle_connections_of_a_target_after_a_silent_one)
{
    PoolFixture it;
    auto silent = it.acquire();
    auto second = it.acquire();
    auto third = it.acquire();
    it.pool.release(std::move(second));
    it.clock.advance(10ms);
    const TimePoint began = it.clock.now();
    it.pool.release(std::move(third));
    it.pool.discard(std::move(silent));
    it.pool.retireIdle(Key, began);
    cr_assert(it.pool.idle(Key) == 1, "a connection with a later response stays open");
    it.clock.advance(1ms);
    it.pool.retireIdle(Key, it.clock.now());
    cr_assert(it.pool.open(Key) == 0);
}

Test(connection_pool, reuses_the_connection_with_the_latest_response_first)
{
    PoolFixture it;
    auto first = it.acquire();
    auto second = it.acquire();
    Connection *const newest = second.connection.get();
    it.pool.release(std::move(first));
    it.clock.advance(400ms);
    it.pool.release(std::move(second));
    it.clock.advance(400ms);
    auto proven = it.pool.acquire(Key, 4, {.provenAliveOnly = true});
    cr_assert(proven->connection.get() == newest && proven->reused);
    auto fresh = it.pool.acquire(Key, 4, {.provenAliveOnly = true});
    cr_assert(!fresh->connection, "the other connection's last response is older than freshLimit");
    auto old = it.pool.acquire(Key, 4, {});
    cr_assert(old->connection != nullptr, "it is still usable for an idempotent attempt");
    cr_assert(it.pool.open(Key) == 3);
}

Test(connection_pool, counts_each_connection_once)
{
    PoolFixture it;
    std::vector<ConnectionLease> leases;
    for (int n = 0; n < 4; ++n) {
        leases.push_back(it.acquire());
    }
    cr_assert(it.pool.acquire(Key, 4, {}).error().code == Code::TargetShares);
    it.pool.discard(std::move(leases.back()));
    cr_assert(it.pool.open(Key) == 3);
    cr_assert(it.pool.acquire(Key, 4, {}).has_value());
}

// REFUSED: a copy of an earlier refusal of the same request passed for the answer to its next attempt.
Test(connection_pool, a_connection_never_carries_the_same_request_twice)
{
    PoolFixture it;
    auto refused = it.acquire();
    const Connection *const used = refused.connection.get();
    refused.history.requests.push_back(7);
    it.pool.release(std::move(refused));
    auto again = it.pool.acquire(Key, 4, {.request = 7});
    cr_assert(again && !again->connection && it.pool.idle(Key) == 1, "the connection stays for other requests");
    it.pool.discard(std::move(*again));
    auto other = it.pool.acquire(Key, 4, {.request = 8});
    cr_assert(other && other->connection.get() == used && other->history.carried(7));
    other->history.requests.resize(ConnectionHistory::MaxRequests + 1);
    it.pool.release(std::move(*other));
    cr_assert(it.pool.open(Key) == 0, "its history has become too long");
}
