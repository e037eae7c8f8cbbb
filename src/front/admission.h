/// Who may have a worker: the deeper a call, the more of them are open to it.
///
/// A call holds a worker until the calls it causes, which come back through the entries one level deeper, have
/// ended. If shallow calls could take every worker, the deeper ones that they wait for would find none. So each
/// level has some workers that no shallower call may take, and the deepest level always has one free in turn.
#pragma once

#include <atomic>
#include <cstddef>

namespace damask {

struct AdmissionOptions {
    size_t workers = 256;        // calls served at once
    size_t reservedPerLevel = 8; // workers kept for each deeper level
    int    levels = 15;          // levels below the first; deeper ones count as the last
};

/// Safe from all threads.
class Admission
{
public:
    explicit Admission(const AdmissionOptions &options); // the first level must keep one worker at least (asserted)

    bool   tryAcquire(int depth);  // false: no worker is open to this depth now
    void   release();              // once for each tryAcquire() that gave true
    size_t busy() const;           // calls inside
    size_t limit(int depth) const; // calls inside above which this depth is refused

private:
    AdmissionOptions    m_options;
    std::atomic<size_t> m_busy{0};
};

} // namespace damask
