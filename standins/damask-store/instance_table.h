/// The stand-in's list of instances, which shows the state of some time ago.
#pragma once

#include "base/clock.h"
#include "base/lock.h"
#include "member/instance.h"

#include <deque>
#include <string_view>
#include <vector>

namespace damask::standin {

/// Safe from all threads.
class InstanceTable
{
public:
    explicit InstanceTable(Clock &clock);

    void                  setLag(Duration lag);
    void                  add(const Instance &instance); // or replaces the one of this name
    bool                  markLeaving(std::string_view name);  // marks it as leaving
    bool                  remove(std::string_view name);
    std::vector<Instance> visible() const; // as it was `lag` ago

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
