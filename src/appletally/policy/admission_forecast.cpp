// How long a request would wait behind the work that starts before it.
#include "appletally/policy/admission_parts.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace appletally::policy {

using Class = Admission::Class;
using Waiting = Admission::Waiting;

namespace {

    // Factor on the recent slots of higher classes and on recent overtaking when a new request's wait is estimated.
    // This load comes in bursts; estimated by its mean, some reads are refused only after half of their callers' time.
    constexpr double surgeMargin = 1.5;

    constexpr double minUsableSlots = 0.01; // keeps estimates finite at the lowest rates

} // namespace

Forecast forecastFor(const Admission& it, base::Time now)
{
    Forecast forecast;
    const int heldByLong = std::min(longRunning(it), it.slots.limit - 1);
    forecast.slots = it.slots.limit - heldByLong;
    forecast.longSlots = longSlots(it, now);
    double left = 0;
    for (const auto& [id, running] : it.running)
        left += static_cast<double>(usualRun(it.runs, running.arrival.route, running.arrival.expected).ms);
    if (static_cast<int>(it.running.size()) >= it.slots.limit)
        forecast.untilSlotFree = left / static_cast<double>(it.running.size() * it.running.size());
    return forecast;
}

// Milliseconds until a request of class `n` starts after the work in the forecast. It starts at the rate that
// higher classes leave or by its minimum share, whichever is sooner.
double estimatedWait(const Admission& it, const Forecast& forecast, size_t n, base::Duration run, base::Time now)
{
    const double left = forecast.slots - forecast.higherClassSlots;
    double wait = forecast.untilSlotFree + (left > 0.5 ? forecast.workAhead / left : std::numeric_limits<double>::max() / 4);
    if (n > 0) {
        const double minShareDeficit = forecast.aheadInClass + static_cast<double>(run.ms) - it.classes[n].minShareDeficit;
        wait = std::min(wait, forecast.untilSlotFree + std::max(0.0, minShareDeficit) / (minShare * std::max(usableSlots(it, run), minUsableSlots)));
    }
    if (isLong(run))
        wait = std::max(wait, forecast.longAhead / forecast.longSlots);
    if (it.rate)
        wait = std::max(wait, static_cast<double>(waitFor(*it.rate, forecast.requestsAhead, std::max(1 - forecast.higherClassRate / it.rate->perSecond, minShare), now).ms));
    return wait;
}

void addWork(Forecast& forecast, base::Duration run)
{
    const auto work = static_cast<double>(run.ms);
    forecast.workAhead += work;
    forecast.aheadInClass += work;
    forecast.requestsAhead += 1;
    if (isLong(run))
        forecast.longAhead += work;
}

void enterClass(const Admission& it, Forecast& forecast, size_t n)
{
    forecast.aheadInClass = 0;
    if (n == 0)
        return;
    forecast.higherClassSlots += it.classes[n - 1].recentSlots;
    forecast.higherClassRate += it.classes[n - 1].recentStarts;
}

base::Duration rounded(double ms)
{
    return { static_cast<int64_t>(std::min(std::ceil(ms), static_cast<double>(std::numeric_limits<int32_t>::max()))) };
}

// Whether the request can meet its target if it starts now. A request without a target always can.
bool isTimely(const Admission& it, const Waiting& waiting, base::Time now)
{
    return !it.options.prioritizeTimely || !waiting.arrival.targetDeadline || now + waiting.run <= *waiting.arrival.targetDeadline;
}

// Queue positions in starting order.
std::vector<size_t> startOrder(const Admission& it, const Class& each, base::Time now)
{
    std::vector<size_t> out;
    out.reserve(each.queue.size());
    for (const bool timely : { true, false }) {
        for (size_t place = 0; place < each.queue.size(); ++place)
            if (isTimely(it, each.queue[place], now) == timely)
                out.push_back(place);
    }
    return out;
}

// The number of requests of its class that start before a new one inserted at `place`.
size_t countAheadOf(const Admission& it, const Class& each, const Waiting& fresh, size_t place, base::Time now)
{
    const bool timely = isTimely(it, fresh, now);
    size_t workAhead = 0;
    for (size_t at = 0; at < each.queue.size(); ++at) {
        const bool other = isTimely(it, each.queue[at], now);
        workAhead += (other == timely ? at < place : other) ? 1 : 0;
    }
    return workAhead;
}

// Estimated wait of a new request with this many of its class ahead. At the end of a queue in which others keep
// overtaking, where a hot caller's requests are, work that will be queued ahead of it counts as well; otherwise it
// would be admitted only to be refused late.
base::Duration waitFor(const Admission& it, size_t of, size_t workAhead, base::Duration run, base::Time now)
{
    Forecast forecast = forecastFor(it, now);
    for (size_t n = 0; n <= of; ++n) {
        enterClass(it, forecast, n);
        const std::vector<Waiting>& queue = it.classes[n].queue;
        const std::vector<size_t> order = startOrder(it, it.classes[n], now);
        const size_t end = n == of ? workAhead : order.size();
        for (size_t at = 0; at < end; ++at)
            addWork(forecast, queue[order[at]].run);
    }
    const Class& each = it.classes[of];
    if (workAhead == each.queue.size())
        forecast.higherClassSlots += each.recentOvertaking;
    forecast.higherClassSlots *= surgeMargin;
    forecast.higherClassRate *= surgeMargin;
    return rounded(estimatedWait(it, forecast, of, run, now));
}

} // namespace appletally::policy
