/// Communication with other keepers: heartbeats, replication of the document, load updates, and recovery of the
/// document from peers when the store is unreachable at the start.
#pragma once

#include "document_holder.h"
#include "entry_link.h"
#include "keeper.h"
#include "member_table.h"
#include "send_budget.h"
#include "update_queue.h"
#include "wire/node.h"

#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace damask {

struct PeerSyncHooks {
    std::function<void(const WirePeer &, MessageBody)>                                   send;
    std::function<void(const WireSource &, MessageBody)>                                 reply;
    std::function<WirePeer(std::string_view address)>                                    peerAt; // with the active keys
    std::function<void(std::string_view bytes, uint64_t version, std::string_view from)> adopt;
    std::function<void(std::span<const LoadUpdate>)> updateLoad; // passes them to the entry
    std::function<bool()>                            storeReachable;
};

class PeerSync
{
public:
    PeerSync(Clock &clock, Metrics &metrics, const KeeperOptions &options, MemberTable &members,
             DocumentHolder &documents, PeerSyncHooks hooks);
    ~PeerSync();

    void tick(std::span<const MemberView> members, bool onDuty);
    void requestHeartbeat(); // sends a heartbeat early, at the next tick
    void handleMessage(const WireSource &source, const Message &message);
    void queueUpdates(std::span<const LoadUpdate> updates); // from the entry
    void announceLeaving();                                 // to all heartbeat peers, on a graceful stop

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
