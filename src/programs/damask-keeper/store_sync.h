/// The keeper's work with the platform's store: its record, the duty lease, the document and the instance list.
///
/// Calls wait for the network, so they run on a small pool; tick() only says which of them are due.
/// Pitfall: the document is read only after the record stands in the store. Whoever accepts a ticket reads the records
/// first, and so never overlooks an instance that has read the document before the ticket was staged.
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

constexpr std::string_view StoreSource = "store"; // read
constexpr std::string_view WatchSource = "watch"; // seen by the watch

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
    void stop();                             // ends the watch, leaves the store
    void submit(std::function<void()> task); // runs it on the pool
    void refresh();                          // reads the document now
    void rejoin(std::function<void()> done); // after a pause: writes the record, reads the document, then calls done
    void readRecords();                      // on the calling thread
    void removeDeadRecords();                // removes the records of instances that are gone, on the calling thread

    /// Writes a document over one that the store has of an older state; needs duty. Runs on the pool.
    void restore(std::shared_ptr<const HeldDocument> held, uint64_t storeVersion);

    Result<StoreFence> duty() const;      // checked right before an act; LeaseLapsed
    bool               joined() const;    // the record stands in the store
    bool               reachable() const; // by the last call
    DocumentStore      documents();       // unfenced, for operators' tickets
    DocumentStore      fencedDocuments(); // each write fails when the duty lease is gone

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
