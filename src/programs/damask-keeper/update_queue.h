/// What this instance's entry knows of targets and other keepers have not been told yet. News of a drain goes first.
///
/// Use: `board.put(batch.news, now); auto news = board.take(bytes, now);`
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
    Duration loadMaxAge = std::chrono::seconds(1);   // older news of load is worth nothing to others
    Duration drainMaxAge = std::chrono::seconds(10); // news of a drain is told for so long
    int      loadSends = 1;                          // times that news of load is given out
    int      drainSends = 6;                         // times that news of a drain is given out
};

/// Which news a receiver wants.
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
    std::vector<LoadUpdate> take(UpdateScope scope, size_t maxBytes, TimePoint now); // what fits, drains first
    bool                    hasDrains() const; // not yet given out as often as wanted
    size_t                  size() const;

private:
    struct Item {
        LoadUpdate update;
        TimePoint  seenAt;        // when the report came in, by its age
        int        sendsLeft = 0; // still to be given out
    };
    void removeExpired(TimePoint now);

    UpdateQueueOptions                       m_options;
    std::map<std::string, Item, std::less<>> m_items; // by target
};

/// Bytes that one item takes in a message.
size_t updateBytes(const LoadUpdate &update);

} // namespace damask
