#include "base/lock.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace damask;

Test(lock, locks_can_be_taken_in_ascending_rank)
{
    RankedMutex route{LockRank::Route};
    RankedMutex leaf{LockRank::Leaf};
    LockGuard first(route);
    LockGuard second(leaf);
    cr_assert(&first.mutex() == &route);
}

Test(lock, descending_ranks_fail_an_assertion, .signal = SIGABRT)
{
    RankedMutex route{LockRank::Route};
    RankedMutex leaf{LockRank::Leaf};
    LockGuard first(leaf);
    LockGuard second(route);
}
