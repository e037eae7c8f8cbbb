/// Synchronisation with the platform's store: the instance's record, the duty lease, the document and the instance
/// list.
///
/// Calls block on the network, so they run on a small pool; tick() only starts those that are due.
/// Pitfall: read the document only after the record is in the store. A keeper that accepts a ticket reads the records
/// first, so it never misses an instance that read the document before the ticket was staged.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "base/random.h"
#include "document_holder.h"
#include "keeper.h"
#include "member/lease.h"
#include "member_table.h"
#include "store/document_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace damask {

constexpr std::string_view StoreSource = "store"; // by a read
constexpr std::string_view WatchSource = "watch"; // by the watch

struct StoreSyncHooks {
    std::function<void(VersionedDocument, std::string bytes, std::string_view source)> adopt;
    DocumentCodec                                                                      codec;
};

class StoreSync
{
public:
    StoreSync(Clock &clock, Metrics &metrics, const KeeperOptions &options, MemberTable &members, StoreSyncHooks hooks);
    ~StoreSync(); // stops

    void tick(bool onDuty, size_t keeperCount);
    void stop();                             // ends the watch, revokes the duty lease, removes the record
    void submit(std::function<void()> task); // runs the task on the pool
    void refresh();                          // reads the document on the pool
    void rejoin(std::function<void()> done); // after a pause: writes the record, reads the document, then calls done
    void readRecords();                      // on the calling thread
    void removeDeadRecords();                // removes the records of instances that are gone, on the calling thread

    /// Overwrites an older document in the store with the held one. Requires the duty lease. Runs on the pool.
    void restore(std::shared_ptr<const HeldDocument> held, uint64_t storeVersion);

    Result<StoreFence> duty() const;      // to be checked right before each action; LeaseLapsed
    bool               joined() const;    // the record is in the store
    bool               reachable() const; // by the last call
    DocumentStore      documents();       // unfenced, for operators' tickets
    DocumentStore      fencedDocuments(); // a write fails when the duty lease is no longer held

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
