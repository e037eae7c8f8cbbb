#include "programs/damask-entry/entry.h"

#include "fakes/raw_caller.h"
#include "operate/server.h"

#include <criterion/criterion.h>
#include <httplib.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

/// An entry without a keeper, and a target: an HTTP server with one page.
struct EntryFixture {
    EntryFixture()
        : target(OperateOptions{})
        , entry(clock, metrics, options())
    {
        target.route("GET", "/listings/1", [](const OperateRequest &) {
            return OperateResponse{200, "text/plain", "tea"};
        });
        cr_assert(target.start().has_value());
        cr_assert(entry.start().has_value());
    }

    static EntryOptions options()
    {
        EntryOptions out;
        out.instance = "e1";
        out.balancer.dataCentre = "zh";
        out.front.admission = {.workers = 20, .reservedPerLevel = 1, .levels = 15};
        out.shutdownDelay = 10ms;
        return out;
    }

    void configure()
    {
        auto next = std::make_shared<Configuration>();
        next->revision = 1;
        next->dataCentres = {{.name = "zh", .version = 1, .region = "ch"}};
        next->pools = {{.name = "p", .version = 1}};
        next->pools[0].targets = {
            {.name = "t1", .address = "127.0.0.1", .port = target.port(), .dataCentre = "zh", .slots = 2}};
        next->services = {{.name = "listings", .version = 1, .pool = "p"}};
        next->rules = {{.name = "all", .version = 1, .prefix = "/listings", .service = "listings"}};
        entry.apply(next);
    }

    httplib::Result operate(const char *path)
    {
        httplib::Client client("127.0.0.1", entry.operatorPort());
        return client.Get(path);
    }

    Clock clock;
    Metrics metrics;
    OperateServer target;
    Entry entry;
};

} // namespace

Test(entry, refuses_calls_until_it_has_a_configuration)
{
    EntryFixture it;
    cr_assert(it.operate("/ready")->status == 503);
    cr_assert(it.operate("/ready")->body.find("NoConfiguration") != std::string::npos);
    RawCaller caller(it.entry.callerPort());
    const RawResponse refused = caller.ask(getRequest("/listings/1"));
    cr_assert(refused.status == 503 && refused.field("X-Damask-Code") == "109 NoConfiguration");
    cr_assert(refused.field("X-Damask-Outcome") == "not-run");
    it.configure();
    cr_assert(it.operate("/ready")->status == 200);
}

Test(entry, call_is_forwarded_and_can_be_explained)
{
    EntryFixture it;
    it.configure();
    RawCaller caller(it.entry.callerPort());
    const RawResponse answer = caller.ask(getRequest("/listings/1", "X-Request-Id: call-1\r\n"));
    cr_assert(answer.status == 200 && answer.body == "tea");
    cr_assert(answer.field("X-Damask-Outcome") == "answered");
    cr_assert(answer.field("X-Damask-Target") == "p/t1");
    cr_assert(it.operate("/why?request=call-1")->body.find("p/t1") != std::string::npos);
    cr_assert(it.operate("/why?service=listings")->body.find("call-1") != std::string::npos);
    cr_assert(it.operate("/why?request=other")->status == 404);
    cr_assert(it.operate("/why")->status == 400);
    const std::string status = it.operate("/status")->body;
    cr_assert(status.find("\"revision\": 1") != std::string::npos);
    cr_assert(status.find("\"name\": \"p/t1\"") != std::string::npos);
}

Test(entry, call_without_matching_rule_is_not_run)
{
    EntryFixture it;
    it.configure();
    RawCaller caller(it.entry.callerPort());
    const RawResponse refused = caller.ask(getRequest("/other"));
    cr_assert(refused.field("X-Damask-Outcome") == "not-run");
    cr_assert(refused.field("X-Damask-Code") == "101 NoSuchService");
}

Test(entry, stop_is_graceful_and_idempotent)
{
    EntryFixture it;
    it.configure();
    RawCaller caller(it.entry.callerPort());
    cr_assert(caller.ask(getRequest("/listings/1")).status == 200);
    it.entry.stop();
    cr_assert(caller.closedByPeer());
    it.entry.stop();
}

Test(entry, settings_without_workers_for_the_first_level_are_refused)
{
    const auto settings = Settings::load("[front]\nworkers = 100\n", "entry.ini", entrySpecs());
    cr_assert(settings.has_value());
    const auto options = readEntryOptions(*settings);
    cr_assert(!options && options.error().code == Code::BadSettings);
    const auto defaults = Settings::load("", "entry.ini", entrySpecs());
    cr_assert(defaults.has_value() && readEntryOptions(*defaults).has_value());
}
