#include "status.h"

#include "process_usage.h"

#include <nlohmann/json.hpp>

namespace damask {

namespace {

using Json = nlohmann::json;

std::string_view stateName(MemberState state)
{
    switch (state) {
    case MemberState::Live:
        return "live";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Gone:
        return "gone";
    }
    return "gone";
}

Json toJson(const MemberView &it)
{
    return {{"name", it.instance.name},
            {"dataCentre", it.instance.dataCentre},
            {"incarnation", it.instance.incarnation},
            {"state", stateName(it.state)},
            {"listed", it.listed},
            {"recorded", it.recorded},
            {"silenceSeconds", toSeconds(it.silence)},
            {"confirmed", it.confirmed},
            {"documentVersion", it.version}};
}

Json documentJson(const HeldDocument &held)
{
    const ControlDocument &document = held.versioned.document;
    return {{"version", held.versioned.version},
            {"bytes", held.bytes.size()},
            {"revision", document.accepted.revision},
            {"effectiveRevision", held.effective},
            {"stagedTicket", document.staged ? Json(document.staged->number) : Json()}};
}

} // namespace

std::string keeperStatusJson(const KeeperStatus &status)
{
    const ProcessUsage usage = readProcessUsage();
    Json out{{"program", "damask-keeper"},
             {"version", DAMASK_VERSION},
             {"instance", status.self.name},
             {"dataCentre", status.self.dataCentre},
             {"incarnation", status.self.incarnation},
             {"joined", status.joined},
             {"storeReachable", status.storeReachable},
             {"document", status.document ? documentJson(*status.document) : Json()},
             {"entry",
              {{"connected", status.entry.connected},
               {"confirmed", status.entry.revision},
               {"silenceSeconds", toSeconds(status.entry.silence)}}},
             {"watchers", status.watchers},
             {"processorSeconds", usage.processorSeconds},
             {"memoryBytes", usage.memoryBytes}};
    Json waiting = Json::array();
    for (const WaitingInstance &it : status.decision.waiting) {
        waiting.push_back({{"name", it.name}, {"why", it.why}, {"since", it.since}});
    }
    out["waitingFor"] = std::move(waiting);
    Json members = Json::array();
    for (const MemberView &it : status.members) {
        members.push_back(toJson(it));
    }
    out["members"] = std::move(members);
    return out.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace damask
