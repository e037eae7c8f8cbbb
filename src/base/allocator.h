/// Settings of the C library's allocator.
#pragma once

namespace damask {

/// Limits the pools of memory that threads allocate from. Each keeps part of what was freed in it, so with many threads
/// the process could keep many times what it uses. Blocks from 256 KB on are returned to the system when freed. Call it
/// before the first thread starts.
void limitAllocatorArenas(int most);

} // namespace damask
