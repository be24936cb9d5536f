// What the upstream can take now: slots, the part of them for long jobs, a rate, and the moving means of their use.
#include "appletally/policy/admission_parts.h"

#include <algorithm>
#include <cmath>

namespace appletally::policy {

using Class = Admission::Class;
using Waiting = Admission::Waiting;

namespace {

    // A job ten times as long as the usual request (20 ms). One such job costs those behind it as much as ten others.
    constexpr base::Duration minLongRun { 200 };

    constexpr double longJobShare = 0.3; // of the slots, while short requests arrive: 3 of 10, 2 of 6
    constexpr base::Duration averagingWindow { 500 }; // of the moving means; half a second of 10 slots is 250 usual runs
    constexpr base::Duration startsWindow { 2000 }; // of the mean of starts; a rate of a few a second shows in no less

} // namespace

size_t classOf(const Admission& it, const Arrival& arrival)
{
    return it.options.classes ? static_cast<size_t>(arrival.priority) : 0;
}

int waitingCount(const Admission& it)
{
    size_t count = 0;
    for (const Class& each : it.classes)
        count += each.queue.size();
    return static_cast<int>(count);
}

bool isLong(base::Duration run) { return run >= minLongRun; }

int longRunning(const Admission& it)
{
    const auto count = std::count_if(it.running.begin(), it.running.end(), [](const auto& entry) { return entry.second.isLong; });
    return static_cast<int>(count);
}

// The number of slots that long jobs may hold now. While no short requests arrive they may hold all but those kept
// free for one that might.
int longSlots(const Admission& it, base::Time now)
{
    const int limit = it.slots.limit;
    if (!it.options.limitLongJobs)
        return limit;
    const int part = std::max(1, static_cast<int>(std::ceil(limit * longJobShare)));
    const bool shortsCome = now - it.lastShortArrival < shortRequestMemory;
    return shortsCome ? part : std::max(1, limit - part);
}

bool slotFree(const Admission& it, base::Duration run, base::Time now)
{
    if (it.suspended || (it.rate && !mayTake(*it.rate, now)))
        return false;
    if (static_cast<int>(it.running.size()) >= it.slots.limit)
        return false;
    return !isLong(run) || longRunning(it) < longSlots(it, now);
}

// Slots that runs of this length can keep in use.
double usableSlots(const Admission& it, base::Duration run)
{
    const double slots = it.slots.limit;
    return it.rate ? std::min(slots, it.rate->perSecond * static_cast<double>(run.ms) / 1000) : slots;
}

// Updates the moving means and the minimum share deficits.
void updateAverages(Admission& it, base::Time now)
{
    const auto passed = static_cast<double>((now - it.accountedUntil).ms);
    if (passed <= 0)
        return;
    it.accountedUntil = now;
    std::array<double, config::priorityCount> held {};
    for (const auto& [id, running] : it.running)
        held[classOf(it, running.arrival)] += 1;
    const double weight = 1 - std::exp(-passed / static_cast<double>(averagingWindow.ms));
    const double startsKept = std::exp(-passed / static_cast<double>(startsWindow.ms));
    for (size_t n = 0; n < it.classes.size(); ++n) {
        Class& each = it.classes[n];
        each.recentSlots += (held[n] - each.recentSlots) * weight;
        each.recentOvertaking -= each.recentOvertaking * weight;
        each.recentStarts *= startsKept;
        if (each.queue.empty())
            each.minShareDeficit = 0;
        else
            each.minShareDeficit = std::min(each.minShareDeficit + passed * minShare * usableSlots(it, each.queue.front().run), static_cast<double>(each.queue.front().run.ms));
    }
}

void countOvertaking(Class& it, base::Duration run) { it.recentOvertaking += static_cast<double>(run.ms) / static_cast<double>(averagingWindow.ms); }

void countStart(Class& it) { it.recentStarts += 1000.0 / static_cast<double>(startsWindow.ms); }

} // namespace appletally::policy
