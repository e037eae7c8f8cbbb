/// The keeper's status page as JSON.
#pragma once

#include "control/accept.h"
#include "document_holder.h"
#include "entry_link.h"
#include "member/membership.h"

#include <memory>
#include <string>
#include <vector>

namespace damask {

struct KeeperStatus {
    Instance                            self;
    bool                                joined = false;         // its record is in the store
    bool                                storeReachable = false; // by the last call
    std::shared_ptr<const HeldDocument> document;               // null: none yet
    EntryStatus                         entry;
    AcceptDecision                      decision; // on the staged ticket
    std::vector<MemberView>             members;
    std::vector<std::string>            watchers; // names
};

std::string keeperStatusJson(const KeeperStatus &status);

} // namespace damask
