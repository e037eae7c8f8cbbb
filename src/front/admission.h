/// Admission control by call depth: the deeper a call is nested, the more workers it may use.
///
/// A call occupies a worker until its nested calls, which arrive at the instances one level deeper, have finished.
/// If shallow calls could occupy every worker, the nested calls that they wait for would find none: a deadlock.
/// Each level therefore has reserved workers that shallower calls can't use, so that the deepest level always makes
/// progress.
#pragma once

#include <atomic>
#include <cstddef>

namespace damask {

struct AdmissionOptions {
    size_t workers = 256;        // maximum number of calls served concurrently
    size_t reservedPerLevel = 8; // workers reserved for each deeper level
    int    levels = 15;          // levels below the first; deeper calls count as the last
};

/// Thread-safe.
class Admission
{
public:
    explicit Admission(const AdmissionOptions &options); // asserts that the first level has at least one worker

    bool   tryAcquire(int depth);  // false: no worker is available at this depth
    void   release();              // once for each tryAcquire() that returned true
    size_t busy() const;           // admitted calls in progress
    size_t limit(int depth) const; // calls are refused at this depth once busy() reaches it

private:
    AdmissionOptions    m_options;
    std::atomic<size_t> m_busy{0};
};

} // namespace damask
