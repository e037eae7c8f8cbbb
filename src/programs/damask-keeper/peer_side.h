/// The keeper's work with other keepers: heartbeats, copies of the document, news of load, and the start without store.
#pragma once

#include "document_holder.h"
#include "entry_port.h"
#include "keeper.h"
#include "member_table.h"
#include "news_board.h"
#include "send_budget.h"
#include "wire/node.h"

#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace damask {

struct PeerSideHooks {
    std::function<void(const WirePeer &, MessageBody)>                                  send;
    std::function<void(const WireSource &, MessageBody)>                                reply;
    std::function<WirePeer(std::string_view address)>                                   peerAt; // with the keys of now
    std::function<void(std::string_view bytes, uint64_t version, std::string_view who)> adopt;
    std::function<void(std::span<const LoadUpdate>)>                                    updateLoad; // by the entry
    std::function<bool()>                                                               storeReachable;
};

class PeerSide
{
public:
    PeerSide(Clock &clock, Metrics &metrics, const KeeperOptions &options, MemberTable &members,
             DocumentHolder &documents, PeerSideHooks hooks);
    ~PeerSide();

    void tick(std::span<const MemberView> members, bool onDuty);
    void hurry(); // a heartbeat goes out with the next tick
    void hear(const WireSource &source, const Message &message);
    void takeNews(std::span<const LoadUpdate> news); // from the entry
    void sayGoodbye();                               // to all, on a graceful stop

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
