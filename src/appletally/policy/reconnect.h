// Reconnecting after an outage: when clients retry, and which of them a source admits.
//
// Load pattern: a rack, a zone or the source itself fails and returns, and hundreds of nodes connect and request the
// whole configuration at the same moment (a thundering herd); the source may have further outages meanwhile. Without
// this the source receives more requests than it can serve, answers none in time, gets all of them again, and stays
// overloaded.
//
// Two parts. The client waits by exponential back-off with full jitter, unless the source named a time to retry. The
// source admits as many clients per second as it can serve, and reserves a separate time slot for each other one.
// Clients that return in their slot are admitted before those that connect for the first time.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

#include <optional>

namespace appletally::policy {

// Client side: one for each known source.
struct Backoff {
    int failures = 0; // consecutive
    bool urgent = false; // the client has no version yet and cannot serve requests until a source answers
};

// Returns how long to wait before the next attempt, after a failure or after a rejection with a time to retry.
base::Duration waitAfterFailure(Backoff&, std::optional<base::Duration> retryAfter, uint64_t random);
void resetBackoff(Backoff&);

// Source side. Not persistent: a restarted source has no reservations, and its clients return by their own back-off or
// in the slots reserved before, which no longer guarantee admission.
struct ReconnectGate {
    int perSecond = 50; // admissions that the source can serve; at least 1
    int burst = 10; // admissions at one moment; at least 1
    double tokens = 0; // invariant: at most `burst`, so that in any time t at most burst + perSecond * t are admitted
    base::Time refilledAt;
    base::Time reservedUntil; // slots up to this time are reserved
};

struct ReconnectDecision {
    bool admitted = false;
    base::Duration retryAfter {}; // if not admitted: retry after this, with `hasReservation`
};

// `hasReservation`: a slot was reserved for the client at this time. `random` is used only beyond the maximum
// reservation.
ReconnectDecision admitReconnect(ReconnectGate&, bool hasReservation, base::Time now, uint64_t random);

} // namespace appletally::policy
