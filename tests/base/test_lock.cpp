#include "base/lock.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace damask;

Test(lock, rising_ranks_are_taken)
{
    RankedMutex route{LockRank::Route};
    RankedMutex leaf{LockRank::Leaf};
    LockGuard first(route);
    LockGuard second(leaf);
    cr_assert(&first.mutex() == &route);
}

Test(lock, falling_ranks_are_an_assertion, .signal = SIGABRT)
{
    RankedMutex route{LockRank::Route};
    RankedMutex leaf{LockRank::Leaf};
    LockGuard first(leaf);
    LockGuard second(route);
}
