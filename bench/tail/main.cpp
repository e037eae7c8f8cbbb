/// Measures tail latency of each policy in each scenario, in virtual time. Prints JSON lines.
#include "tail/driver.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <docopt.h>
#include <map>
#include <sstream>

namespace {

using namespace damask;
using namespace damask::bench;

constexpr char Usage[] = R"(Tail latency of the pick policies against fake targets in virtual time.

Usage:
  bench-tail [--policy=LIST] [--scenario=LIST] [--load=LIST] [--deployment=LIST] [--seed=N] [--repeats=N]
             [--seconds=N]
  bench-tail --measuring [--scenario=LIST] [--load=LIST] [--deployment=LIST] [--seed=N] [--repeats=N]
             [--seconds=N]
  bench-tail --overload [--deployment=LIST] [--seed=N] [--repeats=N] [--seconds=N]
  bench-tail --help

Options:
  --policy=LIST      Policies [default: damask,oracle,round-robin,random,least-in-flight,power-of-two,hot-cold,join-idle-queue].
  --scenario=LIST    quiet, noisy, stale, lying, slow10, failfast, draining [default: noisy].
  --load=LIST        Percent of the targets' capacity [default: 80].
  --deployment=LIST  tanzcafe, condor [default: tanzcafe].
  --seed=N           Random seed of the first repeat; each later one adds 1 [default: 1].
  --repeats=N        Interleaved runs of each combination [default: 3].
  --seconds=N        Virtual seconds measured in each run [default: 4].
  --measuring        Probe bytes and probes per entry and tail latency, for several budgets.
  --overload         Ratio of useful answers at three times capacity to those at capacity.
)";

using Arguments = std::map<std::string, docopt::value>;

std::vector<std::string> listOf(const Arguments &arguments, const char *name)
{
    std::vector<std::string> out;
    std::istringstream in(arguments.at(name).asString());
    for (std::string it; std::getline(in, it, ',');) {
        out.push_back(it);
    }
    return out;
}

const Deployment *deploymentNamed(std::string_view name)
{
    const auto all = deployments();
    const auto it = std::find_if(all.begin(), all.end(), [name](const Deployment &n) { return n.name == name; });
    return it == all.end() ? nullptr : &*it;
}

/// Median, minimum and maximum over the repeats.
struct Spread {
    double low = 0;
    double median = 0;
    double high = 0;
};

Spread spreadOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {values.front(), values[values.size() / 2], values.back()};
}

struct Labels {
    std::string policy;
    std::string scenario;
    std::string load;
    std::string deployment;
};

void print(const Labels &labels, const char *figure, const char *unit, const Spread &spread)
{
    std::printf("{\"case\":\"tail\",\"figure\":\"%s\",\"unit\":\"%s\",\"value\":%.4g,\"low\":%.4g,\"high\":%.4g,"
                "\"policy\":\"%s\",\"scenario\":\"%s\",\"load\":%s,\"deployment\":\"%s\"}\n",
                figure, unit, spread.median, spread.low, spread.high, labels.policy.c_str(), labels.scenario.c_str(),
                labels.load.c_str(), labels.deployment.c_str());
    std::fflush(stdout);
}

RunOptions optionsFor(const Labels &labels, const Arguments &arguments, uint64_t repeat)
{
    RunOptions options;
    options.policy = labels.policy;
    options.scenario = labels.scenario;
    options.load = std::stod(labels.load);
    options.deployment = *deploymentNamed(labels.deployment);
    options.seed = static_cast<uint64_t>(arguments.at("--seed").asLong()) + repeat;
    options.length = std::chrono::seconds(arguments.at("--seconds").asLong());
    return options;
}

/// Results of one policy, one value per repeat.
struct Figures {
    std::vector<double> p50;
    std::vector<double> p99;
    std::vector<double> p999;
    std::vector<double> useful;
};

void printRatio(const Labels &labels, const char *figure, const Figures &ours, const Figures &other)
{
    std::vector<double> ratios;
    for (size_t n = 0; n < ours.p99.size(); ++n) {
        ratios.push_back(ours.p99[n] / other.p99[n]);
    }
    print(labels, figure, "ratio", spreadOf(ratios));
}

void measurePoint(Labels labels, std::span<const std::string> policies, const Arguments &arguments)
{
    std::map<std::string, Figures> figures;
    for (long repeat = 0; repeat < arguments.at("--repeats").asLong(); ++repeat) {
        for (const std::string &it : policies) {
            labels.policy = it;
            const RunResult result = run(optionsFor(labels, arguments, static_cast<uint64_t>(repeat)));
            Figures &n = figures[it];
            n.p50.push_back(percentile(result.latencies, 0.5));
            n.p99.push_back(percentile(result.latencies, 0.99));
            n.p999.push_back(percentile(result.latencies, 0.999));
            n.useful.push_back(static_cast<double>(result.useful)
                               / static_cast<double>(std::max<uint64_t>(1, result.calls)));
        }
    }
    for (const std::string &it : policies) {
        labels.policy = it;
        const Figures &n = figures[it];
        print(labels, "p50", "ms", spreadOf(n.p50));
        print(labels, "p99", "ms", spreadOf(n.p99));
        print(labels, "p999", "ms", spreadOf(n.p999));
        print(labels, "answered", "share", spreadOf(n.useful));
    }
    labels.policy = "damask";
    const auto ours = figures.find("damask");
    if (ours != figures.end() && figures.count("oracle") > 0) {
        printRatio(labels, "p99_over_oracle", ours->second, figures["oracle"]);
    }
    if (ours != figures.end() && figures.count("round-robin") > 0) {
        printRatio(labels, "p99_over_round_robin", ours->second, figures["round-robin"]);
    }
}

