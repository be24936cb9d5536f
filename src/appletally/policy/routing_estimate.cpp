// Expected answer and value at one upstream; what answers say of its speed. See routing.h.
#include "appletally/policy/routing_estimate.h"

#include <algorithm>
#include <cmath>

namespace appletally::policy {

namespace {

    constexpr double minSlowStartShare = 0.1; // a cold upstream starts with a tenth of its slots: at 10 slots, one

    // A round trip between two zones takes 1 ms or 3 ms, depending on the deployment.
    constexpr double crossZoneMs = 2;

    // Traffic between zones costs money. A kilobyte is worth this much waiting in the own zone: an archive of 90 KB
    // stays there unless its caller would wait a quarter of a second longer, a status of 1 KB goes wherever it is
    // answered first.
    constexpr double crossZoneMsPerKilobyte = 3;

    constexpr double maxUsualLatencyRatio = 2;

    // Without answers a slow upstream gets requests again after a while: one that was five times as slow after 4 s.
    // Each attempt that is slow again delays one caller and raises the ratio again.
    constexpr double latencyRatioHalfLifeMs = 2000;

    constexpr double loadHalfLifeMs = 500; // decay of the load that other nodes put on an upstream

    // A zone's own upstreams are used up to this part of their slots before its calls go to other zones; the last slots
    // are for requests that other nodes have sent there since the last load report.
    constexpr double fullSlotShare = 0.8;

    constexpr double loadTieBreak = 0.05; // of a run, for full slots: decides only between equal candidates

    // Bounds of an upstream's run time over the usual one, since a few runs can be misleading.
    constexpr double minRunRatio = 0.2;

    constexpr double maxRunRatio = 5;

    // Between these ratios an upstream counts as equally fast. Without them chance alone sends a part of a lightly
    // loaded zone's calls to other zones, although a request without a target latency gains nothing known from that.
    constexpr double minSimilarRatio = 0.65;

    constexpr double maxSimilarRatio = 1.5;

    constexpr double minSpread = 0.1;

    // Without new answers the deviation of an upstream's run time ratio halves in this time: a cold upstream is slow
    // for seconds and then like the others.
    constexpr double runRatioHalfLifeMs = 2000;

    // Weight of a queue over its own wait. By the wait alone a fast upstream's full queue is still sooner than a slow
    // one's free slot: all nodes pick it, the slow slots idle, and owners reject requests that would have been in time
    // there.
    constexpr double queueWeight = 5;

    // Weight of the expected answer time, as a part of the target latency, so that of several upstreams that will all
    // answer in time the fastest is picked.
    constexpr double promptnessWeight = 0.4;

    // Weight of one answer in an upstream's latency ratio. Runs vary by about their own mean, so this ratio varies by a
    // quarter, and up to twice as slow counts as usual; a bound of 1.5 made one good answer in thirty mark its upstream
    // as slow. Three times as slow shows after seven answers, ten times as slow after two.
    constexpr double latencyRatioWeight = 0.1;

    constexpr double maxLatencyRatio = 100;

    constexpr double sizeWeight = 0.05; // answer sizes of one route vary by about their own mean

    constexpr double routeWeight = 0.02; // the usual time of a route follows its answers over about fifty of them

    constexpr double spreadWeight = 0.05;

    double decay(base::Time since, double halfLife, base::Time now)
    {
        return std::exp2(-static_cast<double>((now - since).ms) / halfLife);
    }

    // The owner knows when its upstream started and reports its slow start; without a report the time since this node
    // first saw the upstream counts.
    double slowStartShare(const Target& target, base::Time now)
    {
        const bool hasReport = target.load.slots > 0;
        const double seen = static_cast<double>((now - target.readySince).ms) / static_cast<double>(slowStart.ms);
        const double reported = static_cast<double>(target.load.slowStartProgress.value) / totalShare;
        return std::clamp(hasReport ? reported : seen, minSlowStartShare, 1.0);
    }

    double usualRunOf(const RouteLatency& route) { return std::max(route.run > 0 ? route.run : route.mean, minTimeMs); }

    // Expected run time of the route at this upstream, in milliseconds. The owner has observed the runs of all callers,
    // so its report counts after one answer; an old report decays towards the usual run.
    double expectedRun(const Target& target, const base::RouteName& route, double usual, bool useRunTimes, base::Time now)
    {
        const auto reported = target.runs.find(route);
        if (useRunTimes && reported != target.runs.end()) {
            const double runRatio = std::clamp(reported->second.ms / usual, minRunRatio, maxRunRatio);
            return usual * (1 + (runRatio - 1) * decay(reported->second.at, runRatioHalfLifeMs, now));
        }
        const double latencyRatio = currentLatencyRatio(target, now);
        return usual * (latencyRatio > maxUsualLatencyRatio ? latencyRatio : 1);
    }

    // Expected conditions of a request at one upstream.
    struct Estimate {
        double run = 0; // milliseconds
        double usual = 0; // milliseconds, over all upstreams
        double slots = 1;
        double perSecond = 0; // requests that may start in a second; 0: no limit
        double active = 0; // requests there now
        double networkMs = 0; // milliseconds there and back
        double kilobytes = 0; // of an answer, if it has to cross zones
        double spread = 0;
    };

