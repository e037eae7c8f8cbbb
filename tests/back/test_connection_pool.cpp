#include "back/connection_pool.h"

#include <array>
#include <criterion/criterion.h>
#include <sys/socket.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view Key = "10.0.0.1:80";

/// A table and the other ends of its connections.
struct PoolFixture {
    PoolFixture()
        : pool(clock, {.idleLimit = 10s, .freshLimit = 500ms})
    {
        clock.pause();
    }
    ConnectionLease use()
    {
        auto lease = pool.acquire(Key, 4, false);
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

Test(connection_pool, retires_the_idle_siblings_of_a_silent_connection)
{
    PoolFixture it;
    auto silent = it.use();
    auto second = it.use();
    auto third = it.use();
    it.pool.release(std::move(second));
    it.clock.advance(10ms);
    const TimePoint began = it.clock.now();
    it.pool.release(std::move(third));
    it.pool.discard(std::move(silent));
    it.pool.closeIdleBefore(Key, began);
    cr_assert(it.pool.idle(Key) == 1, "the one that carried an answer since is kept");
    it.clock.advance(1ms);
    it.pool.closeIdleBefore(Key, it.clock.now());
    cr_assert(it.pool.open(Key) == 0);
}

Test(connection_pool, gives_the_newest_proof_first)
{
    PoolFixture it;
    auto first = it.use();
    auto second = it.use();
    Connection *const newest = second.connection.get();
    it.pool.release(std::move(first));
    it.clock.advance(400ms);
    it.pool.release(std::move(second));
    it.clock.advance(400ms);
    auto proven = it.pool.acquire(Key, 4, true);
    cr_assert(proven->connection.get() == newest && proven->reused);
    auto fresh = it.pool.acquire(Key, 4, true);
    cr_assert(!fresh->connection, "the other is too old to be proven alive");
    auto old = it.pool.acquire(Key, 4, false);
    cr_assert(old->connection != nullptr, "but good for an idempotent attempt");
    cr_assert(it.pool.open(Key) == 3);
}

Test(connection_pool, counts_each_place_once)
{
    PoolFixture it;
    std::vector<ConnectionLease> leases;
    for (int n = 0; n < 4; ++n) {
        leases.push_back(it.use());
    }
    cr_assert(it.pool.acquire(Key, 4, false).error().code == Code::TargetShares);
    it.pool.discard(std::move(leases.back()));
    cr_assert(it.pool.open(Key) == 3);
    cr_assert(it.pool.acquire(Key, 4, false).has_value());
}
