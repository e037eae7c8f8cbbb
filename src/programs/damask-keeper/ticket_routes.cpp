#include "programs/damask-keeper/ticket_routes.h"

#include "settings/settings.h"

#include <nlohmann/json.hpp>
#include <string>

namespace damask {

namespace {

using Json = nlohmann::json;

constexpr std::string_view TicketsFolder = "/tickets/";
constexpr std::string_view SourceName = "ticket"; // in errors, when the client gives no ?source=

/// Invalid UTF-8 is replaced, so that an answer is always valid JSON.
std::string write(const Json &json)
{
    return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

/// 409 for what may work later or under another number, 503 for the store, 404 for what is not there.
int statusOf(Code code)
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

OperateResponse refuse(const Error &error)
{
    return {statusOf(error.code), "application/json", write(codeJson(error.code, error.detail))};
}

OperateResponse answer(const Json &json, Code code = Code::Ok)
{
    return {statusOf(code), "application/json", write(json)};
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
    return it == request.query.end() ? std::string(SourceName) : it->second;
}

OperateResponse submitTicket(TicketController &desk, const OperateRequest &request)
{
    const auto record = desk.submit(request.body, sourceOf(request));
    return record ? answer(recordJson(*record), record->code) : refuse(record.error());
}

OperateResponse checkTicket(TicketController &desk, const OperateRequest &request)
{
    const auto plan = desk.check(request.body, sourceOf(request));
    return plan ? answer(planJson(*plan)) : refuse(plan.error());
}

OperateResponse listTickets(TicketController &desk)
{
    const auto list = desk.list();
    if (!list) {
        return refuse(list.error());
    }
    Json json = {{"revision", list->revision}, {"nextFreeNumber", list->nextFreeNumber}, {"tickets", Json::array()}};
    for (const TicketRecord &it : list->records) {
        json["tickets"].push_back(recordJson(it));
    }
    return answer(json);
}

OperateResponse showTicket(TicketController &desk, uint64_t number)
{
    const auto view = desk.show(number);
    return view ? answer(viewJson(*view)) : refuse(view.error());
}

OperateResponse withdrawTicket(TicketController &desk, uint64_t number)
{
    const auto record = desk.withdraw(number);
    return record ? answer(recordJson(*record)) : refuse(record.error());
}

OperateResponse textOf(const Result<std::string> &text)
{
    return text ? OperateResponse{200, "text/plain; charset=utf-8", *text} : refuse(text.error());
}

/// The number in /tickets/N or /tickets/N/ACTION; BadRequest when the path is another.
Result<uint64_t> numberIn(std::string_view path, std::string_view action)
{
    const std::string_view rest = path.substr(std::min(TicketsFolder.size(), path.size()));
    const bool rightAction = rest.ends_with(action);
    const auto number = parseNumber(rest.substr(0, rightAction ? rest.size() - action.size() : 0));
    if (!number || *number < 1) {
        return fail(Code::BadRequest, "expected " + std::string(TicketsFolder) + "NUMBER" + std::string(action));
    }
    return static_cast<uint64_t>(*number);
}

OperateResponse getBelowTickets(TicketController &desk, const OperateRequest &request)
{
    constexpr std::string_view Revert = "/revert";
    const bool revert = request.path.ends_with(Revert);
    const auto number = numberIn(request.path, revert ? Revert : "");
    if (!number) {
        return refuse(number.error());
    }
    return revert ? textOf(desk.revertOf(*number)) : showTicket(desk, *number);
}

OperateResponse postBelowTickets(TicketController &desk, const OperateRequest &request)
{
    const auto number = numberIn(request.path, "/withdraw");
    return number ? withdrawTicket(desk, *number) : refuse(number.error());
}

} // namespace

void addTicketRoutes(OperateServer &server, TicketController &desk)
{
    server.route("POST", "/tickets", [&desk](const OperateRequest &in) { return submitTicket(desk, in); });
    server.route("POST", "/tickets/check", [&desk](const OperateRequest &in) { return checkTicket(desk, in); });
    server.route("POST", "/tickets/*", [&desk](const OperateRequest &in) { return postBelowTickets(desk, in); });
    server.route("GET", "/tickets", [&desk](const OperateRequest &) { return listTickets(desk); });
    server.route("GET", "/tickets/*", [&desk](const OperateRequest &in) { return getBelowTickets(desk, in); });
    server.route("GET", "/configuration",
                 [&desk](const OperateRequest &) { return textOf(desk.exportConfiguration()); });
}

} // namespace damask
