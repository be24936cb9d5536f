// Staggered tries; see source_race.h.
#include "appletally/policy/source_race.h"

#include <algorithm>
#include <numeric>

namespace appletally::policy {

namespace {

    constexpr base::Duration longestLook { 1000 }; // without any source; one may be named at any time

    size_t allTries(const SourceRace& it)
    {
        return std::accumulate(it.sources.begin(), it.sources.end(), size_t { 0 }, [](size_t sum, const RaceSource& each) { return sum + each.tries; });
    }

    bool allIsolated(const SourceRace& it)
    {
        return std::all_of(it.sources.begin(), it.sources.end(), [](const RaceSource& each) { return each.isolated; });
    }

    base::Time mayBegin(const SourceRace& race, const RaceSource& it)
    {
        const base::Time again = it.tries == 0 ? it.notBefore : std::max(it.notBefore, it.lastBegan + sameAgainAfter);
        return it.isolated && !allIsolated(race) ? std::max(again, race.searchBegan + lastResortAfter) : again;
    }

    // Not before the newest try under way, at whichever source, has had its time.
    base::Time staggered(const SourceRace& it, base::Time now)
    {
        for (const RaceSource& each : it.sources) {
            if (each.tries != 0)
                now = std::max(now, each.lastBegan + besideAfter);
        }
        return now;
    }

    // Whether `a` is to be tried before `b`; of equals, the one that has waited longer.
    bool goesFirst(const RaceSource& a, const RaceSource& b)
    {
        if (a.isolated != b.isolated)
            return b.isolated;
        if (a.tries == 0 || b.tries == 0)
            return a.tries == 0 && b.tries != 0;
        return a.lastBegan < b.lastBegan;
    }

} // namespace

void beginSearch(SourceRace& it, base::Time now)
{
    it.searchBegan = now;
    for (RaceSource& each : it.sources) {
        each.isolated = false;
        each.hasReservation = false;
    }
}

std::optional<size_t> startNextAttempt(SourceRace& it, base::Time now, uint64_t random)
{
    if (it.sources.empty() || allTries(it) >= mostTries || staggered(it, now) > now)
        return std::nullopt;
    std::optional<size_t> best;
    const size_t start = random % it.sources.size();
    for (size_t n = 0; n < it.sources.size(); ++n) {
        const size_t source = (start + n) % it.sources.size();
        if (mayBegin(it, it.sources[source]) <= now && (!best || goesFirst(it.sources[source], it.sources[*best])))
            best = source;
    }
    if (best) {
        ++it.sources[*best].tries;
        it.sources[*best].lastBegan = now;
    }
    return best;
}

base::Time nextAttemptAt(const SourceRace& it, base::Time now)
{
    base::Time earliest = now + longestLook;
    if (allTries(it) >= mostTries)
        return earliest;
    const base::Time next = staggered(it, now);
    for (const RaceSource& each : it.sources)
        earliest = std::min(earliest, std::max(mayBegin(it, each), next));
    return earliest;
}

void onAttemptFailed(SourceRace& it, size_t source, std::optional<SourceRejection> told, base::Time now, uint64_t random)
{
    RaceSource& each = it.sources[source];
    each.tries -= std::min<size_t>(each.tries, 1);
    each.hasReservation = told.has_value();
    each.isolated = told && told->isolated;
    const auto retryAfter = told ? std::optional(told->retryAfter) : std::nullopt;
    each.notBefore = now + waitAfterFailure(each.backoff, retryAfter, random);
}

void endRace(SourceRace& it)
{
    for (RaceSource& each : it.sources)
        each.tries = 0;
}

} // namespace appletally::policy
