#include "operate/routes.h"

#include <criterion/criterion.h>
#include <httplib.h>
#include <vector>

using namespace damask;

namespace {

struct RunningServer {
    explicit RunningServer(OperateOptions options = {})
        : server(counted(std::move(options)))
    {
        addStandardRoutes(server, metrics,
                          {.ready = [this] { return ready; },
                           .status =
                               [] {
                                   return "{}\n";
                               }});
        server.route("POST", "/echo", [](const OperateRequest &in) {
            const auto it = in.query.find("q");
            return OperateResponse{200, "text/plain", in.body + (it == in.query.end() ? "" : it->second)};
        });
        cr_assert(server.start().has_value());
    }

    OperateOptions counted(OperateOptions options)
    {
        options.refused = [this](Code code) {
            refusals.push_back(code);
        };
        return options;
    }

    httplib::Result get(const char *path, const httplib::Headers &headers = {})
    {
        httplib::Client client("127.0.0.1", server.port());
        return client.Get(path, headers);
    }

    Metrics metrics;
    Result<void> ready;
    std::vector<Code> refusals; // written by one request at a time
    OperateServer server;
};

} // namespace

Test(operate, serves_the_standard_pages)
{
    RunningServer it;
    it.metrics.count("damask_test_total");
    cr_assert(it.get("/healthz")->status == 200);
    cr_assert(it.get("/ready")->status == 200);
    cr_assert(it.get("/metrics")->body.find("damask_test_total 1") != std::string::npos);
    cr_assert(it.get("/status")->body == "{}\n");
    it.ready = fail(Code::EntryLeaving, "stopping");
    const auto leaving = it.get("/ready");
    cr_assert(leaving->status == 503);
    cr_assert(leaving->body == "{\"code\": 108, \"name\": \"EntryLeaving\", \"detail\": \"stopping\"}\n");
}

Test(operate, closes_the_connection_after_the_response)
{
    RunningServer it;
    cr_assert(it.get("/healthz")->get_header_value("Connection") == "close");
}

Test(operate, protected_pages_require_the_exact_token_and_refusals_are_counted)
{
    RunningServer it({.token = "secret"});
    cr_assert(it.get("/healthz")->status == 200);
    cr_assert(it.get("/status", {{"Authorization", "Bearer secret"}})->status == 200);
    for (const char *token : {"", "Bearer ", "Bearer secre", "Bearer secrets", "Bearer secreT", "Basic secret"}) {
        const auto refused = it.get("/status", {{"Authorization", token}});
        cr_assert(refused->status == 401, "token: %s", token);
        cr_assert(refused->body.find("TokenRefused") != std::string::npos);
    }
    cr_assert(it.get("/unknown")->status == 401, "without the token, unknown pages can't be told from existing ones");
    cr_assert(it.refusals == std::vector<Code>(7, Code::TokenRefused));
}

Test(operate, errors_state_code_and_detail)
{
    RunningServer it({.maxBodyBytes = 16});
    const auto missing = it.get("/nothing");
    cr_assert(missing->status == 404);
    cr_assert(missing->body == "{\"code\": 607, \"name\": \"NotFound\", \"detail\": \"no such page: /nothing\"}\n");
    httplib::Client client("127.0.0.1", it.server.port());
    const auto large = client.Post("/echo", std::string(17, 'x'), "text/plain");
    cr_assert(large->status == 413);
    cr_assert(large->body.find("BodyTooLarge") != std::string::npos);
    cr_assert(client.Post("/echo?q=%2Fb", "a", "text/plain")->body == "a/b");
}

Test(operate, start_fails_if_it_cannot_listen_and_stop_can_be_called_twice)
{
    RunningServer it;
    OperateServer second({.address = "999.0.0.1", .port = it.server.port()});
    const auto result = second.start();
    cr_assert(!result && result.error().code == Code::SystemError);
    it.server.stop();
    it.server.stop();
}
