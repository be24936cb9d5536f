// Back-off of clients and reservations of the source; see reconnect.h.
#include "appletally/policy/reconnect.h"

#include <algorithm>

namespace appletally::policy {
namespace {

    constexpr base::Duration initialBackoff { 100 }; // a lost connection is restored within this if nothing else is wrong
    // All clients find a recovered source within this time. A disconnected node serves an old version until then, and
    // after two seconds operators are notified that the new version is applied at every reachable node. 2,500 nodes
    // that retry once a second cause 180 refused connections a second at each of 14 sources, which the kernel handles.
    constexpr base::Duration maxBackoff { 1000 };
    // After a common restart control needs longer than a node. A node without a version retries often; otherwise it
    // could not serve requests for up to a second after control is available. A refused connection costs the source's
    // host next to nothing.
    constexpr base::Duration maxUrgentBackoff { 100 };
    constexpr int maxDoublings = 4;

    // Slots are reserved at nine tenths of the rate; the rest admits clients that arrive late for their slot.
    constexpr double reservedShare = 0.9;

    // 2500 nodes at 50 a second need 56 s. The source's own rate may have changed by the time of later slots.
    constexpr base::Duration maxReservation { 60'000 };

    constexpr double msPerSecond = 1000;

    void refill(ReconnectGate& it, base::Time now)
    {
        const auto passed = static_cast<double>((now - it.refilledAt).ms);
        it.refilledAt = std::max(it.refilledAt, now);
        it.tokens = std::min<double>(it.burst, it.tokens + std::max(passed, 0.0) * it.perSecond / msPerSecond);
    }

    base::Duration reserveSlot(ReconnectGate& it, base::Time now, uint64_t random)
    {
        const auto spacing = static_cast<int64_t>(msPerSecond / (it.perSecond * reservedShare)) + 1;
        it.reservedUntil = std::max(it.reservedUntil, now) + base::Duration { spacing };
        if (it.reservedUntil - now <= maxReservation)
            return it.reservedUntil - now;
        it.reservedUntil = now + maxReservation;
        return maxReservation / 2 + base::Duration { static_cast<int64_t>(random % static_cast<uint64_t>(maxReservation.ms / 2)) };
    }

} // namespace

base::Duration waitAfterFailure(Backoff& it, std::optional<base::Duration> retryAfter, uint64_t random)
{
    if (retryAfter) { // an answer is not a failure, and the source has already spread its slots
        it.failures = 0;
        return *retryAfter;
    }
    const base::Duration limit = std::min(it.urgent ? maxUrgentBackoff : maxBackoff, initialBackoff * (int64_t { 1 } << std::min(it.failures, maxDoublings)));
    ++it.failures;
    return { 1 + static_cast<int64_t>(random % static_cast<uint64_t>(limit.ms)) };
}

void resetBackoff(Backoff& it) { it.failures = 0; }

ReconnectDecision admitReconnect(ReconnectGate& it, bool hasReservation, base::Time now, uint64_t random)
{
    refill(it, now);
    const bool reservedFirst = !hasReservation && it.reservedUntil > now;
    if (reservedFirst || it.tokens < 1)
        return { false, reserveSlot(it, now, random) };
    it.tokens -= 1;
    return { true, {} };
}

} // namespace appletally::policy
