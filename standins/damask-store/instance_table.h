/// The stand-in's list of instances, which can lag behind the current state.
#pragma once

#include "base/clock.h"
#include "base/lock.h"
#include "member/instance.h"

#include <deque>
#include <string_view>
#include <vector>

namespace damask::standin {

/// Thread-safe.
class InstanceTable
{
public:
    explicit InstanceTable(Clock &clock);

    void                  setLag(Duration lag);
    void                  add(const Instance &instance);      // replaces an instance of the same name
    bool                  markLeaving(std::string_view name); // false if unknown
    bool                  remove(std::string_view name);
    std::vector<Instance> visible() const; // the list as of `lag` ago

private:
    struct Snapshot {
        TimePoint             at;
        std::vector<Instance> instances;
    };
    void addSnapshot(std::vector<Instance> next);

    Clock               &m_clock;
    mutable RankedMutex  m_mutex{LockRank::Control};
    Duration             m_lag{0};
    std::deque<Snapshot> m_history;
};

} // namespace damask::standin
