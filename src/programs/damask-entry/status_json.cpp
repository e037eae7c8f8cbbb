#include "programs/damask-entry/status_json.h"

#include <nlohmann/json.hpp>

namespace damask {

namespace {

using Json = nlohmann::ordered_json;

constexpr int Indent = 2; // spaces

Json toJsonObject(const TargetStatus &target)
{
    Json out;
    out["name"] = target.name;
    out["dataCentre"] = target.dataCentre;
    out["inFlight"] = target.inFlight;
    out["estimate"] = target.estimate;
    out["reported"] = target.reported;
    out["reportAgeMs"] = toMilliseconds(target.reportAge);
    out["draining"] = target.draining;
    out["ejected"] = target.ejected;
    out["oldestCallMs"] = toMilliseconds(target.oldestCall);
    out["typicalTimeMs"] = toMilliseconds(target.typicalTime);
    return out;
}

Json toJsonObject(const ServiceStatus &service)
{
    Json out;
    out["name"] = service.name;
    out["targets"] = Json::array();
    for (const TargetStatus &it : service.targets) {
        out["targets"].push_back(toJsonObject(it));
    }
    return out;
}

Json toJsonObject(const FrontStatus &front)
{
    Json out;
    out["connections"] = front.connections;
    out["callsInFlight"] = front.callsInFlight;
    out["heldBytes"] = front.bufferedBytes;
    out["pollerWakeUps"] = front.pollerWakeUps;
    out["workerTasks"] = front.workerTasks;
    return out;
}

} // namespace

std::string toJson(const EntryStatus &status)
{
    Json out;
    out["program"] = "damask-entry";
    out["version"] = DAMASK_VERSION;
    out["instance"] = status.instance;
    out["dataCentre"] = status.dataCentre;
    out["revision"] = status.revision;
    out["leaving"] = status.leaving;
    out["keeperSilenceMs"] = toMilliseconds(status.keeperSilence);
    out["attemptsInFlight"] = status.attempts;
    out["front"] = toJsonObject(status.front);
    out["services"] = Json::array();
    for (const ServiceStatus &it : status.services) {
        out["services"].push_back(toJsonObject(it));
    }
    return out.dump(Indent, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace damask
