// Hedged requests: a second copy of an idempotent read whose answer is later than nearly all others. The first complete
// answer wins and the other copy is cancelled.
//
// Load pattern: a healthy upstream that now and then takes fifty times as long (a pause of its runtime, a page fault).
// Without it a caller that makes seven such calls often meets one of them. Under overload every answer is late, and
// hedges would double the load; hence a budget of their own within that of the service's retries, and a quantile that
// follows the latency.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"
#include "appletally/policy/retry.h"
#include "appletally/policy/token_window.h"

#include <optional>

namespace appletally::policy {

// Moving estimate of the time within which 97 of 100 answers of a route arrive. One per route and node.
struct LatencyEstimate {
    double ms = 0; // 0: no answer yet
    int answers = 0; // counted up to the minimum for an estimate
};

// Call for each good answer to a first attempt, and for each first attempt that was cancelled because its copy won,
// with the time until then. Without the latter the slowest would be missing and the estimate would fall until every
// read is hedged.
void observe(LatencyEstimate&, base::Duration took);

// The estimate, rough below 30 answers; none without one.
std::optional<base::Duration> usualLatency(const LatencyEstimate&);

// One per service and node. Each first attempt earns `perFirstAttempt`, each hedge costs a token.
struct HedgeBudget {
    base::PerMille perFirstAttempt { 50 };
    TokenWindow tokens {};
};
void accrue(HedgeBudget&, base::Time now); // at each first attempt

// Time without an answer after which a copy is sent; none: this request is never hedged.
std::optional<base::Duration> hedgeDelay(bool idempotent, const LatencyEstimate&, base::Time deadline, base::Time now);

// At that time. False: a budget is spent, no copy is sent. A copy is a repeat, so it also costs a token of the retries.
bool acquireHedge(HedgeBudget&, RetryBudget&, base::Time now, uint64_t random);

} // namespace appletally::policy
