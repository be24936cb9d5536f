// Latency quantile, budget and delay of hedged requests; see hedge.h.
#include "appletally/policy/hedge.h"

#include <algorithm>
#include <cmath>

namespace appletally::policy {
namespace {

    // 3 in 100 reads are candidates, clearly fewer than the budget of 5% allows: at 5 in 100 the budget ran out, and a
    // fifth of the slow reads got no copy.
    constexpr double quantile = 0.97;
    constexpr double step = 0.1; // of the estimate; it follows a doubled latency within about ten late answers
    constexpr int minAnswers = 30; // with fewer, 97 of 100 means nothing
    constexpr double minMs = 1;

    constexpr int64_t maxTokens = 5 * wholeToken; // idle time must not save up for a hundred copies at once

} // namespace

// Rises by much at each later answer, falls by little at each other one: in balance where 3% are later.
void observe(LatencyEstimate& it, base::Duration took)
{
    const auto ms = std::max(static_cast<double>(took.ms), minMs);
    it.answers = std::min(it.answers + 1, minAnswers);
    if (it.ms == 0)
        it.ms = ms;
    it.ms *= 1 + step * (ms > it.ms ? quantile : quantile - 1);
    it.ms = std::max(it.ms, minMs);
}

std::optional<base::Duration> usualLatency(const LatencyEstimate& it)
{
    return it.answers > 0 ? std::optional(base::Duration { static_cast<int64_t>(std::ceil(it.ms)) }) : std::nullopt;
}

void accrue(HedgeBudget& it, base::Time now)
{
    advance(it.tokens, now);
    earn(it.tokens, it.perFirstAttempt.value, maxTokens);
}

std::optional<base::Duration> hedgeDelay(bool idempotent, const LatencyEstimate& estimate, base::Time deadline, base::Time now)
{
    if (!idempotent || estimate.answers < minAnswers)
        return std::nullopt;
    const base::Duration after = *usualLatency(estimate);
    if (now + after * 2 > deadline) // the copy could hardly answer in time either
        return std::nullopt;
    return after;
}

bool acquireHedge(HedgeBudget& it, RetryBudget& retries, base::Time now, uint64_t random)
{
    advance(it.tokens, now);
    return takeToken(it.tokens, random) && takeToken(retries, now, random >> 32);
}

} // namespace appletally::policy
