// Which source of configuration a client without one tries next, and when beside a try that is still under way.
//
// Load pattern: a source stalls, and its clients look for others while callers' answers crowd their links. A connect waits
// behind those answers for hundreds of milliseconds. Given up for the next one after a fixed time it never succeeds, and
// the client serves an old version for as long as its link is crowded. Waited for, it costs a second wherever a source had
// no power when it was asked. So a slow try goes on, and others begin beside it, at other sources first and then at the
// same ones; whichever connects first is taken.
//
// A source that has lost most other control processes is reachable, quick, and behind. It sends its clients away and has
// to take back those that find nothing better, so it is tried last: a client that goes back to it as soon as it may, while
// it is still being turned away elsewhere, keeps an old version for as long as the cut lasts.
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

// While other sources may still be tried, an isolated one waits this long: enough for several of them over a crowded link.
constexpr base::Duration lastResortAfter { 2000 };

// What a source said that took no client.
struct SourceRejection {
    base::Duration retryAfter;
    bool isolated = false; // it has lost most other control processes
};

struct RaceSource {
    Backoff backoff;
    base::Time notBefore;
    bool hasReservation = false; // it named the moment notBefore itself
    bool isolated = false; // said so in this search
    size_t tries = 0; // under way
    base::Time lastBegan; // meaningless without tries
};

struct SourceRace {
    std::vector<RaceSource> sources;
    base::Time searchBegan;
};

// The client has no source any more, or none yet. What sources said before is old news.
void beginSearch(SourceRace&, base::Time now);

// A source to try now, counted as being tried: one without a try, else the one whose last try is oldest, isolated ones
// last. Among several without one any, so that a herd spreads. Empty: none yet, see nextLook.
std::optional<size_t> startNextAttempt(SourceRace&, base::Time now, uint64_t random);

// When to ask again, unless a try ends before.
base::Time nextAttemptAt(const SourceRace&, base::Time now);

// A try, or the link that came of one, failed. `told`: the source answered, and said when to come back.
void onAttemptFailed(SourceRace&, size_t source, std::optional<SourceRejection> told, base::Time now, uint64_t random);

// A try won; the others are dropped and count as no failures.
void endRace(SourceRace&);

} // namespace appletally::policy
