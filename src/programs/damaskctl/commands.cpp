#include "programs/damaskctl/commands.h"

#include "programs/damaskctl/advice.h"
#include "programs/damaskctl/explain.h"
#include "programs/damaskctl/render.h"
#include "startup/program.h"

#include <nlohmann/json.hpp>

namespace damask {

namespace {

using Json = nlohmann::json;

constexpr int StatusOk = 200;

/// Encodes text for the query of a URL.
std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view Plain = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    constexpr std::string_view Hex = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (Plain.find(c) != std::string_view::npos) {
            out += c;
        } else {
            out += '%';
            out += Hex[byte / 16];
            out += Hex[byte % 16];
        }
    }
    return out;
}

/// One run of damaskctl.
class Run
{
public:
    Run(Clock &clock, const CommandLine &line, const CommandHooks &hooks)
        : m_clock(clock)
        , m_line(line)
        , m_hooks(hooks)
    {
    }

    int run()
    {
        if (!m_line.tokenFile.empty()) {
            const auto token = m_hooks.readFile(m_line.tokenFile);
            if (!token) {
                return fileFailed(token.error());
            }
            m_token = token->substr(0, token->find_first_of("\r\n"));
        }
        switch (m_line.verb) {
        case Verb::Help:
            m_hooks.print(usageText());
            return ExitOk;
        case Verb::Version:
            m_hooks.print("damaskctl " DAMASK_VERSION "\n");
            return ExitOk;
        case Verb::Explain:
            return explainRequest();
        case Verb::Codes:
            m_hooks.print(renderCodes());
            return ExitOk;
        case Verb::Submit:
            return submit();
        case Verb::Check:
            return sendTicket("/tickets/check", renderCheckResult);
        case Verb::Diff:
            return sendTicket("/tickets/check", renderDiff);
        case Verb::Show:
            return show();
        case Verb::List:
            return get(m_line.keeper, "/tickets", renderTicketList);
        case Verb::Withdraw:
            return withdraw();
        case Verb::RevertOf:
            return get(m_line.keeper, ticketPath() + "/revert", unchangedBody);
        case Verb::Export:
            return get(m_line.keeper, "/configuration", unchangedBody);
        case Verb::Status:
            return get(m_line.keeper, "/status", unchangedBody);
        case Verb::Why:
            return why();
        case Verb::Where:
            return where();
        }
        return ExitUsage;
    }

private:
    using Render = std::function<std::string(std::string_view)>;

    static std::string unchangedBody(std::string_view body)
    {
        return std::string(body);
    }

    std::string ticketPath() const
    {
        return "/tickets/" + std::to_string(m_line.number);
    }

    Result<FetchResponse> ask(const Endpoint &to, std::string_view method, std::string_view path,
                              std::string_view body = {})
    {
        return m_hooks.fetch({to, std::string(method), std::string(path), std::string(body), m_token});
    }

    int fileFailed(const Error &error)
    {
        m_hooks.printError("damaskctl: " + error.detail + "\n");
        return ExitSettings;
    }

    int fetchFailed(const Error &error)
    {
        const std::string_view advice = adviceFor(error.code);
        m_hooks.printError("damaskctl: " + std::string(codeName(error.code)) + " ("
                           + std::to_string(codeNumber(error.code)) + ")\n" + error.detail + "\n"
                           + "What to do: " + std::string(advice) + "\n");
        return error.code == Code::StoreUnknown ? ExitOutcomeUnknown : ExitNotReached;
    }

    int refused(const FetchResponse &answer)
    {
        m_hooks.printError(m_line.json ? answer.body : "damaskctl: " + renderFailure(answer.body));
        const Json json = Json::parse(answer.body, nullptr, false);
        const bool unknown = json.is_object() && json.value("code", Json(0)) == codeNumber(Code::StoreUnknown);
        return unknown ? ExitOutcomeUnknown : ExitFailed;
    }

    int finish(const Result<FetchResponse> &answer, const Render &render)
    {
        if (!answer) {
            return fetchFailed(answer.error());
        }
        if (answer->status != StatusOk) {
            return refused(*answer);
        }
        m_hooks.print(m_line.json ? answer->body : render(answer->body));
        return ExitOk;
    }

    int get(const Endpoint &to, std::string_view path, const Render &render)
    {
        return finish(ask(to, "GET", path), render);
    }

    std::string withSource(std::string_view path) const
    {
        return std::string(path) + "?source=" + percentEncoded(m_line.file);
    }

    int explainRequest()
    {
        const auto log = m_hooks.readFile(m_line.file);
        if (!log) {
            return fileFailed(log.error());
        }
        const std::string explanation = explain(m_line.request, *log);
        if (explanation.empty()) {
            m_hooks.printError("damaskctl: the log has no line for request " + m_line.request + "\n");
            return ExitFailed;
        }
        m_hooks.print(explanation);
        return ExitOk;
    }

