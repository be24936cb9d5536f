// Back-off of clients and places at the source; see reconnect.h.
#include "appletally/policy/reconnect.h"

#include <algorithm>

namespace appletally::policy {
namespace {

    constexpr base::Duration firstBackoff { 100 }; // a lost connection comes back within this where nothing is wrong
    // A source that is back is found by all within this. A node that was cut off serves an old version until then, and
    // operators are told after two seconds that the new one is in force everywhere within reach. 2,500 nodes that try once
    // a second are 180 refused connections a second at each of 14 sources, which the kernel answers.
    constexpr base::Duration longestBackoff { 1000 };
    // Where all start again control needs longer than a node. One that has no version yet asks often, or it would serve nobody
    // for up to a second after control is there. A refused connection costs a source's host next to nothing.
    constexpr base::Duration longestUrgent { 100 };
    constexpr int mostDoublings = 4;

    // Places are given out at nine tenths of the rate: what is left lets in those who come late for their place.
    constexpr double promisedShare = 0.9;

    // 2500 nodes at 50 a second need 56 s. Later places would outlive what the source knows about its own rate.
    constexpr base::Duration horizon { 60'000 };

    constexpr double msPerSecond = 1000;

    void refill(ReconnectGate& it, base::Time now)
    {
        const auto passed = static_cast<double>((now - it.countedTo).ms);
        it.countedTo = std::max(it.countedTo, now);
        it.tokens = std::min<double>(it.burst, it.tokens + std::max(passed, 0.0) * it.perSecond / msPerSecond);
    }

    base::Duration nextPlace(ReconnectGate& it, base::Time now, uint64_t random)
    {
        const auto spacing = static_cast<int64_t>(msPerSecond / (it.perSecond * promisedShare)) + 1;
        it.promisedTo = std::max(it.promisedTo, now) + base::Duration { spacing };
        if (it.promisedTo - now <= horizon)
            return it.promisedTo - now;
        it.promisedTo = now + horizon;
        return horizon / 2 + base::Duration { static_cast<int64_t>(random % static_cast<uint64_t>(horizon.ms / 2)) };
    }

} // namespace

base::Duration waitAfterFailure(Backoff& it, std::optional<base::Duration> told, uint64_t random)
{
    if (told) { // a source that answers is no failure, and it has spread its places by itself
        it.failures = 0;
        return *told;
    }
    const base::Duration most = std::min(it.urgent ? longestUrgent : longestBackoff, firstBackoff * (int64_t { 1 } << std::min(it.failures, mostDoublings)));
    ++it.failures;
    return { 1 + static_cast<int64_t>(random % static_cast<uint64_t>(most.ms)) };
}

void resetBackoff(Backoff& it) { it.failures = 0; }

ReconnectDecision admitReconnect(ReconnectGate& it, bool hasReservation, base::Time now, uint64_t random)
{
    refill(it, now);
    const bool othersFirst = !hasReservation && it.promisedTo > now;
    if (othersFirst || it.tokens < 1)
        return { false, nextPlace(it, now, random) };
    it.tokens -= 1;
    return { true, {} };
}

} // namespace appletally::policy
