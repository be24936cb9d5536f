// Staggered connection attempts; see source_race.h.
#include "appletally/policy/source_race.h"

#include <algorithm>
#include <numeric>

namespace appletally::policy {

namespace {

    constexpr base::Duration maxCheckInterval { 1000 }; // without any source; one may be added at any time

    size_t totalAttempts(const SourceRace& it)
    {
        return std::accumulate(it.sources.begin(), it.sources.end(), size_t { 0 }, [](size_t sum, const RaceSource& each) { return sum + each.attempts; });
    }

    bool allIsolated(const SourceRace& it)
    {
        return std::all_of(it.sources.begin(), it.sources.end(), [](const RaceSource& each) { return each.isolated; });
    }

    base::Time earliestAttemptAt(const SourceRace& race, const RaceSource& it)
    {
        const base::Time again = it.attempts == 0 ? it.notBefore : std::max(it.notBefore, it.lastStartedAt + sameSourceDelay);
        return it.isolated && !allIsolated(race) ? std::max(again, race.searchStartedAt + isolatedSourceDelay) : again;
    }

    // The earliest time at which the latest attempt at any source has had its head start.
    base::Time staggeredTime(const SourceRace& it, base::Time now)
    {
        for (const RaceSource& each : it.sources) {
            if (each.attempts != 0)
                now = std::max(now, each.lastStartedAt + staggerDelay);
        }
        return now;
    }

    // Whether `a` comes before `b`; if otherwise equal, the one with the older last attempt.
    bool precedes(const RaceSource& a, const RaceSource& b)
    {
        if (a.isolated != b.isolated)
            return b.isolated;
        if (a.attempts == 0 || b.attempts == 0)
            return a.attempts == 0 && b.attempts != 0;
        return a.lastStartedAt < b.lastStartedAt;
    }

} // namespace

void beginSearch(SourceRace& it, base::Time now)
{
    it.searchStartedAt = now;
    for (RaceSource& each : it.sources) {
        each.isolated = false;
        each.hasReservation = false;
    }
}

std::optional<size_t> startNextAttempt(SourceRace& it, base::Time now, uint64_t random)
{
    if (it.sources.empty() || totalAttempts(it) >= maxConcurrentAttempts || staggeredTime(it, now) > now)
        return std::nullopt;
    std::optional<size_t> best;
    const size_t start = random % it.sources.size();
    for (size_t n = 0; n < it.sources.size(); ++n) {
        const size_t source = (start + n) % it.sources.size();
        if (earliestAttemptAt(it, it.sources[source]) <= now && (!best || precedes(it.sources[source], it.sources[*best])))
            best = source;
    }
    if (best) {
        ++it.sources[*best].attempts;
        it.sources[*best].lastStartedAt = now;
    }
    return best;
}

base::Time nextAttemptAt(const SourceRace& it, base::Time now)
{
    base::Time earliest = now + maxCheckInterval;
    if (totalAttempts(it) >= maxConcurrentAttempts)
        return earliest;
    const base::Time next = staggeredTime(it, now);
    for (const RaceSource& each : it.sources)
        earliest = std::min(earliest, std::max(earliestAttemptAt(it, each), next));
    return earliest;
}

void onAttemptFailed(SourceRace& it, size_t source, std::optional<SourceRejection> rejection, base::Time now, uint64_t random)
{
    RaceSource& each = it.sources[source];
    each.attempts -= std::min<size_t>(each.attempts, 1);
    each.hasReservation = rejection.has_value();
    each.isolated = rejection && rejection->isolated;
    const auto retryAfter = rejection ? std::optional(rejection->retryAfter) : std::nullopt;
    each.notBefore = now + waitAfterFailure(each.backoff, retryAfter, random);
}

void endRace(SourceRace& it)
{
    for (RaceSource& each : it.sources)
        each.attempts = 0;
}

} // namespace appletally::policy
