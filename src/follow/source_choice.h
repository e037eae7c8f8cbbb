/// Chooses the source from which a node receives store changes: one of the seeds, which are nodes like itself, a relay,
/// or the store.
///
/// The first live seed polls the store, the other seeds follow it, and all other nodes follow the nearest seed, so
/// that updates seldom cross regions. Where many nodes follow a seed from one data centre, it names one of them as
/// their relay (relay_choice.h), and the others follow that one. A node calls the store itself when no seed that it may
/// follow has fresh enough data. The failure of any other node therefore costs extra store calls but never breaks the
/// freshness bound. The bound of a seed is lower, so that it is fresh again before its followers call the store.
///
/// When an answer is overdue by one request interval, the other seeds are asked too, so that a failed seed is replaced
/// before this node's data is stale.
///
/// Pure: the caller passes the time. Not safe to share between threads.
#pragma once

#include "base/time.h"
#include "follow/news.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

struct SourceOptions {
    std::vector<std::string> seeds; // addresses of the nodes to follow, in the same order on all nodes; empty: none
    std::string              own;   // this node's address
    Duration                 requestInterval = std::chrono::milliseconds(200); // between requests to the followed seed
    Duration                 answerTimeout = std::chrono::milliseconds(800);   // until that request is repeated
    Duration retryInterval = std::chrono::milliseconds(1500); // between requests to a seed that does not answer
    Duration scanInterval = std::chrono::seconds(10);         // between requests to other seeds that answer
    Duration staleAfter = std::chrono::milliseconds(1100);    // age of the data at which the store is called
    Duration seedStaleAfter = std::chrono::milliseconds(900); // staleAfter of a seed
    int      maxHops = 3;                                     // most nodes between this one and the store
    double   switchRatio = 0.5; // a seed below this share of the followed one's round trip replaces it
};

/// A request to send to a seed or to the relay.
struct SeedRequest {
    size_t        seed = 0; // index; that of the relay follows the last seed's
    FollowRequest request;
    std::string   address; // IP:PORT of the receiver
};

class SourceChoice
{
public:
    explicit SourceChoice(const SourceOptions &options);

    bool isSeed() const; // this node is among the seeds

    /// The requests to send now. This node has all changes up to `revision`.
    std::vector<SeedRequest> dueRequests(TimePoint now, uint64_t revision);
    TimePoint                nextDue() const; // Never without seeds

    /// The store's era that this node has entered. Seeds that are behind it are not followed.
    void enterEra(uint64_t era);

    /// Records an answer, and the relay that the followed seed names. For the awaited answer of the followed seed or
    /// relay, returns the time at which the store had nothing newer than the answer.
    std::optional<TimePoint> handleAnswer(const StoreNews &news, TimePoint now);

    /// The seed or relay to follow now; nullopt: call the store. A relay with fresh data goes first, however near the
    /// seeds are. A seed that reaches the store follows only seeds before it in the list, so that seeds never follow
    /// each other in a ring.
    std::optional<size_t> source(TimePoint now, bool reachesStore);
    TimePoint             freshUntil() const;         // of the seed that source() returned last; Never: none
    int                   hops() const;               // nodes between this one and the store, by the last source()
    Duration              staleAfter() const;         // staleAfter or seedStaleAfter, for this node
    const std::string    &address(size_t seed) const; // of a seed or the relay
    bool                  isRelay(size_t seed) const; // the index is that of the relay

private:
    struct Seed {
        std::string address;
        bool        own = false;
        uint64_t    requestNumber = 0;  // of the last request; 0: none yet
        bool        answered = false;   // whether the last request was
        bool        asFollower = false; // the last request had `follows` set
        bool        hasMore = false;    // the last answer was one of several steps
        TimePoint   requestedAt{};
        bool        verified = false;
        TimePoint   verifiedAt{}; // when the store had nothing newer than the seed
        int         hops = 0;
        uint64_t    era = 0;         // of its data
        int         answerCount = 0; // capped at TrustedAnswerCount
        Duration    roundTrip{0};    // the shortest
    };

    bool      hasRelay() const;
    void      offerRelay(std::string_view address);
    void      dropSilentRelay(TimePoint now);
    bool      usable(size_t n, TimePoint now, bool reachesStore) const;
    bool      answerOverdue(TimePoint now) const; // of the followed seed, and no other was asked yet
    TimePoint dueAt(const Seed &seed) const;

    SourceOptions         m_options;
    std::vector<Seed>     m_seeds; // the relay, if there is one, comes last
    std::optional<size_t> m_own;
    std::optional<size_t> m_current;
    uint64_t              m_number = 0;
    uint64_t              m_era = 0;
    bool                  m_othersRequested = false; // since the last answer of the followed seed
};

} // namespace damask
