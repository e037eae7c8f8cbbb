#include "base/allocator.h"

#include <cstdlib>
#include <malloc.h>

namespace damask {

void limitAllocatorArenas(int most)
{
    // NOLINTBEGIN(concurrency-mt-unsafe): no other thread runs yet
    if (std::getenv("MALLOC_ARENA_MAX") == nullptr) { // the operator's own limit goes first
        ::mallopt(M_ARENA_MAX, most);
    }
    // NOLINTEND(concurrency-mt-unsafe)
}

} // namespace damask
