// Start-time fair queueing; see fair_order.h.
#include "appletally/policy/fair_order.h"

#include <algorithm>

namespace appletally::policy {
namespace {

    // Limit of remembered callers. At 500 requests a second from as many callers that is two seconds of overload,
    // longer than any request waits; an evicted caller merely starts at the current virtual time again.
    constexpr size_t maxCallers = 1024;

    void evictFinished(FairOrder& it)
    {
        std::erase_if(it.finishTimes, [&](const auto& entry) { return entry.second <= it.virtualTime; });
        if (it.finishTimes.size() < maxCallers)
            return;
        for (const auto& [caller, end] : it.finishTimes)
            it.virtualTime = std::max(it.virtualTime, end);
        it.finishTimes.clear();
    }

} // namespace

double startTimeOf(const FairOrder& it, const base::CallerId& caller)
{
    const auto at = it.finishTimes.find(caller);
    return at == it.finishTimes.end() ? it.virtualTime : std::max(it.virtualTime, at->second);
}

void reserve(FairOrder& it, const base::CallerId& caller, double start, base::Duration run, double weight)
{
    if (it.finishTimes.size() >= maxCallers)
        evictFinished(it);
    it.finishTimes[caller] = start + static_cast<double>(run.ms) / weight;
}

void release(FairOrder& it, const base::CallerId& caller, double start, bool last)
{
    const auto at = it.finishTimes.find(caller);
    if (last && at != it.finishTimes.end())
        at->second = std::min(at->second, start);
}

void advance(FairOrder& it, double start) { it.virtualTime = std::max(it.virtualTime, start); }
void reset(FairOrder& it) { it.finishTimes.clear(); }

} // namespace appletally::policy
