// Moving estimates; see version_stats.h.
#include "appletally/policy/version_stats.h"

#include <algorithm>

namespace appletally::policy {

// The last four answers or so count: an outage has to show before three answers of the new version have failed too.
constexpr double weight = 0.25;
constexpr uint64_t leastAnswers = 20; // below it nothing is known about the old version
constexpr uint64_t leastSince = 5; // of the old one since the new one began to fail; by then `weight` shows an outage as 76%
constexpr double medianStep = 0.05; // in balance where half the answers are longer
constexpr double leastMs = 1; // a clock in milliseconds sees no less

void observe(VersionStats& it, bool failed, base::Duration run, uint64_t other)
{
    const double ms = std::max(static_cast<double>(run.ms), leastMs);
    it.failures += ((failed ? 1.0 : 0.0) - it.failures) * weight;
    it.medianMs = it.answers == 0 ? ms : std::max(leastMs, it.medianMs * (ms > it.medianMs ? 1 + medianStep : 1 - medianStep));
    if (failed && !it.failing)
        it.othersBefore = other;
    it.failing = failed;
    ++it.answers;
}

std::optional<CallerBaseline> baselineOf(const VersionStats& old, const VersionStats& fresh)
{
    if (old.answers < leastAnswers || (fresh.failing && old.answers - fresh.othersBefore < leastSince))
        return std::nullopt;
    return CallerBaseline { old.failures, old.medianMs };
}

} // namespace appletally::policy
