#include "process_usage.h"

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

ProcessUsage readProcessUsage()
{
    ProcessUsage out;
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) == 0) {
        out.processorSeconds = secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime);
    }
    const auto text = readFile("/proc/self/statm", 4096);
    unsigned long total = 0;
    unsigned long resident = 0;
    if (text && std::sscanf(text->c_str(), "%lu %lu", &total, &resident) == 2) { // NOLINT(cert-err34-c)
        out.memoryBytes = static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
    }
    return out;
}

void exportProcessUsage(Metrics &metrics)
{
    const ProcessUsage usage = readProcessUsage();
    metrics.gauge("damask_process_cpu_seconds").Set(usage.processorSeconds);
    metrics.gauge("damask_process_resident_bytes").Set(usage.memoryBytes);
}

} // namespace damask
