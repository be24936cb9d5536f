// Queue of one upstream: what waits, starts and is displaced; see admission.h for the rules.
#include "appletally/policy/admission_parts.h"

#include <algorithm>
#include <optional>

namespace appletally::policy {
namespace {

    using Class = Admission::Class;
    using Waiting = Admission::Waiting;

    // Limit of waiting requests in one class: twice the connections that one upstream accepts, 0.4 s of usual runs at
    // 10 slots. It bounds the node's memory and the cost of walking the queue. Each class has its own limit, or a queue
    // full of reads would block every archive.
    constexpr size_t maxWaiting = 200;

    // Weight of another service, in usual callers: it sends requests for many people, but must not starve them.
    constexpr double internalWeight = 4;

    constexpr base::Duration idleTickInterval { 1000 };

    base::PerMille slowStartProgressAt(const Admission& it, base::Time now)
    {
        const int64_t passed = std::clamp<int64_t>((now - it.readySince).ms, 0, slowStart.ms);
        return { static_cast<int32_t>(passed * 1000 / slowStart.ms) };
    }

    std::optional<size_t> startable(const Admission& it, const Class& each, base::Time now)
    {
        for (const size_t place : startOrder(it, each, now))
            if (slotFree(it, each.queue[place].run, now))
                return place;
        return std::nullopt;
    }

    struct Next {
        size_t classIndex;
        size_t place;
    };

    // The lowest class whose deficit covers a whole run goes first, then the classes in order of priority.
    std::optional<Next> nextToStart(const Admission& it, base::Time now)
    {
        for (size_t n = it.classes.size(); n-- > 1;) {
            const Class& each = it.classes[n];
            const std::optional<size_t> place = startable(it, each, now);
            if (place && each.minShareDeficit >= static_cast<double>(each.queue[*place].run.ms))
                return Next { n, *place };
        }
        for (size_t n = 0; n < it.classes.size(); ++n)
            if (const std::optional<size_t> place = startable(it, it.classes[n], now))
                return Next { n, *place };
        return std::nullopt;
    }

    void run(Admission& it, Class& each, const Waiting& waiting, base::Time now)
    {
        advance(each.order, waiting.start);
        each.minShareDeficit = std::max(0.0, each.minShareDeficit - static_cast<double>(waiting.run.ms));
        countStart(each);
        if (it.rate)
            take(*it.rate, now);
        it.running[waiting.arrival.id] = { waiting.arrival, now, isLong(waiting.run), false };
    }

    AdmissionChanges startWaiting(Admission& it, base::Time now)
    {
        AdmissionChanges changes;
        changes.refused = refuseInfeasible(it, now);
        while (const std::optional<Next> next = nextToStart(it, now)) {
            Class& each = it.classes[next->classIndex];
            const Waiting waiting = each.queue[next->place];
            each.queue.erase(each.queue.begin() + static_cast<std::ptrdiff_t>(next->place));
            run(it, each, waiting, now);
            if (each.queue.empty())
                reset(each.order);
            changes.start.push_back(waiting.arrival.id);
        }
        return changes;
    }

    size_t insertPositionOf(const Class& each, double start)
    {
        const auto behind = std::upper_bound(each.queue.begin(), each.queue.end(), start,
            [](double value, const Waiting& other) { return value < other.start; });
        return static_cast<size_t>(behind - each.queue.begin());
    }

    bool hasTrial(const Admission& it, const base::RouteName& route)
    {
        return std::any_of(it.running.begin(), it.running.end(),
            [&](const auto& entry) { return entry.second.isTrial && entry.second.arrival.route == route; });
    }

    // If recent runs are too long for this caller, one request at a time is admitted on the configured run time all the
    // same. If a route were always refused, its run time would never be observed again and its estimate would never
    // recover from a hang.
    bool trialDue(const Admission& it, const Arrival& arrival, base::Duration seen, base::Time now)
    {
        const bool seenTooLong = now + seen > arrival.deadline;
        const bool expectedFits = now + arrival.expected <= arrival.deadline;
        return seenTooLong && expectedFits && !hasTrial(it, arrival.route) && slotFree(it, arrival.expected, now);
    }

    void observeRun(Admission& it, const Admission::Running& ended, base::Duration ran)
    {
        const bool unloaded = static_cast<int>(it.running.size()) * 2 <= it.slots.announced;
        const base::RouteName& route = ended.arrival.route;
        addRun(it.runs, route, ended.arrival.expected, ran, unloaded);
        if (ended.isTrial)
            discardSlowRuns(it.runs, route, ended.arrival.expected, ran);
        for (Class& each : it.classes)
            for (Waiting& waiting : each.queue)
                if (waiting.arrival.route == route)
                    waiting.run = usualRun(it.runs, route, waiting.arrival.expected);
    }

