// Selects the configuration source that a client without one connects to next, and when to start another attempt beside
// one in progress.
//
// Load pattern: a source stalls, and its clients look for others while answers to callers fill their links. A connect
// waits behind those answers for hundreds of milliseconds. With a fixed timeout before the next source it never
// succeeds, and the client serves an old version for as long as its link is congested. Waiting for each connect instead
// costs a second wherever a source's host was without power at the first packet. So a slow attempt continues, and
// others start beside it, at other sources first and then at the same ones; the first to connect wins.
//
// A source that has lost most other control processes is reachable, fast, and behind. It rejects its clients and has to
// accept those that find nothing better, so it comes last: a client that returns to it as soon as possible, while other
// sources still reject it, keeps an old version for the duration of the partition.
#pragma once

#include "appletally/base/ids.h"
#include "appletally/policy/reconnect.h"

#include <optional>
#include <vector>

namespace appletally::policy {

// A host that is up answers a connect within one round trip between regions, however busy its process is.
constexpr base::Duration staggerDelay { 150 };

// The same for another attempt at a source that has one in progress.
constexpr base::Duration sameSourceDelay { 300 };

// The kernel answers connects, at almost no cost to the source.
constexpr size_t maxConcurrentAttempts = 8;

// While other sources may still be tried, an isolated one waits this long: enough for several attempts over a congested
// link.
constexpr base::Duration isolatedSourceDelay { 2000 };

// The answer of a source that rejected a client.
struct SourceRejection {
    base::Duration retryAfter;
    bool isolated = false; // it has lost most other control processes
};

struct RaceSource {
    Backoff backoff;
    base::Time notBefore;
    bool hasReservation = false; // the source itself set notBefore
    bool isolated = false; // reported by the source during this search
    size_t attempts = 0; // in progress
    base::Time lastStartedAt; // meaningless without attempts
};

struct SourceRace {
    std::vector<RaceSource> sources;
    base::Time searchStartedAt;
};

// The client has no source. Discards what sources reported before.
void beginSearch(SourceRace&, base::Time now);

// Returns a source to connect to now and counts an attempt in progress: one without an attempt, else the one with the
// oldest last attempt, isolated ones last. Among several without one the choice is random, so that many clients spread
// over the sources. Empty: none yet, see nextAttemptAt().
std::optional<size_t> startNextAttempt(SourceRace&, base::Time now, uint64_t random);

// When to call startNextAttempt() again, unless an attempt ends before.
base::Time nextAttemptAt(const SourceRace&, base::Time now);

// An attempt, or the link it established, failed. `rejection`: the source answered, and named a time to retry.
void onAttemptFailed(SourceRace&, size_t source, std::optional<SourceRejection> rejection, base::Time now, uint64_t random);

// An attempt won; the others are dropped and do not count as failures.
void endRace(SourceRace&);

} // namespace appletally::policy
