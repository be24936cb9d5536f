// Moving estimates; see version_stats.h.
#include "appletally/policy/version_stats.h"

#include <algorithm>

namespace appletally::policy {

// About the last four answers count: an outage has to show before three answers of the new version have failed too.
constexpr double failureWeight = 0.25;
constexpr uint64_t minAnswers = 20; // with fewer, the old version's results are unknown
constexpr uint64_t minAnswersSinceFailure = 5; // answers of the old version since the new one began to fail; by then `failureWeight` shows an outage as 76%
constexpr double medianStep = 0.05; // relative step; balanced where half of the answers are longer
constexpr double minMs = 1; // resolution of the clock

void observe(VersionStats& it, bool failed, base::Duration run, uint64_t other)
{
    const double ms = std::max(static_cast<double>(run.ms), minMs);
    it.failures += ((failed ? 1.0 : 0.0) - it.failures) * failureWeight;
    it.medianMs = it.answers == 0 ? ms : std::max(minMs, it.medianMs * (ms > it.medianMs ? 1 + medianStep : 1 - medianStep));
    if (failed && !it.failing)
        it.otherAnswersBefore = other;
    it.failing = failed;
    ++it.answers;
}

std::optional<CallerBaseline> baselineOf(const VersionStats& old, const VersionStats& fresh)
{
    if (old.answers < minAnswers || (fresh.failing && old.answers - fresh.otherAnswersBefore < minAnswersSinceFailure))
        return std::nullopt;
    return CallerBaseline { old.failures, old.medianMs };
}

} // namespace appletally::policy