    void observeLimit(Admission& it, const Admission::Running& ended, RunEnd end, base::Duration ran)
    {
        if (!it.options.adaptiveLimit)
            return;
        const int together = static_cast<int>(it.running.size());
        if (end == RunEnd::Shed)
            onShed(it.slots, together);
        if (end == RunEnd::Good)
            onGoodAnswer(it.slots, slowdown(it.runs, ended.arrival.route, ran), together >= it.slots.limit);
    }

} // namespace

Decision offer(Admission& it, const Arrival& arrival, base::Time now)
{
    if (it.draining)
        return { AdmissionAction::Refuse, { arrival.id, base::Code::Draining, {} }, {} };
    updateAverages(it, now);
    const base::Duration seen = usualRun(it.runs, arrival.route, arrival.expected);
    const bool isTrial = trialDue(it, arrival, seen, now);
    Waiting fresh { arrival, isTrial ? arrival.expected : seen, 0 };
    if (!isLong(fresh.run))
        it.lastShortArrival = now;
    if (now + fresh.run > arrival.deadline)
        return { AdmissionAction::Refuse, { arrival.id, base::Code::DeadlineTooNear, {} }, {} };

    const size_t of = classOf(it, arrival);
    Class& each = it.classes[of];
    if (it.options.fairness)
        fresh.start = startTimeOf(each.order, arrival.caller);
    const double weight = arrival.internal ? internalWeight : 1;
    if (slotFree(it, fresh.run, now) && !nextToStart(it, now)) {
        run(it, each, fresh, now);
        it.running[arrival.id].isTrial = isTrial;
        return {};
    }
    const size_t place = insertPositionOf(each, fresh.start);
    const size_t workAhead = countAheadOf(it, each, fresh, place, now);
    const base::Duration wait = waitFor(it, of, workAhead, fresh.run, now);
    const base::Duration allowed = allowedWait(arrival, fresh.run, now);
    if (wait > allowed)
        return { AdmissionAction::Refuse, refuse(it, fresh, wait, allowed, now), {} };
    std::vector<Refusal> displaced;
    if (each.queue.size() >= maxWaiting) {
        const std::optional<Refusal> last = displaceLast(it, each, fresh.start, now);
        if (!last)
            return { AdmissionAction::Refuse, refuse(it, fresh, wait, allowed, now), {} };
        displaced.push_back(*last);
    }
    if (workAhead < each.queue.size())
        countOvertaking(each, fresh.run);
    reserve(each.order, arrival.caller, fresh.start, fresh.run, weight);
    each.queue.insert(each.queue.begin() + static_cast<std::ptrdiff_t>(place), fresh);
    const std::vector<Refusal> infeasible = refuseInfeasible(it, now);
    displaced.insert(displaced.end(), infeasible.begin(), infeasible.end());
    return { AdmissionAction::Wait, {}, displaced };
}

AdmissionChanges finished(Admission& it, RequestId id, RunEnd end, base::Duration ran, base::Time now)
{
    updateAverages(it, now);
    const auto at = it.running.find(id);
    if (at == it.running.end())
        return startWaiting(it, now);
    if (end == RunEnd::Good || end == RunEnd::Failed)
        observeRun(it, at->second, ran);
    observeLimit(it, at->second, end, ran);
    it.running.erase(at);
    return startWaiting(it, now);
}

AdmissionChanges cancel(Admission& it, RequestId id, base::Time now)
{
    updateAverages(it, now);
    const auto at = it.running.find(id);
    if (at != it.running.end()) {
        // Callers give up on the slowest; leaving these out would make a slow upstream look fast.
        const base::Duration ran = now - at->second.since;
        if (ran > usualRun(it.runs, at->second.arrival.route, at->second.arrival.expected))
            observeRun(it, at->second, ran);
        it.running.erase(at);
        return startWaiting(it, now);
    }
    for (Class& each : it.classes)
        for (size_t place = 0; place < each.queue.size(); ++place)
            if (each.queue[place].arrival.id == id) {
                removeWaiting(each, place);
                return startWaiting(it, now);
            }
    return startWaiting(it, now);
}

AdmissionChanges tick(Admission& it, base::Time now)
{
    updateAverages(it, now);
    return startWaiting(it, now);
}

base::Time nextTick(const Admission& it, base::Time now)
{
    base::Time next = now + idleTickInterval;
    if (it.rate && waitingCount(it) > 0)
        next = std::min(next, now + waitFor(*it.rate, 0, 1, now));
    if (it.lastShortArrival + shortRequestMemory > now) // then long jobs may use more slots
        next = std::min(next, it.lastShortArrival + shortRequestMemory);
    for (const Class& each : it.classes)
        for (const Waiting& waiting : each.queue)
            next = std::min(next, waiting.arrival.deadline - waiting.run + base::Duration { 1 });
    return std::max(next, now + base::Duration { 1 });
}

void upstreamStarted(Admission& it, base::Time now)
{
    it.runs.clear();
    it.slots = { it.slots.announced, it.slots.announced };
    it.readySince = now;
    it.rate.reset();
}

AdmissionChanges setSlots(Admission& it, int announced, base::Time now)
{
    updateAverages(it, now);
    setAnnounced(it.slots, announced);
    return startWaiting(it, now);
}

AdmissionChanges setRate(Admission& it, std::optional<double> perSecond, base::Time now, std::optional<base::Time> until)
{
    updateAverages(it, now);
    if (!perSecond)
        it.rate.reset();
    else if (it.rate)
        changeRate(*it.rate, *perSecond, now);
    else
        it.rate = startRateLimit(*perSecond, now);
    if (it.rate)
        it.rate->until = until;
    return startWaiting(it, now);
}

AdmissionChanges drain(Admission& it, base::Time now)
{
    it.draining = true;
    return tick(it, now);
}

Load load(const Admission& it, base::Time now)
{
    constexpr base::Duration shortRun { 1 };
    const size_t of = it.options.classes ? static_cast<size_t>(config::Priority::Read) : 0;
    base::Duration wait;
    if (!slotFree(it, shortRun, now))
        wait = waitFor(it, of, it.classes[of].queue.size(), shortRun, now);
    // Callers' nodes go by slots, and a rate keeps fewer of them in use.
    const int slots = std::max(1, static_cast<int>(usableSlots(it, meanRun(it.runs))));
    Load out { static_cast<int>(it.running.size()), waitingCount(it), slots, it.draining, wait, slowStartProgressAt(it, now) };
    if (it.rate && !hasEnded(*it.rate, now)) {
        out.perSecond = it.rate->perSecond;
        out.rateLasts = it.rate->until ? *it.rate->until - now : unknownRateEnd;
    }
    return out;
}

} // namespace appletally::policy
