// Which source of configuration a client without one tries next, and when beside a try that is still under way.
//
// Load pattern: a source stalls, and its clients look for others while callers' answers crowd their links. A connect waits
// behind those answers for hundreds of milliseconds. Given up for the next one after a fixed time it never succeeds, and
// the client serves an old version for as long as its link is crowded. Waited for, it costs a second wherever a source had
// no power when it was asked. So a slow try goes on, and others begin beside it, at other sources first and then at the
// same ones; whichever connects first is taken.
#pragma once

#include "appletally/base/ids.h"
#include "appletally/policy/reconnect.h"

#include <optional>
#include <vector>

namespace appletally::policy {

// A host that is up answers a connect in one round trip between regions, however busy its process is.
constexpr base::Duration besideAfter { 150 };

// The same for a further try at a source that has one under way.
constexpr base::Duration sameAgainAfter { 300 };

// Connects are answered by the kernel and cost their source next to nothing.
constexpr size_t mostTries = 8;

struct RaceSource {
    Backoff backoff;
    base::Time notBefore;
    bool promised = false; // it named the moment notBefore itself
    size_t tries = 0; // under way
    base::Time lastBegan; // meaningless without tries
};

struct SourceRace {
    std::vector<RaceSource> sources;
};

// A source to try now, counted as being tried: one without a try, else the one whose last try is oldest. Among several
// without one any, so that a herd spreads. Empty: none yet, see nextLook.
std::optional<size_t> nextTry(SourceRace&, base::Time now, uint64_t random);

// When to ask again, unless a try ends before.
base::Time nextLook(const SourceRace&, base::Time now);

// A try, or the link that came of one, failed. `told`: the source said when to come back.
void tryFailed(SourceRace&, size_t source, std::optional<base::Duration> told, base::Time now, uint64_t random);

// A try won; the others are dropped and count as no failures.
void endRace(SourceRace&);

} // namespace appletally::policy
