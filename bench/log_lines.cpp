// What a line about a request costs: written, left out for its second's budget, and below the least severity. A request
// that goes to another host and is answered has three such lines, two at its caller's node and one at the upstream's.
//
// Use: log-lines >/dev/null; the figures go to standard error.
#include "appletally/base/log.h"

#include <chrono>
#include <cstdio>

using namespace appletally;

static double microsEach(int lines)
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
    const int budget = base::LogBudget {}.othersPerSecond;
    constexpr int beyond = 100'000;
    base::startLog("log-lines", "host", base::Severity::Info);
    std::fprintf(stderr, "written:  %.3f us a line\n", microsEach(budget));
    std::fprintf(stderr, "left out: %.3f us a line\n", microsEach(beyond));
    base::startLog("log-lines", "host", base::Severity::Error);
    std::fprintf(stderr, "off:      %.3f us a line\n", microsEach(beyond));
    return 0;
}
