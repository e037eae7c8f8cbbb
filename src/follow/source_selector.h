/// Whom a node hears the store's changes from: one of the seeds, which are nodes like itself, or the store.
///
/// The first seed that lives asks the store; the other seeds follow it, and all other nodes follow the nearest seed, so
/// that news seldom cross between regions. A node asks the store itself when nobody that it follows can prove news
/// fresh enough, so losing any of the others costs calls and no bound.
///
/// An answer that is late by one beat makes the other seeds be asked, so that a seed that dies is replaced before what
/// is known is stale.
///
/// Pure: the caller passes the time. Not safe to share between threads.
#pragma once

#include "base/time.h"
#include "follow/store_news.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace damask {

struct SourceOptions {
    std::vector<std::string>
                seeds; // addresses of nodes that others follow, in one order for all; empty: none is followed
    std::string own;   // address of this node
    Duration    requestInterval = std::chrono::milliseconds(200); // between two requests to the node that is followed
    Duration    answerTimeout = std::chrono::milliseconds(800);   // for an answer, before the same seed is asked again
    Duration    retryInterval = std::chrono::milliseconds(1500);  // between two requests to a seed that gave no answer
    Duration    scanInterval = std::chrono::seconds(10);          // between two requests to others that answered
    Duration    staleAfter = std::chrono::milliseconds(1100);     // age of the last proof at which the store is asked
    Duration    seedStaleAfter =
        std::chrono::milliseconds(900); // the same for a seed, so that it is back before others ask
    int    maxHops = 2;                 // nodes between this one and the store
    double switchRatio = 0.5;           // share of the followed seed's round trip below which another takes its place
};

/// A request that is due.
struct SeedRequest {
    size_t        seed = 0; // index
    FollowRequest request;
};

class SourceSelector
{
public:
    explicit SourceSelector(const SourceOptions &options);

    bool isSeed() const; // others follow this node

    /// The requests to send now. `revision` is known up to here.
    std::vector<SeedRequest> dueRequests(TimePoint now, uint64_t revision);
    TimePoint                nextDue() const; // Never without seeds

    /// Takes an answer. When it is the one awaited from the followed seed: the time at which the store had nothing
    /// newer than the news.
    std::optional<TimePoint> handleAnswer(const StoreNews &news, TimePoint now);

    /// The seed to follow now; none: the store has to be asked. A seed that reaches the store yields to those before it
    /// alone, so that seeds never follow each other in a ring.
    std::optional<size_t> source(TimePoint now, bool reachesStore);
    TimePoint             freshUntil() const;         // of what source() gave last; Never: it gave none
    int                   hops() const;               // of this node, by what source() gave last
    Duration              staleAfter() const;         // of this node
    const std::string    &address(size_t seed) const; // of a seed

private:
    struct Seed {
        std::string address;
        bool        own = false;
        uint64_t    requestNumber = 0;  // number of the last request; 0: none yet
        bool        answered = false;   // the last request was
        bool        asFollower = false; // the last request said that this node follows the seed
        TimePoint   requestedAt{};
        bool        verified = false;
        TimePoint   verifiedAt{}; // the store had nothing newer then
        int         hops = 0;
        int         answerCount = 0; // so far, at most TrustedAnswerCount
        Duration    roundTrip{0};    // the shortest
    };

    bool usable(size_t n, TimePoint now, bool reachesStore) const;
    bool
    answerOverdue(TimePoint now) const; // the followed seed owes an answer, and the others have not been asked for it
    TimePoint dueAt(const Seed &seed) const;

    SourceOptions         m_options;
    std::vector<Seed>     m_seeds;
    std::optional<size_t> m_own;
    std::optional<size_t> m_current;
    uint64_t              m_number = 0;
    bool                  m_othersRequested = false; // since the followed seed answered last
};

} // namespace damask
