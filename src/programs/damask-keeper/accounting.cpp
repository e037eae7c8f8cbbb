#include "accounting.h"

#include "settings/ini.h"

#include <cstdio>
#include <sys/resource.h>
#include <unistd.h>

namespace damask {

namespace {

double secondsOf(const timeval &time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

} // namespace

ProcessCost readProcessCost()
{
    ProcessCost cost;
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) == 0) {
        cost.processorSeconds = secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime);
    }
    const auto text = readFile("/proc/self/statm", 4096);
    unsigned long total = 0;
    unsigned long resident = 0;
    if (text && std::sscanf(text->c_str(), "%lu %lu", &total, &resident) == 2) { // NOLINT(cert-err34-c)
        cost.memoryBytes = static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
    }
    return cost;
}

void exportProcessCost(Metrics &metrics)
{
    const ProcessCost cost = readProcessCost();
    metrics.gauge("damask_process_cpu_seconds").Set(cost.processorSeconds);
    metrics.gauge("damask_process_resident_bytes").Set(cost.memoryBytes);
}

} // namespace damask
