#include "back/load_report.h"

#include <nlohmann/json.hpp>

namespace damask {

namespace {

constexpr int64_t MaxReported = 1'000'000; // requests or slots; larger values are malformed

bool readCount(const nlohmann::json &report, const char *name, int &out)
{
    const auto it = report.find(name);
    if (it == report.end() || !it->is_number_integer()) {
        return false;
    }
    const auto n = it->get<int64_t>();
    if (n < 0 || n > MaxReported) {
        return false;
    }
    out = static_cast<int>(n);
    return true;
}

} // namespace

Result<LoadReport> parseLoadReport(std::string_view json)
{
    const auto report = nlohmann::json::parse(json, nullptr, false);
    if (!report.is_object()) {
        return fail(Code::BadAnswer, "the load report is not a JSON object");
    }
    LoadReport out;
    if (!readCount(report, "inFlight", out.inFlight)) {
        return fail(Code::BadAnswer, "inFlight of the load report is not an integer in range");
    }
    if (!readCount(report, "slots", out.slots)) {
        return fail(Code::BadAnswer, "slots of the load report is not an integer in range");
    }
    const auto draining = report.find("draining");
    if (draining != report.end() && !draining->is_boolean()) {
        return fail(Code::BadAnswer, "draining of the load report is not true or false");
    }
    out.draining = draining != report.end() && draining->get<bool>();
    return out;
}

} // namespace damask