    Estimate estimateAt(const Router& it, const Target& target, const base::RouteName& route, base::Time now)
    {
        Estimate out;
        const auto known = it.routes.find(route);
        const double announced = target.load.slots > 0 ? target.load.slots : std::max(target.endpoint.slots, 1);
        out.usual = known == it.routes.end() ? minTimeMs : usualRunOf(known->second);
        out.run = expectedRun(target, route, out.usual, it.options.useRunTimes, now);
        out.slots = std::max(1.0, announced * slowStartShare(target, now));
        out.active = target.inFlight + target.otherLoad * decay(target.loadAt, loadHalfLifeMs, now);
        if (it.options.useRates && now - target.loadAt < target.load.rateLasts)
            out.perSecond = target.load.perSecond;
        out.spread = known == it.routes.end() ? RouteLatency {}.spread : known->second.spread;
        if (target.endpoint.zone == it.zone)
            return out;
        out.networkMs = crossZoneMs;
        out.kilobytes = known == it.routes.end() ? 0 : known->second.kilobytes;
        return out;
    }

    // Weighted queueing delay in milliseconds: more than the actual wait, see `queueWeight`.
    double queueAt(const Router& it, const Estimate& at, double run)
    {
        if (at.perSecond > 0)
            return 1000 * (at.active + 1) / at.perSecond;
        const double queue = std::max(0.0, at.active + 1 - fullSlotShare * at.slots) / at.slots + loadTieBreak * std::min(at.active, at.slots) / at.slots;
        return run * queue * (it.options.useRunTimes ? queueWeight : 1);
    }

    // Milliseconds until an answer is expected, for requests without a target latency.
    double expectedAnswer(const Router& it, const Estimate& at)
    {
        const bool alike = at.run > at.usual * minSimilarRatio && at.run < at.usual * maxSimilarRatio;
        const double run = alike ? at.usual : at.run;
        return run + queueAt(it, at, run) + at.networkMs + at.kilobytes * crossZoneMsPerKilobyte;
    }

    // Probability that a run ends within `left` milliseconds, with a log-normal distribution around the usual run.
    double chanceWithin(double left, double run, double spread)
    {
        if (left <= 0)
            return 0;
        const double deviation = std::max(spread, minSpread);
        return std::erfc(-(std::log(left / run) / deviation + deviation / 2) / std::sqrt(2.0)) / 2;
    }

    // Expected value of sending a request there, as a part of the value of an answer in time.
    double expectedValue(const Router& it, const Estimate& at, base::Duration targetLatency)
    {
        const double left = std::max(static_cast<double>(targetLatency.ms), minTimeMs);
        const double wait = queueAt(it, at, at.run) + at.networkMs;
        return chanceWithin(left - wait, at.run, at.spread) - at.kilobytes * it.costs.kilobyteAcrossZones - promptnessWeight * (at.run + wait) / left;
    }

    void observeRun(Target& target, RouteLatency& route, const AnswerReport& answer, base::Time now)
    {
        if (answer.usualRun.ms <= 0)
            return;
        const auto usual = static_cast<double>(answer.usualRun.ms);
        target.runs[answer.route] = { usual, now };
        route.run += (usual - route.run) * (route.run > 0 ? routeWeight : 1);
        if (answer.runTime.ms <= 0)
            return;
        const double off = std::log(static_cast<double>(answer.runTime.ms) / usual);
        route.spread = std::sqrt(route.spread * route.spread * (1 - spreadWeight) + off * off * spreadWeight);
    }

} // namespace

// The latency ratio decays towards the usual one.
double currentLatencyRatio(const Target& target, base::Time now)
{
    return 1 + (target.latencyRatio - 1) * decay(target.latencyRatioAt, latencyRatioHalfLifeMs, now);
}

// The lowest cost is picked: by expected value if the request has a target latency, else by time.
double costOf(const Router& it, const Target& target, const PickRequest& request, base::Time now)
{
    const Estimate at = estimateAt(it, target, request.route, now);
    return it.options.useTargetLatency && request.targetLatency ? -expectedValue(it, at, *request.targetLatency) : expectedAnswer(it, at);
}

// The elapsed time of a cancelled attempt is only a lower bound of its latency. It still counts: a hedge that wins
// cancels the slow attempt, and without this the slow upstream would never be seen as slow.
void observeLatency(Router& it, Target& target, const AnswerReport& answer, base::Time now)
{
    const double elapsed = std::max(static_cast<double>(answer.elapsed.ms), minTimeMs);
    RouteLatency& route = it.routes[answer.route];
    const bool whole = answer.kind != AnswerKind::Cancelled;
    if (route.mean == 0 && whole)
        route.mean = elapsed;
    const double ratio = route.mean > 0 ? std::min(elapsed / route.mean, maxLatencyRatio) : 1;
    const double before = currentLatencyRatio(target, now);
    if (!whole && ratio <= before)
        return;
    target.latencyRatio = before + (ratio - before) * latencyRatioWeight;
    target.latencyRatioAt = now;
    if (!whole)
        return;
    route.mean += (elapsed - route.mean) * routeWeight;
    observeRun(target, route, answer, now);
    const double kilobytes = static_cast<double>(answer.size.count) / 1024;
    route.kilobytes += (kilobytes - route.kilobytes) * (route.kilobytes == 0 ? 1 : sizeWeight);
}

} // namespace appletally::policy
