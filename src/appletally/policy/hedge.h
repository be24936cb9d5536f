// Hedging: a second copy of an idempotent read whose answer is later than nearly all others; the first whole answer
// wins and the other copy is cancelled.
//
// Load pattern: an upstream that is well but now and then takes fifty times as long (a pause of its runtime, a cold page).
// Without it a caller that makes seven such calls meets one of them often. The trap is overload: there every answer is
// late, and hedges would double the load; hence the budget, and the quantile that moves with the latency.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

#include <optional>

namespace appletally::policy {

// A moving estimate of the time within which 97 of 100 answers of a route come. One per route and node.
struct LatencyEstimate {
    double ms = 0; // 0: no answer yet
    int answers = 0; // counted up to what an estimate needs
};

// Each good answer of a first try, and each first try that was cancelled since its copy won, with the time until then:
// without those, the slowest would be missing and the estimate would sink until every read is hedged.
void observe(LatencyEstimate&, base::Duration took);

// Tokens in thousandths: each first try earns `perFirstTry`, each hedge costs 1000. One per service and node.
struct HedgeBudget {
    base::PerMille perFirstAttempt { 50 };
    int64_t tokens = 0; // invariant: 0 <= tokens <= the bucket's size
};
void accrue(HedgeBudget&); // at each first try

// After which time without an answer a copy goes out; none: never for this request.
std::optional<base::Duration> hedgeDelay(bool idempotent, const LatencyEstimate&, base::Time deadline, base::Time now);
bool acquireHedge(HedgeBudget&); // at that time; false: the budget is spent, no copy

} // namespace appletally::policy
