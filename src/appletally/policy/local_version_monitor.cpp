// Counts answers as evidence and tests each route for gross regressions.
#include "appletally/policy/local_version_monitor.h"
#include "appletally/policy/latency_bins.h"

#include <algorithm>

namespace appletally::policy {

namespace {

    // An upstream is cold for its first answers or seconds, whichever end first. Filling caches and pools takes some
    // answers; an idle upstream is warm after this time.
    constexpr uint64_t coldStartAnswers = 20;
    constexpr base::Duration coldStartDuration { 5000 };
    // Over a version's whole life at this node. Without the limit, a version that crashes again and again would stay
    // cold forever.
    constexpr uint64_t maxColdStarts = 2;
    // Failures during cold start after which the version may be stopped. A healthy start fails about one answer in
    // five, not three in four.
    constexpr uint64_t maxColdFailures = 6;

    constexpr double stopScore = 9; // three failures in a row against a healthy baseline
    constexpr double minBaselineRate = 0.02; // a lower failure rate of a baseline is not relied on
    // Assumed rate where no caller reports how the old version does. Only near-total failure counts, about nineteen
    // failures in a row on a route. At 0.3 (eight in a row) an outage that failed four answers in five of both versions
    // stopped good ones.
    constexpr double rateWithoutBaseline = 0.6;
    constexpr double grossFailures = 0.4; // failure rate above the baseline
    constexpr double grossFactor = 2; // multiple of the accepted latency
    constexpr double slowSlack = 0.3; // share of answers beyond that limit which may still be chance or a noisy neighbour
    constexpr double slowRegressionShare = 0.8;

    bool isCold(const LocalVersionMonitor& it, base::Time now)
    {
        return it.answersSinceReady < coldStartAnswers && now - it.readyAt < coldStartDuration && it.coldStarts <= maxColdStarts;
    }

    void stop(LocalVersionMonitor& monitor, std::string reason)
    {
        monitor.stopped = true;
        monitor.reason = std::move(reason);
    }

    void testFailures(LocalRoute& route, const LocalAnswer& answer)
    {
        const double rate = answer.old ? std::max(answer.old->failureRate, minBaselineRate) : rateWithoutBaseline;
        addRatios(route.failing, ratiosOf(alternativesFor(rate, 0, grossFailures), answer.failed ? 1 : 0, 1));
    }

    void testLatency(LocalRoute& route, const LocalAnswer& answer, const config::RegressionThresholds& bad)
    {
        if (!answer.old || answer.old->medianMs <= 0)
            return;
        const double limit = answer.old->medianMs * grossFactor * bad.latencyPercent / 100;
        const bool slow = static_cast<double>(answer.run.ms) > limit;
        addRatios(route.slow, ratiosOf(alternativesFor(0, slowSlack, slowRegressionShare), slow ? 1 : 0, 1));
    }

    void countWarm(config::Evidence& evidence, const LocalAnswer& answer)
    {
        const size_t bin = latencyBin(static_cast<double>(answer.run.ms));
        ++evidence.answers;
        evidence.failures += answer.failed ? 1 : 0;
        ++evidence.latency[bin];
        evidence.busyLatency[bin] += answer.busy ? 1 : 0;
    }

    // Failure rate of the old version from which failures during cold start count as shared. A dependency of both
    // versions may be down just while the new one starts; without this, its failures rolled back a good version within
    // a second.
    constexpr double sharedFailureRate = 0.25;

    void countCold(LocalVersionMonitor& monitor, config::Evidence& evidence, const LocalAnswer& answer)
    {
        const bool shared = answer.old && answer.old->failureRate >= sharedFailureRate;
        const bool failed = answer.failed && !shared;
        ++evidence.coldAnswers;
        ++monitor.coldAnswers;
        evidence.coldFailures += failed ? 1 : 0;
        monitor.coldFailures += failed ? 1 : 0;
    }

    LocalRoute& routeOf(LocalVersionMonitor& monitor, const base::RouteName& name)
    {
        const auto [it, added] = monitor.routes.try_emplace(name);
        if (added) {
            it->second.evidence.host = monitor.host;
            it->second.evidence.incarnation = monitor.incarnation;
            it->second.evidence.service = monitor.service;
            it->second.evidence.route = name;
            it->second.evidence.version = monitor.version;
        }
        return it->second;
    }

} // namespace

LocalVersionMonitor startLocalVersionMonitor(base::HostId host, base::Incarnation incarnation, base::ServiceName service, base::UpstreamVersion version, base::Time readyAt)
{
    LocalVersionMonitor out;
    out.host = std::move(host);
    out.incarnation = incarnation;
    out.service = std::move(service);
    out.version = std::move(version);
    out.readyAt = readyAt;
    return out;
}

void onUpstreamReady(LocalVersionMonitor& monitor, base::Time now)
{
    monitor.readyAt = now;
    monitor.answersSinceReady = 0;
    ++monitor.coldStarts;
}

void onSnapshot(LocalVersionMonitor& monitor, const config::Snapshot& snapshot)
{
    const auto found = std::find_if(snapshot.rollouts.begin(), snapshot.rollouts.end(), [&](const auto& it) {
        return it.second.service == monitor.service && it.second.to == monitor.version;
    });
    monitor.monitored = found != snapshot.rollouts.end();
    if (monitor.monitored) {
        monitor.bad = found->second.thresholds;
        return;
    }
    monitor.stopped = false;
    monitor.reason.clear();
    for (auto& [name, route] : monitor.routes) {
        route.failing = {};
        route.slow = {};
    }
}

void onLocalAnswer(LocalVersionMonitor& monitor, const LocalAnswer& answer, base::Time now)
{
    LocalRoute& route = routeOf(monitor, answer.route);
    const bool cold = isCold(monitor, now);
    ++monitor.answersSinceReady;
    if (cold) {
        countCold(monitor, route.evidence, answer);
        if (monitor.monitored && monitor.coldFailures >= maxColdFailures && 4 * monitor.coldFailures > 3 * monitor.coldAnswers)
            stop(monitor, "fails during cold start and does not recover");
        return;
    }
    countWarm(route.evidence, answer);
    if (!monitor.monitored || monitor.stopped)
        return;
    testFailures(route, answer);
    testLatency(route, answer, monitor.bad);
    if (route.failing.score() >= stopScore)
        stop(monitor, "failure rate too high on " + answer.route.text);
    else if (route.slow.score() >= stopScore)
        stop(monitor, "latency far too high on " + answer.route.text);
}

bool mayRun(const LocalVersionMonitor& monitor) { return !monitor.stopped; }

std::vector<config::Evidence> evidenceReports(const LocalVersionMonitor& monitor)
{
    std::vector<config::Evidence> out;
    out.reserve(monitor.routes.size());
    for (const auto& [name, route] : monitor.routes) {
        out.push_back(route.evidence);
        out.back().stoppedHere = monitor.stopped;
    }
    return out;
}

} // namespace appletally::policy
