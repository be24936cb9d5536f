// Counts answers into evidence and runs the gross tests per route.
#include "appletally/policy/local_verdict.h"
#include "appletally/policy/latency_bins.h"

#include <algorithm>

namespace appletally::policy {

namespace {

    // An upstream is cold for its first answers and seconds, whichever end first. Filling caches and pools takes some
    // answers; an idle one is warm by time.
    constexpr uint64_t warmUpAnswers = 20;
    constexpr base::Duration warmUp { 5000 };
    // Over a version's whole life at this node: one that crashes and starts again and again would be cold forever.
    constexpr uint64_t mostWarmUps = 2;
    // Failures while cold that nobody has to wait out: a healthy start fails one answer in five or so, not three in four.
    constexpr uint64_t mostColdFailures = 6;

    constexpr double stopScore = 9; // three failures in a row against a healthy baseline
    constexpr double leastRate = 0.02; // no baseline is trusted to be better than this
    // Where no caller tells how the old version does: only near-total failure counts, about nineteen failures in a row on a
    // route. At 0.3 (eight in a row) an outage that failed four answers in five of both versions stopped good ones.
    constexpr double unknownRate = 0.6;
    constexpr double grossFailures = 0.4; // beyond the baseline
    constexpr double grossFactor = 2; // times the accepted latency
    constexpr double slowSlack = 0.3; // share of answers beyond that limit which may still be chance or a neighbour
    constexpr double slowBadness = 0.8;

    bool isCold(const LocalVerdict& it, base::Time now)
    {
        return it.answersSinceReady < warmUpAnswers && now - it.readyAt < warmUp && it.warmUps <= mostWarmUps;
    }

    void stop(LocalVerdict& verdict, std::string why)
    {
        verdict.stopped = true;
        verdict.why = std::move(why);
    }

    void testFailures(LocalRoute& route, const LocalAnswer& answer)
    {
        const double rate = answer.old ? std::max(answer.old->failureRate, leastRate) : unknownRate;
        addRatios(route.failing, ratiosOf(alternativesFor(rate, 0, grossFailures), answer.failed ? 1 : 0, 1));
    }

    void testLatency(LocalRoute& route, const LocalAnswer& answer, const config::RegressionThresholds& bad)
    {
        if (!answer.old || answer.old->medianMs <= 0)
            return;
        const double limit = answer.old->medianMs * grossFactor * bad.latencyPercent / 100;
        const bool slow = static_cast<double>(answer.run.ms) > limit;
        addRatios(route.slow, ratiosOf(alternativesFor(0, slowSlack, slowBadness), slow ? 1 : 0, 1));
    }

    void countWarm(config::Evidence& evidence, const LocalAnswer& answer)
    {
        const size_t bin = latencyBin(static_cast<double>(answer.run.ms));
        ++evidence.answers;
        evidence.failures += answer.failed ? 1 : 0;
        ++evidence.latency[bin];
        evidence.busyLatency[bin] += answer.busy ? 1 : 0;
    }

    // What both versions call may be down just while the new one starts. Its failures are then no sign of a bad version,
    // and taken for one they take back a good one within a second.
    constexpr double othersFailToo = 0.25;

    void countCold(LocalVerdict& verdict, config::Evidence& evidence, const LocalAnswer& answer)
    {
        const bool shared = answer.old && answer.old->failureRate >= othersFailToo;
        const bool failed = answer.failed && !shared;
        ++evidence.coldAnswers;
        ++verdict.coldAnswers;
        evidence.coldFailures += failed ? 1 : 0;
        verdict.coldFailures += failed ? 1 : 0;
    }

    LocalRoute& routeOf(LocalVerdict& verdict, const base::RouteName& name)
    {
        const auto [it, added] = verdict.routes.try_emplace(name);
        if (added) {
            it->second.evidence.host = verdict.host;
            it->second.evidence.incarnation = verdict.incarnation;
            it->second.evidence.service = verdict.service;
            it->second.evidence.route = name;
            it->second.evidence.version = verdict.version;
        }
        return it->second;
    }

} // namespace

LocalVerdict startLocalVerdict(base::HostId host, base::Incarnation incarnation, base::ServiceName service, base::UpstreamVersion version, base::Time readyAt)
{
    LocalVerdict out;
    out.host = std::move(host);
    out.incarnation = incarnation;
    out.service = std::move(service);
    out.version = std::move(version);
    out.readyAt = readyAt;
    return out;
}

void onUpstreamReady(LocalVerdict& verdict, base::Time now)
{
    verdict.readyAt = now;
    verdict.answersSinceReady = 0;
    ++verdict.warmUps;
}

void onSnapshot(LocalVerdict& verdict, const config::Snapshot& snapshot)
{
    const auto found = std::find_if(snapshot.rollouts.begin(), snapshot.rollouts.end(), [&](const auto& it) {
        return it.second.service == verdict.service && it.second.to == verdict.version;
    });
    verdict.judged = found != snapshot.rollouts.end();
    if (verdict.judged) {
        verdict.bad = found->second.thresholds;
        return;
    }
    verdict.stopped = false;
    verdict.why.clear();
    for (auto& [name, route] : verdict.routes) {
        route.failing = {};
        route.slow = {};
    }
}

void onLocalAnswer(LocalVerdict& verdict, const LocalAnswer& answer, base::Time now)
{
    LocalRoute& route = routeOf(verdict, answer.route);
    const bool cold = isCold(verdict, now);
    ++verdict.answersSinceReady;
    if (cold) {
        countCold(verdict, route.evidence, answer);
        if (verdict.judged && verdict.coldFailures >= mostColdFailures && 4 * verdict.coldFailures > 3 * verdict.coldAnswers)
            stop(verdict, "it fails while it starts and does not get warm");
        return;
    }
    countWarm(route.evidence, answer);
    if (!verdict.judged || verdict.stopped)
        return;
    testFailures(route, answer);
    testLatency(route, answer, verdict.bad);
    if (route.failing.score() >= stopScore)
        stop(verdict, "it fails on " + answer.route.text);
    else if (route.slow.score() >= stopScore)
        stop(verdict, "it is far too slow on " + answer.route.text);
}

bool mayRun(const LocalVerdict& verdict) { return !verdict.stopped; }

std::vector<config::Evidence> reportOf(const LocalVerdict& verdict)
{
    std::vector<config::Evidence> out;
    out.reserve(verdict.routes.size());
    for (const auto& [name, route] : verdict.routes) {
        out.push_back(route.evidence);
        out.back().stoppedHere = verdict.stopped;
    }
    return out;
}

} // namespace appletally::policy
