#include "programs/damask-node/preview_json.h"

#include <nlohmann/json.hpp>

namespace damask {

namespace {

using Json = nlohmann::ordered_json;

void addCode(Json &out, Code code)
{
    if (code != Code::Ok) {
        out["code"] = codeNumber(code);
        out["codeName"] = codeName(code);
    }
}

Json candidateJson(const PreviewCandidate &it)
{
    Json out{{"target", it.target},     {"dataCentre", it.dataCentre}, {"inFlight", it.inFlight}, {"slots", it.slots},
             {"estimate", it.estimate}, {"costMs", it.cost},           {"cold", it.cold}};
    if (it.reportAge >= 0) {
        out["reportAgeMs"] = it.reportAge;
    }
    if (it.leftOut != LeftOut::None) {
        out["leftOut"] = leftOutName(it.leftOut);
    }
    return out;
}

Json serviceJson(const ServicePreview &it)
{
    Json out{{"service", it.service},
             {"weight", it.weight},
             {"queued", it.queued},
             {"shortage", it.shortage},
             {"spillover", it.spillover}};
    addCode(out, it.code);
    out["chosen"] = it.chosen;
    out["candidates"] = Json::array();
    for (const PreviewCandidate &n : it.candidates) {
        out["candidates"].push_back(candidateJson(n));
    }
    return out;
}

std::string textIn(const OperateRequest &request, const char *name, std::string_view otherwise = {})
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? std::string(otherwise) : it->second;
}

} // namespace

std::string toJson(const RoutePreview &preview)
{
    Json out{{"revision", preview.revision},
             {"rule", preview.rule},
             {"account", preview.account},
             {"keyCheck", keyCheckName(preview.keyCheck)},
             {"idempotent", preview.idempotent}};
    addCode(out, preview.code);
    if (preview.quota) {
        out["quota"] = {{"requestsPerSecond", preview.quota->requestsPerSecond},
                        {"tokens", preview.quota->tokens},
                        {"usage", preview.quota->usage},
                        {"retryAfterMs", toMilliseconds(preview.quota->retryAfter)}};
    }
    out["services"] = Json::array();
    for (const ServicePreview &it : preview.services) {
        out["services"].push_back(serviceJson(it));
    }
    return out.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

OperateResponse answerWhere(const Dispatcher &dispatcher, const OperateRequest &request)
{
    const PreviewQuery query{textIn(request, "host"), textIn(request, "path"), textIn(request, "method", "GET"),
                             textIn(request, "account")};
    if (!query.path.starts_with('/')) {
        return operateError(400, {Code::BadRequest, "path = " + query.path + ": needs a path that begins with /"});
    }
    return {200, "application/json", toJson(dispatcher.preview(query))};
}

} // namespace damask
