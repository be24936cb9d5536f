// Hedged requests: a second copy of an idempotent read whose answer is later than nearly all others. The first complete
// answer wins and the other copy is cancelled.
//
// Load pattern: a healthy upstream that now and then takes fifty times as long (a pause of its runtime, a page fault).
// Without it a caller that makes seven such calls often meets one of them. Under overload every answer is late, and
// hedges would double the load; hence the budget, and a quantile that follows the latency.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

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

// Tokens in thousandths: each first attempt earns `perFirstAttempt`, each hedge costs 1000. One per service and node.
struct HedgeBudget {
    base::PerMille perFirstAttempt { 50 };
    int64_t tokens = 0; // invariant: 0 <= tokens <= the bucket's size
};
void accrue(HedgeBudget&); // at each first attempt

// Time without an answer after which a copy is sent; none: this request is never hedged.
std::optional<base::Duration> hedgeDelay(bool idempotent, const LatencyEstimate&, base::Time deadline, base::Time now);
bool acquireHedge(HedgeBudget&); // at that time; false: the budget is spent, no copy

} // namespace appletally::policy