void measureOverload(const Arguments &arguments)
{
    for (const std::string &deployment : listOf(arguments, "--deployment")) {
        std::vector<double> ratios;
        Labels labels{"damask", "noisy", "100", deployment};
        for (long repeat = 0; repeat < arguments.at("--repeats").asLong(); ++repeat) {
            labels.load = "100";
            const RunResult capacity = run(optionsFor(labels, arguments, static_cast<uint64_t>(repeat)));
            labels.load = "300";
            const RunResult overload = run(optionsFor(labels, arguments, static_cast<uint64_t>(repeat)));
            ratios.push_back(static_cast<double>(overload.useful) / static_cast<double>(capacity.useful));
        }
        const Spread n = spreadOf(ratios);
        std::printf("{\"case\":\"overload\",\"figure\":\"useful_ratio\",\"unit\":\"ratio\",\"value\":%.4g,\"low\":%.4g,"
                    "\"high\":%.4g,\"deployment\":\"%s\"}\n",
                    n.median, n.low, n.high, deployment.c_str());
    }
}

constexpr std::array ProbeBudgets{0.0, 5.0, 20.0, 80.0, 320.0}; // probes per second, per entry and service
constexpr double BytesOfProbe = 256;
constexpr double EntryServices = 15 * 3; // probe budgets in a run, one per entry and service

void printMeasuring(const Labels &labels, double budget, const char *figure, const char *unit, const Spread &spread)
{
    std::printf("{\"case\":\"measuring\",\"figure\":\"%s\",\"unit\":\"%s\",\"value\":%.4g,\"low\":%.4g,\"high\":%.4g,"
                "\"budget\":%.4g,\"scenario\":\"%s\",\"load\":%s,\"deployment\":\"%s\"}\n",
                figure, unit, spread.median, spread.low, spread.high, budget * BytesOfProbe, labels.scenario.c_str(),
                labels.load.c_str(), labels.deployment.c_str());
}

void measureBudgets(const Labels &labels, const Arguments &arguments)
{
    std::map<double, std::array<std::vector<double>, 4>> figures;
    for (long repeat = 0; repeat < arguments.at("--repeats").asLong(); ++repeat) {
        for (const double it : ProbeBudgets) {
            RunOptions options = optionsFor(labels, arguments, static_cast<uint64_t>(repeat));
            options.probesPerSecond = it;
            options.probeBytesPerSecond = it * BytesOfProbe;
            const RunResult result = run(options);
            const double seconds = toSeconds(options.warmUp + options.length) * EntryServices;
            figures[it][0].push_back(result.probeBytes / seconds);
            figures[it][1].push_back(static_cast<double>(result.probes) / seconds);
            figures[it][2].push_back(std::max(0.0, result.overBudget));
            figures[it][3].push_back(percentile(result.latencies, 0.99));
        }
    }
    for (const auto &[budget, n] : figures) {
        printMeasuring(labels, budget, "bytes", "B/s", spreadOf(n[0]));
        printMeasuring(labels, budget, "probes", "1/s", spreadOf(n[1]));
        printMeasuring(labels, budget, "over_budget", "B", spreadOf(n[2]));
        printMeasuring(labels, budget, "p99", "ms", spreadOf(n[3]));
    }
}

bool checkArguments(const Arguments &arguments)
{
    for (const std::string &it : listOf(arguments, "--deployment")) {
        if (deploymentNamed(it) == nullptr) {
            std::fprintf(stderr, "no such deployment: %s\n", it.c_str());
            return false;
        }
    }
    const auto all = scenarios();
    for (const std::string &it : listOf(arguments, "--scenario")) {
        if (std::find(all.begin(), all.end(), it) == all.end()) {
            std::fprintf(stderr, "no such scenario: %s\n", it.c_str());
            return false;
        }
    }
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true);
    if (!checkArguments(arguments)) {
        return 2;
    }
    if (arguments.at("--overload").asBool()) {
        measureOverload(arguments);
        return 0;
    }
    const std::vector<std::string> policies = listOf(arguments, "--policy");
    for (const std::string &deployment : listOf(arguments, "--deployment")) {
        for (const std::string &scenario : listOf(arguments, "--scenario")) {
            for (const std::string &load : listOf(arguments, "--load")) {
                if (arguments.at("--measuring").asBool()) {
                    measureBudgets({"damask", scenario, load, deployment}, arguments);
                } else {
                    measurePoint({"", scenario, load, deployment}, policies, arguments);
                }
            }
        }
    }
    return 0;
}
