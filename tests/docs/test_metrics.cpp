#include "settings/ini.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <set>
#include <string>

using namespace damask;

namespace {

const std::string Root = DAMASK_SOURCE_DIR;

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || c == '_';
}

/// Metric names in a text: the prefix damask_ and at least two words.
std::set<std::string> metricNames(const std::string &text)
{
    const std::string prefix = "damask_";
    std::set<std::string> names;
    for (size_t at = text.find(prefix); at != std::string::npos; at = text.find(prefix, at + 1)) {
        size_t end = at;
        while (end < text.size() && isNameCharacter(text[end])) {
            ++end;
        }
        const std::string name = text.substr(at, end - at);
        if (name.find('_', prefix.size()) != std::string::npos) {
            names.insert(name);
        }
    }
    return names;
}

std::set<std::string> exportedNames()
{
    std::set<std::string> names;
    for (const auto &it : std::filesystem::recursive_directory_iterator(Root + "/src")) {
        if (it.path().extension() == ".cpp") {
            names.merge(metricNames(readFile(it.path().string()).value()));
        }
    }
    return names;
}

} // namespace

Test(docs, metrics_page_lists_exactly_the_exported_metrics)
{
    const std::set<std::string> exported = exportedNames();
    const std::set<std::string> listed = metricNames(readFile(Root + "/docs/operate/metrics.md").value());
    cr_assert(exported.size() > 10);
    for (const std::string &it : exported) {
        cr_assert(listed.contains(it), "docs/operate/metrics.md lacks %s", it.c_str());
    }
    for (const std::string &it : listed) {
        cr_assert(exported.contains(it), "docs/operate/metrics.md lists %s, which no program exports", it.c_str());
    }
}

Test(docs, alerts_and_dashboard_use_exported_metrics_only)
{
    const std::set<std::string> exported = exportedNames();
    for (const char *page : {"/docs/operate/alerts.yml", "/docs/operate/dashboard.json"}) {
        const std::set<std::string> used = metricNames(readFile(Root + page).value());
        cr_assert(used.size() > 5);
        for (const std::string &it : used) {
            cr_assert(exported.contains(it), "%s uses %s, which no program exports", page, it.c_str());
        }
    }
}
