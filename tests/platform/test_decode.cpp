#include "platform/platform.h"

#include <criterion/criterion.h>
#include <random>

using namespace damask;

namespace {

constexpr std::string_view ValidConfiguration =
    R"({"version":"00000007","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,)"
    R"("idleTimeoutMs":15000},"baseVersion":"00000005","later":true,"listeners":[{"host":"a.example","ruleSet":[)"
    R"({"name":"r-1","kind":"safe","targetLatencyMs":250,"priority":2,"match":{"prefix":"/p/"},"action":{"split":[)"
    R"({"service":"s1","weight":90},{"service":"s2","weight":10}],"timeoutMs":1200,"maxAttempts":2}}]},)"
    R"({"host":"b.example","ruleSet":[{"name":"r-2","kind":"unsafe","targetLatencyMs":300,"priority":1,)"
    R"("match":{"prefix":"/q/r/"},"action":{"service":"s2","timeoutMs":800,"maxAttempts":3}}]}],)"
    R"("clusters":[{"name":"s2","healthPath":"/h2","maxConns":220,"protocol":"h1","tls":false},)"
    R"({"name":"s1","healthPath":"/h1","maxConns":100}]})";

constexpr std::string_view ValidWorker =
    R"({"service":"s1","address":"10.128.0.9:8080","zone":"zh-a","version":"v1","slots":6,"state":"ready",)"
    R"("coldLeftMs":1500,"seq":4,"born":1790000000000})";

std::string replaced(std::string_view text, std::string_view from, std::string_view to)
{
    std::string out(text);
    const size_t at = out.find(from);
    cr_assert(at != std::string::npos, "%s", std::string(from).c_str());
    return out.replace(at, from.size(), to);
}

} // namespace

Test(decode, decodes_a_configuration_into_rules_and_services)
{
    const auto read = platform::readConfiguration(ValidConfiguration);
    cr_assert(read.has_value(), "%s", read ? "" : read.error().detail.c_str());
    cr_assert(read->version == 7 && read->limits.bodyBytes == 67108864);
    cr_assert(read->services.size() == 2 && read->services[0].name == "s1" && read->services[0].healthPath == "/h1");
    const Rule &split = read->rules.at(0);
    cr_assert(split.host == "a.example" && split.prefix == "/p/" && split.idempotency == Idempotency::Always);
    cr_assert(split.split.size() == 2 && split.split[0].weight == 90 && split.service.empty());
    const Rule &single = read->rules.at(1);
    cr_assert(single.idempotency == Idempotency::Never && single.service == "s2" && !single.retryErrors);
    cr_assert(single.timeout == std::chrono::milliseconds(800) && single.maxAttempts == 3 && single.rank == 1);
    cr_assert(single.objective == std::chrono::milliseconds(300));
}

Test(decode, rejects_a_configuration_with_any_error_as_a_whole)
{
    const std::pair<std::string_view, std::string_view> faults[] = {
        {"00000007", "7"},
        {"00000007", "0000000g"},
        {"\"kind\":\"safe\"", "\"kind\":\"maybe\""},
        {"\"prefix\":\"/p/\"", "\"prefix\":\"/p\""},
        {"\"prefix\":\"/p/\"", "\"prefix\":7"},
        {"\"maxAttempts\":2", "\"maxAttempts\":0"},
        {"\"timeoutMs\":1200", "\"timeoutMs\":-1"},
        {"\"timeoutMs\":1200", "\"timeoutMs\":1e99"},
        {"{\"service\":\"s1\",\"weight\":90}", "{\"service\":\"s9\",\"weight\":90}"},
        {"\"weight\":90", "\"weight\":-1"},
        {"\"host\":\"b.example\",\"ruleSet\":[{\"name\":\"r-2\",\"kind\":\"unsafe\",\"targetLatencyMs\":300,"
         "\"priority\":1,\"match\":{\"prefix\":\"/q/r/\"}",
         "\"host\":\"a.example\",\"ruleSet\":[{\"name\":\"r-2\",\"kind\":\"unsafe\",\"targetLatencyMs\":300,"
         "\"priority\":1,\"match\":{\"prefix\":\"/p/\"}"},
        {"\"listeners\":[", "\"listeners\":[7,"},
        {"\"clusters\":[", "\"clusters\":[{},"},
        {"\"limits\"", "\"bounds\""},
    };
    for (const auto &[from, to] : faults) {
        const auto read = platform::readConfiguration(replaced(ValidConfiguration, from, to));
        cr_assert(!read && read.error().code == Code::BadConfiguration, "%s", std::string(to).c_str());
        cr_assert(!read.error().detail.empty());
    }
    for (size_t n = 0; n < ValidConfiguration.size(); ++n) {
        cr_assert(!platform::readConfiguration(ValidConfiguration.substr(0, n)), "truncated to %zu bytes", n);
    }
}

Test(decode, decodes_a_worker_entry_into_a_target)
{
    const auto read = platform::readTarget("i-1", ValidWorker);
    cr_assert(read.has_value());
    cr_assert(read->id == "i-1" && read->service == "s1" && read->address == "10.128.0.9" && read->port == 8080);
    cr_assert(read->slots == 6 && !read->draining && read->startedAt == 1790000000000 && read->sequence == 4);
    cr_assert(read->coldLeft == std::chrono::milliseconds(1500));
    cr_assert(platform::readTarget("i-1", replaced(ValidWorker, "ready", "draining"))->draining);
}

Test(decode, rejects_a_worker_entry_with_any_error)
{
    const std::pair<std::string_view, std::string_view> faults[] = {
        {"\"s1\"", "null"},
        {":8080", ""},
        {":8080", ":99999"},
        {"10.128.0.9", "host"},
        {"\"ready\"", "\"odd\""},
        {"\"slots\":6", "\"slots\":0"},
        {"\"slots\":6", "\"slots\":\"6\""},
        {"\"seq\":4", "\"seq\":-4"},
        {"\"seq\":4", "\"seq\":18446744073709551615"},
        {"\"zone\":\"zh-a\",", ""},
        {"1790000000000", "1.5"},
    };
    for (const auto &[from, to] : faults) {
        cr_assert(!platform::readTarget("i-1", replaced(ValidWorker, from, to)), "%s", std::string(to).c_str());
    }
    cr_assert(!platform::readTarget("", ValidWorker));
}

Test(decode, random_corruption_never_crashes_the_decoders)
{
    std::mt19937 random(7);
    for (int n = 0; n < 20000; ++n) {
        std::string text(n % 2 == 0 ? ValidConfiguration : ValidWorker);
        for (int change = 0; change < 1 + n % 4; ++change) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        (void)platform::readConfiguration(text);
        (void)platform::readTarget("i-1", text);
    }
}
