/// What this instance's entry knows of targets and other keepers have not received yet: load updates, drains first.
///
/// Use: `queue.add(batch.news, now); auto updates = queue.take(UpdateScope::All, maxBytes, now);`
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
    Duration loadTtl = std::chrono::seconds(1);   // older load updates are of no use to others
    Duration drainTtl = std::chrono::seconds(10); // drain updates expire at this age
    int      loadRounds = 1;                      // rounds in which a load update is sent
    int      drainRounds = 6;                     // rounds in which a drain update is sent
};

/// Which updates a receiver gets.
enum class UpdateScope {
    All,    // in the same data centre
    Drains, // elsewhere: the bytes across regions are paid for
};

/// Pure; the caller passes the time and holds any lock.
class UpdateQueue
{
public:
    explicit UpdateQueue(const UpdateQueueOptions &options = {});

    void                    add(std::span<const LoadUpdate> updates, TimePoint now);
    std::vector<LoadUpdate> take(UpdateScope scope, size_t maxBytes, TimePoint now); // as many as fit, drains first
    bool                    hasDrains() const; // not yet given out as often as wanted
    size_t                  size() const;

private:
    struct Item {
        LoadUpdate update;
        TimePoint  seenAt;     // when the report came in, by its age
        int        rounds = 0; // still to be given out
    };
    void dropOld(TimePoint now);

    UpdateQueueOptions                       m_options;
    std::map<std::string, Item, std::less<>> m_items; // by target
};

/// Bytes that one item takes in a message.
size_t updateBytes(const LoadUpdate &update);

} // namespace damask
