#include "base/allocator.h"

#include <cstdlib>
#include <malloc.h>

namespace damask {

namespace {

constexpr int LargeBlockBytes = 256 * 1024;

} // namespace

void limitAllocatorArenas(int most)
{
    // NOLINTBEGIN(concurrency-mt-unsafe): no other thread runs yet
    // Without a fixed threshold, the first large block that is freed raises it to up to 32 MB, and the blocks below it
    // stay in the pools after they are freed.
    ::mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
    if (std::getenv("MALLOC_ARENA_MAX") == nullptr) { // the operator's own limit goes first
        ::mallopt(M_ARENA_MAX, most);
    }
    // NOLINTEND(concurrency-mt-unsafe)
}

} // namespace damask
