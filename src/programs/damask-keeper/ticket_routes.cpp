#include "programs/damask-keeper/ticket_routes.h"

#include "settings/settings.h"

#include <nlohmann/json.hpp>
#include <string>

namespace damask {

namespace {

using Json = nlohmann::json;

constexpr std::string_view TicketsPath = "/tickets/";
constexpr std::string_view DefaultSource = "ticket"; // in errors, when the request has no ?source=

/// Replaces invalid UTF-8, so that a response is always valid JSON.
std::string write(const Json &json)
{
    return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

/// 409 when the request may succeed later or under another number, 503 for store errors, 404 for unknown tickets.
int httpStatus(Code code)
{
    switch (code) {
    case Code::Ok:
        return 200;
    case Code::UnknownTicket:
        return 404;
    case Code::StaleTicket:
    case Code::TicketNumberTaken:
    case Code::TicketLosesCapacity:
    case Code::TicketWaiting:
    case Code::TicketBusy:
        return 409;
    case Code::StoreUnavailable:
    case Code::StoreConflict:
    case Code::StoreUnknown:
    case Code::StoreBadValue:
    case Code::StoreTooLarge:
        return 503;
    default:
        return 400;
    }
}

Json codeJson(Code code, std::string_view detail)
{
    return {{"code", codeNumber(code)}, {"name", codeName(code)}, {"detail", detail}};
}

OperateResponse errorResponse(const Error &error)
{
    return {httpStatus(error.code), "application/json", write(codeJson(error.code, error.detail))};
}

OperateResponse jsonResponse(const Json &json, Code code = Code::Ok)
{
    return {httpStatus(code), "application/json", write(json)};
}

std::string_view stateName(TicketState state)
{
    switch (state) {
    case TicketState::Staged:
        return "staged";
    case TicketState::Accepted:
        return "accepted";
    case TicketState::Refused:
        return "refused";
    case TicketState::Withdrawn:
        return "withdrawn";
    }
    return "unknown";
}

Json recordJson(const TicketRecord &record)
{
    Json json = codeJson(record.code, record.detail);
    json["number"] = record.number;
    json["state"] = stateName(record.state);
    json["operator"] = record.operatorName;
    json["comment"] = record.comment;
    json["revision"] = record.revision;
    json["submittedAt"] = record.submittedAt;
    json["endedAt"] = record.endedAt;
    return json;
}

Json viewJson(const TicketView &view)
{
    Json json = recordJson(view.record);
    json["waiting"] = Json::array();
    for (const WaitingInstance &it : view.confirmation.waiting) {
        json["waiting"].push_back({{"instance", it.name}, {"why", it.why}, {"since", it.since}});
    }
    json["passedOver"] = view.confirmation.passedOver;
    return json;
}

Json planJson(const TicketPlan &plan)
{
    Json json = codeJson(plan.code, plan.detail);
    json["number"] = plan.number;
    json["diff"] = plan.diff;
    json["unchanged"] = plan.unchanged;
    json["effect"] = describeEffect(plan.effect);
    return json;
}

std::string sourceOf(const OperateRequest &request)
{
    const auto it = request.query.find("source");
    return it == request.query.end() ? std::string(DefaultSource) : it->second;
}

OperateResponse submitTicket(TicketController &ticketController, const OperateRequest &request)
{
    const auto record = ticketController.submit(request.body, sourceOf(request));
    return record ? jsonResponse(recordJson(*record), record->code) : errorResponse(record.error());
}

OperateResponse checkTicket(TicketController &ticketController, const OperateRequest &request)
{
    const auto plan = ticketController.check(request.body, sourceOf(request));
    return plan ? jsonResponse(planJson(*plan)) : errorResponse(plan.error());
}

OperateResponse listTickets(TicketController &ticketController)
{
    const auto list = ticketController.list();
    if (!list) {
        return errorResponse(list.error());
    }
    Json json = {{"revision", list->revision}, {"nextFreeNumber", list->nextFreeNumber}, {"tickets", Json::array()}};
    for (const TicketRecord &it : list->records) {
        json["tickets"].push_back(recordJson(it));
    }
    return jsonResponse(json);
}

OperateResponse showTicket(TicketController &ticketController, uint64_t number)
{
    const auto view = ticketController.show(number);
    return view ? jsonResponse(viewJson(*view)) : errorResponse(view.error());
}

OperateResponse withdrawTicket(TicketController &ticketController, uint64_t number)
{
    const auto record = ticketController.withdraw(number);
    return record ? jsonResponse(recordJson(*record)) : errorResponse(record.error());
}

OperateResponse textResponse(const Result<std::string> &text)
{
    return text ? OperateResponse{200, "text/plain; charset=utf-8", *text} : errorResponse(text.error());
}

/// Parses the number in /tickets/N or /tickets/N/ACTION. BadRequest when the path has another form.
Result<uint64_t> parseTicketNumber(std::string_view path, std::string_view action)
{
    const std::string_view rest = path.substr(std::min(TicketsPath.size(), path.size()));
    const bool rightAction = rest.ends_with(action);
    const auto number = parseNumber(rest.substr(0, rightAction ? rest.size() - action.size() : 0));
    if (!number || *number < 1) {
        return fail(Code::BadRequest, "expected " + std::string(TicketsPath) + "NUMBER" + std::string(action));
    }
    return static_cast<uint64_t>(*number);
}

OperateResponse getTicketPath(TicketController &ticketController, const OperateRequest &request)
{
    constexpr std::string_view Revert = "/revert";
    const bool revert = request.path.ends_with(Revert);
    const auto number = parseTicketNumber(request.path, revert ? Revert : "");
    if (!number) {
        return errorResponse(number.error());
    }
    return revert ? textResponse(ticketController.revertOf(*number)) : showTicket(ticketController, *number);
}

OperateResponse postTicketPath(TicketController &ticketController, const OperateRequest &request)
{
    const auto number = parseTicketNumber(request.path, "/withdraw");
    return number ? withdrawTicket(ticketController, *number) : errorResponse(number.error());
}

} // namespace

void addTicketRoutes(OperateServer &server, TicketController &ticketController)
{
    server.route("POST", "/tickets",
                 [&ticketController](const OperateRequest &in) { return submitTicket(ticketController, in); });
    server.route("POST", "/tickets/check",
                 [&ticketController](const OperateRequest &in) { return checkTicket(ticketController, in); });
    server.route("POST", "/tickets/*",
                 [&ticketController](const OperateRequest &in) { return postTicketPath(ticketController, in); });
    server.route("GET", "/tickets",
                 [&ticketController](const OperateRequest &) { return listTickets(ticketController); });
    server.route("GET", "/tickets/*",
                 [&ticketController](const OperateRequest &in) { return getTicketPath(ticketController, in); });
    server.route("GET", "/configuration", [&ticketController](const OperateRequest &) {
        return textResponse(ticketController.exportConfiguration());
    });
}

} // namespace damask
