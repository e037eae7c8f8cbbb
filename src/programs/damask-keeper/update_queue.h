/// Queue of load updates that are still to be sent to other keepers. Drain updates are sent first.
///
/// Use: `queue.add(batch.updates, now); auto updates = queue.take(UpdateScope::All, maxBytes, now);`
#pragma once

#include "base/time.h"
#include "route/balancer.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace damask {

struct UpdateQueueOptions {
    Duration loadTtl = std::chrono::seconds(1);   // load updates expire at this age: too old for others
    Duration drainTtl = std::chrono::seconds(10); // drain updates expire at this age
    int      loadRounds = 1;                      // rounds in which a load update is sent
    int      drainRounds = 6;                     // rounds in which a drain update is sent
};

/// Which updates a receiver gets.
enum class UpdateScope {
    All,    // to keepers in the same data centre
    Drains, // to other data centres: traffic between regions is billed
};

/// Pure; the caller passes the time and holds any lock.
class UpdateQueue
{
public:
    explicit UpdateQueue(const UpdateQueueOptions &options = {});

    void                    add(std::span<const LoadUpdate> updates, TimePoint now);
    std::vector<LoadUpdate> take(UpdateScope scope, size_t maxBytes, TimePoint now); // as many as fit, drains first
    bool                    hasDrains() const; // true: a drain update has rounds left
    size_t                  size() const;

private:
    struct Item {
        LoadUpdate update;
        TimePoint  seenAt;     // time of the report: now minus its age when added
        int        rounds = 0; // that remain
    };
    void dropOld(TimePoint now);

    UpdateQueueOptions                       m_options;
    std::map<std::string, Item, std::less<>> m_items; // by target
};

/// The size of one update in a message, in bytes.
size_t updateBytes(const LoadUpdate &update);

} // namespace damask
