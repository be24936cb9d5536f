// Reconnecting after a herd has died: who may come to the source when, and how clients come back.
//
// Load pattern: a rack, a zone or the source itself dies and comes back, and hundreds of nodes connect and ask for the
// whole configuration in the same moment; the source has outages of its own in the middle of it. Without it the source
// is asked for more than it can give, answers nobody in time, and is asked again by all of them: it stays down.
//
// Two halves. The client waits by exponential back-off with full jitter, unless the source told it when to come. The
// source lets in as many a second as it said that it can serve, and gives each other one a place of its own in the time
// to come. Who comes at its place is let in before those who come for the first time.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

#include <optional>

namespace appletally::policy {

// A client's side: one for each source that it knows.
struct Backoff {
    int failures = 0; // in a row
    bool urgent = false; // the client has no version and serves nobody until a source answers
};

// How long to wait before the next try, after a failure (nothing told) or a refusal that said "come back in N ms".
base::Duration waitAfterFailure(Backoff&, std::optional<base::Duration> told, uint64_t random);
void resetBackoff(Backoff&);

// The source's side. Plain state, forgotten when the source restarts; its clients then come by their own back-off, or at
// the places that they were given before, which still bind nobody to let them in.
struct ReconnectGate {
    int perSecond = 50; // that the source can serve; at least 1
    int burst = 10; // that it can take at one moment; at least 1
    double tokens = 0; // invariant: at most `burst`, so in any time t at most burst + perSecond * t are let in
    base::Time countedTo;
    base::Time promisedTo; // places are given out up to here
};

struct ReconnectDecision {
    bool admitted = false;
    base::Duration retryAfter {}; // if not let in: come then, with `promised`
};

// `promised`: the client was told to come now. `random` only matters beyond the horizon of places.
ReconnectDecision admitReconnect(ReconnectGate&, bool hasReservation, base::Time now, uint64_t random);

} // namespace appletally::policy
