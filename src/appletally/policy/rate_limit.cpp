// Refills by the time passed, up to a small burst.
#include "appletally/policy/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace appletally::policy {

namespace {

    // Only an answer tells that a limit has ended, so a request now and then goes also to an upstream that takes none.
    constexpr double minRequestRate = 0.5;
    constexpr double maxRequestRate = 1e6; // more than a node passes on
    constexpr double burstSeconds = 0.1; // of the rate, so that requests which come together are not all delayed

    double burst(const RateLimit& it) { return std::max(1.0, it.perSecond * burstSeconds); }

    double tokensAt(const RateLimit& it, base::Time now)
    {
        const double passed = static_cast<double>(std::max<int64_t>((now - it.refilledAt).ms, 0)) / 1000;
        return std::min(it.tokens + passed * it.perSecond, burst(it));
    }

    void refill(RateLimit& it, base::Time now)
    {
        it.tokens = tokensAt(it, now);
        it.refilledAt = now;
    }

} // namespace

RateLimit startRateLimit(double perSecond, base::Time now)
{
    return { std::clamp(perSecond, minRequestRate, maxRequestRate), 0, now };
}

void changeRate(RateLimit& it, double perSecond, base::Time now)
{
    refill(it, now);
    it.perSecond = std::clamp(perSecond, minRequestRate, maxRequestRate);
}

bool hasEnded(const RateLimit& it, base::Time now) { return it.until && now >= *it.until; }

bool mayTake(const RateLimit& it, base::Time now) { return hasEnded(it, now) || tokensAt(it, now) >= 1; }

void take(RateLimit& it, base::Time now)
{
    refill(it, now);
    it.tokens -= 1;
}

base::Duration waitFor(const RateLimit& it, double ahead, double part, base::Time now)
{
    const double seconds = std::max(0.0, ahead + 1 - tokensAt(it, now)) / (it.perSecond * part);
    const base::Duration byRate { static_cast<int64_t>(std::ceil(seconds * 1000)) };
    return it.until ? std::min(byRate, std::max(*it.until - now, base::Duration {})) : byRate;
}

} // namespace appletally::policy
