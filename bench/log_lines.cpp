// Measures the cost of a log line about a request: when written, when dropped because the budget of its second is used
// up, and when below the minimum severity. A request that is answered by another host causes three such lines, two at
// the caller's node and one at the upstream's node.
//
// Usage: log-lines >/dev/null. The figures go to standard error.
#include "appletally/base/log.h"

#include <chrono>
#include <cstdio>

using namespace appletally;

static double microsPerLine(int lines)
{
    const auto start = std::chrono::steady_clock::now();
    for (int n = 0; n < lines; ++n) {
        base::logRequest(base::Event::RequestSent, "9a16d1b7a54e8268",
            { { "route", "r-jbj8eev" }, { "service", "yevo67a" }, { "upstream", "sidecar-plovdiv-a-2" }, { "version", "v1" }, { "try", 1 }, { "left_ms", 692 },
                { "in_flight", 5 }, { "running", 6 }, { "waiting", 5 }, { "slots", 6 }, { "load_age_ms", 4 }, { "config_version", 2 } });
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / lines;
}

int main()
{
    const int linesInBudget = base::LogBudget {}.othersPerSecond;
    constexpr int droppedLines = 100'000;
    base::startLog("log-lines", "host", base::Severity::Info);
    std::fprintf(stderr, "written:  %.3f us per line\n", microsPerLine(linesInBudget));
    std::fprintf(stderr, "dropped:  %.3f us per line\n", microsPerLine(droppedLines));
    base::startLog("log-lines", "host", base::Severity::Error);
    std::fprintf(stderr, "disabled: %.3f us per line\n", microsPerLine(droppedLines));
    return 0;
}
