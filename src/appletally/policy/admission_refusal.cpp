// Who is refused, and when a refused request may return.
#include "appletally/policy/admission_parts.h"

#include <algorithm>

namespace appletally::policy {

using Class = Admission::Class;
using Waiting = Admission::Waiting;

namespace {

    constexpr base::Duration minRetryAfter { 20 };
    constexpr base::Duration maxRetryAfter { 15'000 }; // estimates further ahead mean nothing

    // Slot time reserved for the retry of each refused request, in its own run times. Retries thus get a third of the
    // slots: new requests need half of them, as planned for, and a full queue drains slowly.
    constexpr int64_t runsPerRetry = 3;

    // The latest retry time, as a part of the time until the run must begin: the rest is for the network and for
    // waiting for a slot.
    constexpr double retryDelayShare = 0.8;

    // The part of its remaining time that a request may plan to wait. Estimates are means over few runs, so a queue
    // that planned with all of it would refuse late, or answer late, whenever runs turn out longer.
    constexpr double maxWaitShare = 0.35;

    // Retry delay of a refused request: when a slot is expected to be free, and after the retries assigned before it.
    // Without that second part all requests that a burst refused would return together as the next burst.
    base::Duration scheduleRetry(Admission& it, const Waiting& refused, base::Duration wait, base::Duration allowed, base::Time now)
    {
        const base::Time room = now + std::max(wait - allowed, minRetryAfter);
        const base::Duration bySlots { std::max<int64_t>(1, runsPerRetry * refused.run.ms / it.slots.limit) };
        base::Duration each = bySlots;
        if (it.rate && !hasEnded(*it.rate, it.retriesScheduledUntil))
            each = std::max(each, base::Duration { static_cast<int64_t>(static_cast<double>(runsPerRetry) * 1000 / it.rate->perSecond) });
        base::Time next = it.retriesScheduledUntil + each;
        if (it.rate && it.rate->until && next > *it.rate->until) // after its end slots alone bound the requests
            next = std::max(*it.rate->until, it.retriesScheduledUntil + bySlots);
        it.retriesScheduledUntil = std::max(next, room);
        if (it.retriesScheduledUntil - now > maxRetryAfter) // continue in the second half: still spread, still bounded
            it.retriesScheduledUntil = std::max(room, now + maxRetryAfter / 2);
        return std::min(it.retriesScheduledUntil - now, maxRetryAfter);
    }

    // If a slot is expected only after the caller's deadline, the retry comes while the target latency can still be
    // met: a slot may be free by chance, and a later answer is of little value. Such retries are spread over the second
    // half of that time, or all requests that a burst refused would return together.
    base::Duration retryAfterFor(const Admission& it, const Waiting& refused, base::Duration scheduled, base::Time now)
    {
        const bool roomInTime = now + scheduled + refused.run <= refused.arrival.deadline;
        if (!it.options.retryWithinTarget || !refused.arrival.targetDeadline || roomInTime)
            return scheduled;
        const base::Duration slack = *refused.arrival.targetDeadline - now - refused.run;
        const auto latest = static_cast<int64_t>(static_cast<double>(slack.ms) * retryDelayShare);
        if (latest < 2 * minRetryAfter.ms)
            return scheduled;
        return { latest / 2 + scheduled.ms % (latest / 2) };
    }

    bool hasWaiting(const Class& each, const base::CallerId& caller)
    {
        return std::any_of(each.queue.begin(), each.queue.end(), [&](const Waiting& other) { return other.arrival.caller == caller; });
    }

} // namespace

Refusal refuse(Admission& it, const Waiting& waiting, base::Duration wait, base::Duration allowed, base::Time now)
{
    const base::Duration scheduled = scheduleRetry(it, waiting, wait, allowed, now);
    return { waiting.arrival.id, base::Code::Overloaded, retryAfterFor(it, waiting, scheduled, now) };
}

// Removes a request that will not run.
void removeWaiting(Class& each, size_t place)
{
    const Waiting gone = each.queue[place];
    each.queue.erase(each.queue.begin() + static_cast<std::ptrdiff_t>(place));
    release(each.order, gone.arrival.caller, gone.start, !hasWaiting(each, gone.arrival.caller));
    if (each.queue.empty())
        reset(each.order);
}

// Refuses all requests whose forecast start is too late for their deadline. If they waited on, their callers would
// learn of the refusal too late to do anything else.
std::vector<Refusal> refuseInfeasible(Admission& it, base::Time now)
{
    std::vector<Refusal> refused;
    Forecast forecast = forecastFor(it, now);
    for (size_t n = 0; n < it.classes.size(); ++n) {
        enterClass(it, forecast, n);
        Class& each = it.classes[n];
        std::vector<size_t> infeasible;
        for (const size_t place : startOrder(it, each, now)) {
            const Waiting& waiting = each.queue[place];
            const base::Duration wait = rounded(estimatedWait(it, forecast, n, waiting.run, now));
            const base::Duration slack = waiting.arrival.deadline - now - waiting.run;
            if (wait <= slack) {
                addWork(forecast, waiting.run);
                continue;
            }
            refused.push_back(refuse(it, waiting, wait, slack, now));
            infeasible.push_back(place);
        }
        std::sort(infeasible.rbegin(), infeasible.rend());
        for (const size_t place : infeasible)
            removeWaiting(each, place);
    }
    return refused;
}

// Makes room in a full class for a request that goes before its last one; none if the new request itself would be
// last.
std::optional<Refusal> displaceLast(Admission& it, Class& each, double start, base::Time now)
{
    if (each.queue.back().start <= start)
        return std::nullopt;
    const Waiting last = each.queue.back();
    removeWaiting(each, each.queue.size() - 1);
    return refuse(it, last, {}, {}, now);
}

// The time that a new request may plan to wait. One that can still meet its target waits no longer than that
// allows: under overload others behind it can still be in time, and a late answer is of little value.
base::Duration allowedWait(const Arrival& arrival, base::Duration run, base::Time now)
{
    const base::Duration allowed { static_cast<int64_t>(static_cast<double>((arrival.deadline - now - run).ms) * maxWaitShare) };
    if (!arrival.targetDeadline)
        return allowed;
    const base::Duration inTime = *arrival.targetDeadline - now - run;
    return inTime >= base::Duration {} ? std::min(allowed, inTime) : allowed;
}

} // namespace appletally::policy