    int sendTicket(std::string_view path, const Render &render)
    {
        const auto text = m_hooks.readFile(m_line.file);
        if (!text) {
            return fileFailed(text.error());
        }
        const auto answer = ask(m_line.keeper, "POST", withSource(path), *text);
        const int ec = finish(answer, render);
        const bool wouldFail = ec == ExitOk && fieldOf(answer->body, "code") != 0;
        return wouldFail ? ExitFailed : ec;
    }

    static int64_t fieldOf(std::string_view body, const char *key)
    {
        const Json json = Json::parse(body, nullptr, false);
        return json.is_object() && json.contains(key) && json[key].is_number() ? json[key].get<int64_t>() : 0;
    }

    static std::string stateOf(std::string_view body)
    {
        const Json json = Json::parse(body, nullptr, false);
        return json.is_object() && json.contains("state") && json["state"].is_string()
                   ? json["state"].get<std::string>()
                   : std::string();
    }

    int show()
    {
        return get(m_line.keeper, ticketPath(),
                   [this](std::string_view body) { return renderTicketStatus(body, m_hooks.wallClock()); });
    }

    int withdraw()
    {
        return finish(ask(m_line.keeper, "POST", ticketPath() + "/withdraw"),
                      [this](std::string_view body) { return renderTicketStatus(body, m_hooks.wallClock()); });
    }

    int why()
    {
        const std::string query = m_line.request.empty() ? "service=" + percentEncoded(m_line.service)
                                                         : "request=" + percentEncoded(m_line.request);
        return get(m_line.entry, "/why?" + query, renderCallTraces);
    }

    int where()
    {
        std::string query = "host=" + percentEncoded(m_line.host) + "&path=" + percentEncoded(m_line.path)
                            + "&method=" + percentEncoded(m_line.method);
        query += m_line.account.empty() ? "" : "&account=" + percentEncoded(m_line.account);
        return get(m_line.node, "/where?" + query, renderPreview);
    }

    /// Submits the ticket, retries while another ticket is staged, and waits until it has ended. Resending is
    /// idempotent: a ticket is identified by its number and content.
    int submit()
    {
        const auto text = m_hooks.readFile(m_line.file);
        if (!text) {
            return fileFailed(text.error());
        }
        const TimePoint deadline = m_clock.now() + m_line.wait;
        Result<FetchResponse> answer = ask(m_line.keeper, "POST", withSource("/tickets"), *text);
        while (worthRetrying(answer) && waitUntilNext(deadline)) {
            answer = ask(m_line.keeper, "POST", withSource("/tickets"), *text);
            report(answer);
        }
        const int ec =
            finish(answer, [this](std::string_view body) { return renderTicketStatus(body, m_hooks.wallClock()); });
        const bool staged = ec == ExitOk && stateOf(answer->body) == "staged";
        if (staged && !m_line.json) {
            m_hooks.print("The ticket waits for instances to confirm it; `damaskctl ticket show "
                          + std::to_string(fieldOf(answer->body, "number")) + "` lists them.\n");
        }
        return staged ? ExitStillWaiting : ec;
    }

    /// True if the answer may differ on a later attempt.
    static bool worthRetrying(const Result<FetchResponse> &answer)
    {
        if (!answer) {
            return answer.error().code == Code::StoreUnknown;
        }
        const int64_t code = fieldOf(answer->body, "code");
        return stateOf(answer->body) == "staged" || code == codeNumber(Code::TicketBusy)
               || code == codeNumber(Code::StoreUnknown) || code == codeNumber(Code::StoreConflict);
    }

    /// Prints the instances that the ticket waits for, whenever they change.
    void report(const Result<FetchResponse> &answer)
    {
        if (!answer || stateOf(answer->body) != "staged") {
            return;
        }
        const auto shown = ask(m_line.keeper, "GET", "/tickets/" + std::to_string(fieldOf(answer->body, "number")));
        const Json json = shown ? Json::parse(shown->body, nullptr, false) : Json();
        std::string names;
        if (json.is_object() && json.contains("waiting") && json["waiting"].is_array()) {
            for (const Json &it : json["waiting"]) {
                names += " " + it.value("instance", std::string());
            }
        }
        if (names != m_reported && !names.empty()) {
            m_hooks.printError("waiting for:" + names + "\n");
        }
        m_reported = names;
    }

    bool waitUntilNext(TimePoint deadline)
    {
        const TimePoint next = m_clock.now() + m_hooks.pollInterval;
        if (next > deadline) {
            return false;
        }
        LockGuard lock(m_mutex);
        while (m_clock.now() < next) {
            m_condition.waitUntil(lock, next);
        }
        return true;
    }

    Clock &m_clock;
    const CommandLine &m_line;
    const CommandHooks &m_hooks;
    RankedMutex m_mutex{LockRank::Program};
    Condition m_condition{m_clock};
    std::string m_token;
    std::string m_reported; // names printed last
};

} // namespace

int runCommand(Clock &clock, const CommandLine &line, const CommandHooks &hooks)
{
    return Run(clock, line, hooks).run();
}

} // namespace damask
