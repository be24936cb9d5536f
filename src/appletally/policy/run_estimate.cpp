// Moving means of run times; see run_estimate.h.
#include "appletally/policy/run_estimate.h"

#include <algorithm>
#include <cmath>

namespace appletally::policy {
namespace {

    // Runs that the mean covers. Runs vary by about their own mean, so the mean of 16 is within a quarter, which the
    // half of the deadline that admission keeps free absorbs; more would detect a slow upstream later.
    constexpr int meanWindow = 16;
    constexpr int unloadedWindow = 64; // the best run time changes with the upstream's software, not within seconds
    constexpr double minRunMs = 1;

    // One run counts as at most this many usual ones. Runs vary by about their own mean, so fewer than 2 in 100 are
    // longer; without this limit a single run that hung for 20 s would have the whole queue refused.
    constexpr double maxRunFactor = 4;

    // The first run weighs as much as the configured run time, later ones by the window.
    void updateMean(double& mean, int& runs, int window, double sample)
    {
        runs = std::min(runs + 1, window);
        mean += (sample - mean) / (runs + 1);
    }

} // namespace

base::Duration usualRun(const RunEstimates& it, const base::RouteName& route, base::Duration expected)
{
    const auto at = it.find(route);
    const double mean = at == it.end() ? static_cast<double>(expected.ms) : at->second.mean;
    return { static_cast<int64_t>(std::lround(std::max(mean, minRunMs))) };
}

base::Duration meanRun(const RunEstimates& runs)
{
    constexpr base::Duration unknownRun { 20 };
    double sum = 0;
    for (const auto& [route, run] : runs)
        sum += run.mean;
    return runs.empty() ? unknownRun : base::Duration { static_cast<int64_t>(std::ceil(sum / static_cast<double>(runs.size()))) };
}

std::optional<base::Duration> observedRun(const RunEstimates& it, const base::RouteName& route)
{
    return it.contains(route) ? std::optional(usualRun(it, route, {})) : std::nullopt;
}

double slowdown(const RunEstimates& it, const base::RouteName& route, base::Duration ran)
{
    const auto at = it.find(route);
    if (at == it.end())
        return 1;
    return std::max(static_cast<double>(ran.ms), minRunMs) / std::max(at->second.unloaded, minRunMs);
}

void addRun(RunEstimates& it, const base::RouteName& route, base::Duration expected, base::Duration ran, bool unloaded)
{
    const auto usual = static_cast<double>(expected.ms);
    RunEstimate& estimate = it.try_emplace(route, RunEstimate { usual, usual, 0, 0 }).first->second;
    const auto sample = static_cast<double>(ran.ms);
    updateMean(estimate.mean, estimate.runs, meanWindow, std::min(sample, maxRunFactor * std::max(estimate.mean, minRunMs)));
    if (unloaded)
        updateMean(estimate.unloaded, estimate.unloadedRuns, unloadedWindow, sample);
}

void discardSlowRuns(RunEstimates& it, const base::RouteName& route, base::Duration expected, base::Duration ran)
{
    const auto at = it.find(route);
    if (at != it.end())
        at->second.mean = std::min(at->second.mean, static_cast<double>(std::max(expected, ran).ms));
}

} // namespace appletally::policy
