// Trials of a lower or higher limit, evaluated by throughput; see concurrency_limit.h.
#include "appletally/policy/concurrency_limit.h"

#include <algorithm>

namespace appletally::policy {
namespace {

    // The mean of 80 runs that vary by their own mean is within 11%, and a trial changes the limit by two fifths; at 10
    // slots of 20 ms a window is a sixth of a second.
    constexpr int answersPerWindow = 80;
    constexpr double minSlowdownForTrial = 1.5; // a smaller slowdown is not worth a trial
    constexpr double maxNormalSlowdown = 1.2; // at or below this the limit may rise by one
    constexpr double trialLimitRatio = 0.6;
    constexpr double minThroughputRatio = 0.95; // of the throughput before the trial: less counts as a loss
    constexpr int maxHoldWindows = 64;

    void beginWindow(ConcurrencyLimit& it)
    {
        it.answers = 0;
        it.slowdownSum = 0;
    }

    void startTrial(ConcurrencyLimit& it, int limit, double slowdownNow)
    {
        it.inTrial = true;
        it.limitBeforeTrial = it.limit;
        it.slowdownBeforeTrial = slowdownNow;
        it.limit = limit;
        it.answersToSkip = it.limitBeforeTrial;
    }

    void holdAfterFailure(ConcurrencyLimit& it)
    {
        it.holdWindowsLeft = it.nextHoldWindows;
        it.nextHoldWindows = std::min(it.nextHoldWindows * 2, maxHoldWindows);
    }

    void adjustLimit(ConcurrencyLimit& it, double slowdownNow)
    {
        const int lower = std::max(1, static_cast<int>(it.limit * trialLimitRatio));
        if (slowdownNow > minSlowdownForTrial && lower < it.limit)
            startTrial(it, lower, slowdownNow);
        else if (it.limit < it.announced && slowdownNow <= maxNormalSlowdown)
            ++it.limit;
        else if (it.limit < it.announced)
            startTrial(it, it.limit + 1, slowdownNow);
    }

    // Throughput is proportional to slots over run time.
    void evaluateTrial(ConcurrencyLimit& it, double slowdownNow)
    {
        it.inTrial = false;
        const double before = it.limitBeforeTrial / it.slowdownBeforeTrial;
        const double after = it.limit / slowdownNow;
        const bool wasLowered = it.limit < it.limitBeforeTrial;
        if (wasLowered ? after >= before * minThroughputRatio : after > before) {
            it.nextHoldWindows = 4;
            return adjustLimit(it, slowdownNow); // the trial's measurement is the baseline of the next one
        }
        it.limit = it.limitBeforeTrial;
        holdAfterFailure(it);
    }

} // namespace

bool setAnnounced(ConcurrencyLimit& it, int announced)
{
    const int before = it.limit;
    const bool wasAtCeiling = it.limit == it.announced;
    it.announced = std::max(1, announced);
    it.limit = wasAtCeiling ? it.announced : std::min(it.limit, it.announced);
    it.inTrial = false;
    beginWindow(it);
    return it.limit != before;
}

bool onShed(ConcurrencyLimit& it, int running)
{
    const int lower = std::clamp(running - 1, 1, it.limit);
    if (lower == it.limit)
        return false;
    it.limit = lower;
    it.inTrial = false;
    holdAfterFailure(it);
    beginWindow(it);
    return true;
}

bool onGoodAnswer(ConcurrencyLimit& it, double slowdown, bool slotsFull)
{
    if (!slotsFull)
        return false;
    if (it.answersToSkip > 0) {
        --it.answersToSkip;
        return false;
    }
    ++it.answers;
    it.slowdownSum += slowdown;
    if (it.answers < answersPerWindow)
        return false;
    const int before = it.limit;
    const double slowdownNow = it.slowdownSum / it.answers;
    beginWindow(it);
    if (it.inTrial)
        evaluateTrial(it, slowdownNow);
    else if (it.holdWindowsLeft > 0)
        --it.holdWindowsLeft;
    else
        adjustLimit(it, slowdownNow);
    return it.limit != before;
}

} // namespace appletally::policy
