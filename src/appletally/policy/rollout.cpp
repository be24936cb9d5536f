// Compares intervals of new and old evidence, then decides: rollback first, then the share schedule.
#include "appletally/policy/rollout.h"

#include "appletally/policy/rollout_evidence.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace appletally::policy {

namespace {

    // An interval is compared once the old version has this many answers in it, so that a fault of both versions shows
    // in both.
    constexpr double minOldAnswersPerInterval = 5;
    // Upper limit of an interval where the old version gets little traffic. Short for failures, because the history
    // gives an expected rate; longer for latency, because an overload that has just begun has no history.
    constexpr base::Duration maxInterval { 5000 };
    constexpr base::Duration maxLatencyInterval { 15'000 };
    // The same once all traffic has moved: the old version gives no more answers, and completion waits for the comparison.
    constexpr base::Duration maxIntervalWithoutOld { 500 };
    // Weight of the old version's history beside the answers of the interval, in answers.
    constexpr double historyWeight = 2;
    // Half-life of the recent rate, in answers of the old version: long enough to distinguish 80% from 60%, short
    // enough to follow the start of an outage within a second.
    constexpr double recentAnswers = 30;
    // Half-life of the baseline, in answers of the old version: it follows the load of the hour, not short
    // disturbances.
    constexpr double baselineAnswers = 2000;
    // A host of the new version is compared with other hosts once it has this many answers.
    constexpr uint64_t minAnswersOfCountedHost = 5;
    // Latency is tested once the old version has this many answers at the same load.
    constexpr double minLatencyAnswers = 10;
    // A stall takes this many times the accepted latency.
    constexpr double stallFactor = 4;
    // Additional factor for busy answers of the new version where only quiet ones of the old version are known.
    constexpr double unknownLoadFactor = 2;
    // Evidence below the rollback score holds partial shares only up to this fraction of the time; the remaining steps still
    // fit after it. Nothing undoes the last step and the completion, so they are held as long as answers come that settle it.
    constexpr double holdUntilFraction = 0.9;
    // Failures during cold start are ignored up to this number; a version that never completes its cold start is rolled
    // back too.
    constexpr uint64_t maxColdFailures = 10;

    struct Limits {
        double slack = 0; // share of answers beyond the baseline that is still acceptable
        double regressionShare = 0; // share beyond the baseline that is a regression
    };

    Limits limitsOf(RegressionKind kind, const config::RegressionThresholds& bad)
    {
        const double failures = static_cast<double>(bad.failures.value) / 1000;
        switch (kind) {
        case RegressionKind::Failing:
            return { failures / 5, failures };
        case RegressionKind::Slow:
        case RegressionKind::SlowUnderLoad: // half of the answers of a version twice as slow are beyond twice the median
            return { 0.12, 0.35 };
        case RegressionKind::Stalling:
        case RegressionKind::StallingUnderLoad:
            return { 0.01, 0.06 };
        }
        return {};
    }

    LatencyBins binsOf(const std::array<uint64_t, config::latencyBins>& counts)
    {
        LatencyBins out {};
        std::copy(counts.begin(), counts.end(), out.begin());
        return out;
    }

    constexpr std::array<Stream, regressionKinds> streamOfKind { Stream::All, Stream::Quiet, Stream::Busy, Stream::Quiet, Stream::Busy };

    void decayInto(LatencyBins& bins, const std::array<uint64_t, config::latencyBins>& old)
    {
        const double keep = std::exp2(-countOf(binsOf(old)) / baselineAnswers);
        for (size_t bin = 0; bin < config::latencyBins; ++bin)
            bins[bin] = bins[bin] * keep + static_cast<double>(old[bin]);
    }

    void decayInto(Baseline& baseline, const Tally& old, Stream stream)
    {
        if (stream == Stream::Quiet)
            decayInto(baseline.quiet, old.quiet);
        else if (stream == Stream::Busy)
            decayInto(baseline.busy, old.busy);
        if (stream != Stream::All)
            return;
        const double keep = std::exp2(-static_cast<double>(old.answers) / baselineAnswers);
        baseline.answers = baseline.answers * keep + static_cast<double>(old.answers);
        baseline.failures = baseline.failures * keep + static_cast<double>(old.failures);
    }

    // The expected rate of the new version: the worst of the old version's history, recent rate and rate in this
    // interval. An outage or overload of both versions shows in the recent answers of the old version first; a baseline
    // that lags behind it would attribute the difference to the new version. Never below the history: an interval in
    // which the old version does unusually well must not count against the new one.
    double baselineRate(RecentRate& recent, double hits, double n, double pastHits, double pastN)
    {
        const double keep = std::exp2(-n / recentAnswers);
        recent.answers = recent.answers * keep + n;
        recent.hits = recent.hits * keep + hits;
        const double past = pastN > 0 ? pastHits / pastN : 0;
        const double lately = (recent.hits + past) / (recent.answers + 1);
        const double error = std::sqrt(lately * (1 - lately) / (recent.answers + 1));
        const double now = (hits + historyWeight * past) / (n + historyWeight);
        return std::max({ past, lately > past ? std::min(lately + error, 1.0) : past, now });
    }

    void add(Ratios& sum, const Ratios& it)
    {
        for (size_t n = 0; n < sum.size(); ++n)
            sum[n] += it[n];
    }

    // The baseline that an interval of the old version gives, per kind.
    struct IntervalBaseline {
        std::array<double, regressionKinds> rates { -1, -1, -1, -1, -1 }; // expected share of hits; negative: unknown
        std::array<double, regressionKinds> limits {}; // milliseconds; a longer answer is a hit
    };

    void addLatency(IntervalBaseline& out, size_t kind, RecentRate& recent, const LatencyBins& old, const LatencyBins& past, double factor)
    {
        out.limits[kind] = quantileOf(past, 0.5) * factor;
        out.rates[kind] = baselineRate(recent, countAbove(old, out.limits[kind]), countOf(old), countAbove(past, out.limits[kind]), countOf(past));
    }

    // Busy answers are compared with busy ones, so that a version is not rolled back for running on busier hosts. But a
    // sufficiently slow version keeps its own slots taken while those of the old version are free. Then there is no old
    // evidence at the same load, and quiet answers are used with an allowance for the cost of load.
    bool busyIsKnown(const Baseline& past) { return countOf(past.busy) >= minLatencyAnswers; }

    void addLatencies(IntervalBaseline& out, Stream stream, RolloutRoute& route, const Tally& old, const Baseline& past, double factor)
    {
        const bool fromBusy = stream == Stream::Busy && busyIsKnown(past);
        const LatencyBins& history = fromBusy ? past.busy : past.quiet;
        if (countOf(history) < minLatencyAnswers)
            return;
        const LatencyBins interval = binsOf(fromBusy ? old.busy : old.quiet);
        const double allowance = stream == Stream::Busy && !fromBusy ? unknownLoadFactor : 1;
        const size_t slow = stream == Stream::Quiet ? 1 : 2;
        addLatency(out, slow, route.recent[slow], interval, history, factor * allowance);
        addLatency(out, slow + 2, route.recent[slow + 2], interval, history, factor * allowance * stallFactor);
    }

    IntervalBaseline baselineOf(Stream stream, RolloutRoute& route, const Tally& old, const Baseline& past, const config::RegressionThresholds& bad)
    {
        IntervalBaseline out;
        if (stream == Stream::All)
            out.rates[0] = baselineRate(route.recent[0], static_cast<double>(old.failures), static_cast<double>(old.answers), past.failures, past.answers);
        else
            addLatencies(out, stream, route, old, past, static_cast<double>(bad.latencyPercent) / 100);
        return out;
    }

    // Compares new answers of one host with the old version's in the same interval; zero for kinds without a baseline.
    std::array<Ratios, regressionKinds> compare(const Tally& fresh, const IntervalBaseline& it, const config::RegressionThresholds& bad)
    {
        std::array<Ratios, regressionKinds> out {};
        for (size_t kind = 0; kind < regressionKinds; ++kind) {
            if (it.rates[kind] < 0)
                continue;
            const Limits limits = limitsOf(static_cast<RegressionKind>(kind), bad);
            const auto alternatives = alternativesFor(it.rates[kind], limits.slack, limits.regressionShare);
            const LatencyBins bins = binsOf(streamOfKind.at(kind) == Stream::Busy ? fresh.busy : fresh.quiet);
            if (streamOfKind.at(kind) == Stream::All)
                out[kind] = ratiosOf(alternatives, static_cast<double>(fresh.failures), static_cast<double>(fresh.answers));
            else
                out[kind] = ratiosOf(alternatives, countAbove(bins, it.limits[kind]), countOf(bins));
        }
        return out;
    }

    double answersOf(const Tally& it, Stream stream, const Baseline& past)
    {
        if (stream == Stream::All)
            return static_cast<double>(it.answers);
        return countOf(binsOf(stream == Stream::Busy && busyIsKnown(past) ? it.busy : it.quiet));
    }

    Tally oldTotal(const RolloutState& state, const base::RouteName& route, const base::UpstreamVersion& version)
    {
        Tally sum;
        for (const auto& [key, byIncarnation] : state.evidence.tallies) {
            if (key.route == route && key.version == version)
                sum += totalOf(state.evidence, key);
        }
        return sum;
    }

    void addTo(std::array<SequentialTest, regressionKinds>& tests, const std::array<Ratios, regressionKinds>& ratios)
    {
        for (size_t kind = 0; kind < regressionKinds; ++kind)
            addRatios(tests[kind], ratios[kind]);
    }

    void compareInterval(RolloutState& state, const base::RouteName& name, Stream stream, const config::Rollout& plan, base::WallTime now)
    {
        RolloutRoute& route = state.routes[name];
        ComparedTotals& compared = route.compared.at(static_cast<size_t>(stream));
        const Tally oldSum = oldTotal(state, name, plan.from);
        const Tally old = oldSum - compared.old;
        const base::Duration longest = plan.share >= base::PerMille { 1000 } ? maxIntervalWithoutOld : (stream == Stream::All ? maxInterval : maxLatencyInterval);
        if (answersOf(old, stream, route.baseline) < minOldAnswersPerInterval && now - compared.at < longest)
            return;
        const Baseline past = route.baseline;
        decayInto(route.baseline, old, stream);
        const bool begun = past.answers > 0 || stream != Stream::All;
        const IntervalBaseline expected = baselineOf(stream, route, old, begun ? past : route.baseline, plan.thresholds);
        std::array<Ratios, regressionKinds> sum {};
        for (const auto& [key, byIncarnation] : state.evidence.tallies) {
            if (key.route != name || key.version != plan.to)
                continue;
            const Tally total = totalOf(state.evidence, key);
            const std::array<Ratios, regressionKinds> ratios = compare(total - compared.newByHost[key.host], expected, plan.thresholds);
            compared.newByHost[key.host] = total;
            addTo(route.hostTests[key.host], ratios);
            addTo(state.allRoutesByHost[key.host], ratios);
            for (size_t kind = 0; kind < regressionKinds; ++kind)
                add(sum[kind], ratios[kind]);
        }
        addTo(route.tests, sum);
        addTo(state.allRoutes, sum);
        compared.old = oldSum;
        compared.at = now;
    }

    size_t countedHosts(const RolloutState& state, const base::UpstreamVersion& version)
    {
        std::map<base::HostId, uint64_t> answers;
        for (const auto& [key, byIncarnation] : state.evidence.tallies) {
            if (key.version == version)
                answers[key.host] += totalOf(state.evidence, key).answers;
        }
        return static_cast<size_t>(std::count_if(answers.begin(), answers.end(), [](const auto& it) { return it.second >= minAnswersOfCountedHost; }));
    }

    // The score without its worst host. A noisy neighbour slows one host, a bad version slows all.
    double scoreWithoutWorst(const std::array<SequentialTest, regressionKinds>& tests, size_t kind,
        const std::map<base::HostId, std::array<SequentialTest, regressionKinds>>& hosts)
    {
        double worst = 0;
        for (const auto& [host, it] : hosts)
            worst = std::max(worst, it[kind].score());
        return tests[kind].score() - worst;
    }

    const char* nameOf(size_t kind)
    {
        constexpr std::array<const char*, regressionKinds> names { "fails more often", "is slower", "is slower under load", "stalls more often",
            "stalls more often under load" };
        return names.at(kind);
    }

    std::string percent(uint64_t part, uint64_t all)
    {
        std::array<char, 32> buf {};
        std::snprintf(buf.data(), buf.size(), "%.1f%%", all > 0 ? 100.0 * static_cast<double>(part) / static_cast<double>(all) : 0.0);
        return buf.data();
    }

    std::string describe(const RolloutState& state, const config::Rollout& plan, size_t kind, const std::string& where)
    {
        Tally fresh;
        Tally old;
        for (const auto& [key, byIncarnation] : state.evidence.tallies) {
            if (where != "all routes" && key.route.text != where)
                continue;
            if (key.version == plan.to)
                fresh += totalOf(state.evidence, key);
            if (key.version == plan.from)
                old += totalOf(state.evidence, key);
        }
        return "version " + plan.to.text + " " + nameOf(kind) + " than " + plan.from.text + " on " + where + ": "
            + percent(fresh.failures, fresh.answers) + " of " + std::to_string(fresh.answers) + " answers failed, "
            + percent(old.failures, old.answers) + " of " + std::to_string(old.answers) + " before";
    }

    struct RegressionResult {
        double worst = 0; // highest score of all tests
        std::string reason; // not empty: roll back
    };

    RegressionResult evaluateTests(const RolloutState& state, const config::Rollout& plan)
    {
        const bool several = countedHosts(state, plan.to) > 1;
        RegressionResult out;
        const auto evaluate = [&](const auto& tests, const auto& hosts, const std::string& where) {
            for (size_t kind = 0; kind < regressionKinds; ++kind) {
                const double score = tests[kind].score();
                out.worst = std::max(out.worst, score);
                const bool alone = several && scoreWithoutWorst(tests, kind, hosts) < state.settings.holdScore / 2;
                if (out.reason.empty() && score >= state.settings.rollbackScore && !alone)
                    out.reason = describe(state, plan, kind, where);
            }
        };
        for (const auto& [name, route] : state.routes)
            evaluate(route.tests, route.hostTests, name.text);
        evaluate(state.allRoutes, state.allRoutesByHost, "all routes");
        return out;
    }

    // Whether more than half of the hosts that run the version have stopped it locally.
    bool stoppedByHosts(const RolloutState& state, const base::UpstreamVersion& version)
    {
        const auto stopped = state.evidence.stopped.find(version);
        const auto hosts = state.evidence.hosts.find(version);
        if (stopped == state.evidence.stopped.end())
            return false;
        const size_t all = hosts == state.evidence.hosts.end() ? 0 : hosts->second.size();
        return 2 * stopped->second.size() > all;
    }

    bool failsDuringColdStart(const RolloutState& state, const base::UpstreamVersion& version)
    {
        Tally sum;
        for (const auto& [key, byIncarnation] : state.evidence.tallies) {
            if (key.version == version)
                sum += totalOf(state.evidence, key);
        }
        return sum.coldFailures >= maxColdFailures && 2 * sum.coldFailures > sum.coldAnswers;
    }

    bool hasEnoughAnswers(const RolloutState& state, const base::UpstreamVersion& version)
    {
        std::map<base::RouteName, uint64_t> answers;
        for (const auto& [key, byIncarnation] : state.evidence.tallies) {
            if (key.version == version)
                answers[key.route] += totalOf(state.evidence, key).answers;
        }
        return !answers.empty() && std::all_of(answers.begin(), answers.end(), [&](const auto& it) { return it.second >= state.settings.minAnswersToRaise; });
    }

    // Completing a rollout allows operators to stop the old version at once. By then, requests sent to the old version
    // before the last step have ended, and the step is applied at every node; when completion came with the last step,
    // a third of the traffic was cut off.
    constexpr base::Duration drainTime { 1500 };

    // Time from the end of the last requests at the old version until the operator sees the rollout as completed: the
    // commit (50 ms on a thirteenth of a core, 300 ms with a new leader) and the transfer of the operator's first
    // request, which was sent before the schedule starts to count.
    constexpr base::Duration completionMargin { 750 };

    RolloutDecision keep(const config::Rollout& plan, std::string reason) { return { RolloutAction::Keep, plan.share, std::move(reason) }; }

    const RolloutShareStep* nextShareStep(const RolloutState& state, const config::Rollout& plan)
    {
        for (const RolloutShareStep& it : state.settings.steps) {
            if (it.share > plan.share)
                return &it;
        }
        return nullptr;
    }

    base::WallTime at(const RolloutState& state, const config::Rollout& plan, double fraction)
    {
        const auto whole = static_cast<double>((plan.completeBy - state.startedAt).ms);
        return { state.startedAt.ms + static_cast<int64_t>(whole * fraction) };
    }

    // When a step is due even without sufficient evidence. In a rollout of seconds a fraction of the time is too late:
    // each share is held for `minStepDuration`, so four steps and the completion took at least 14.1 s, and a good
    // version requested within 15 s was late. Counting back from the end keeps the partial shares small for as long as
    // possible.
    base::WallTime latestFor(const RolloutState& state, const config::Rollout& plan, const RolloutShareStep* step)
    {
        base::WallTime latest = plan.completeBy + (drainTime + completionMargin) * -1;
        for (const RolloutShareStep* it = &state.settings.steps.back();; --it) {
            latest = std::min(latest, at(state, plan, it->latest));
            if (it == step)
                return latest;
            latest = latest + state.settings.minStepDuration * -1;
        }
    }

    // A restart of upstreams takes about this long, and a new leader learns of all upstreams within it.
    constexpr base::Duration insufficientUpstreamsTimeout { 3000 };

    // Operators may stop the old upstreams once the rollout has completed, so the new ones must be able to serve all
    // traffic.
    bool canServeAll(const VersionUpstreams& it) { return it.to > 0 && 2 * it.to >= it.from; }

    std::string describe(const VersionUpstreams& it, const config::Rollout& plan)
    {
        return std::to_string(it.to) + " upstreams of version " + plan.to.text + " are ready beside " + std::to_string(it.from) + " of " + plan.from.text;
    }

    // Whether the completion time has passed and the new version has had too few upstreams for a while. Without
    // upstreams of the old version, control has not yet learned of the upstreams or there is nothing to roll back to.
    bool hasInsufficientUpstreams(RolloutState& state, const config::Rollout& plan, const VersionUpstreams& upstreams, base::WallTime now)
    {
        if (canServeAll(upstreams) || upstreams.from == 0) {
            state.insufficientSince.reset();
            return false;
        }
        if (!state.insufficientSince)
            state.insufficientSince = now;
        return now >= plan.completeBy && now - *state.insufficientSince >= insufficientUpstreamsTimeout;
    }

    RolloutDecision advanceShare(RolloutState& state, const config::Rollout& plan, const VersionUpstreams& upstreams, double worst, base::WallTime now)
    {
        const RolloutShareStep* step = nextShareStep(state, plan);
        const bool toAll = !step || step == &state.settings.steps.back();
        if (upstreams.to == 0 || (toAll && !canServeAll(upstreams)))
            return keep(plan, describe(upstreams, plan));
        const bool settlesSoon = toAll && answersSettleSoon(state, plan);
        if (worst >= state.settings.holdScore && (settlesSoon || now < at(state, plan, holdUntilFraction)))
            return keep(plan, "the evidence points against the version, but does not suffice for a rollback");
        if (!step) {
            if (!haveReportsArrived(state, drainTime, now))
                return keep(plan, "waiting until requests at the old version have ended");
            if (!mayTakeLastSteps(state, plan, now))
                return keep(plan, "too few answers since all traffic moved");
            return { RolloutAction::Complete, { 1000 }, "all traffic has moved; " + describeEvidence(state, plan, worst) };
        }
        const bool trial = step == &state.settings.steps.front();
        if (!trial && !haveReportsArrived(state, state.settings.minStepDuration, now))
            return keep(plan, "waiting for reports at the current share");
        if (now < at(state, plan, step->earliest))
            return keep(plan, "the next step is not due yet");
        const bool due = now >= latestFor(state, plan, step);
        if (!trial && !due && !hasEnoughAnswers(state, plan.to))
            return keep(plan, "too few answers to raise the share ahead of schedule");
        if (toAll && !mayTakeLastSteps(state, plan, now))
            return keep(plan, "too few answers at the current share");
        const std::string reason = due ? "the step is due and the evidence does not point against the version" : "sufficient evidence on every route";
        RolloutDecision raise { RolloutAction::Raise, step->share, reason + "; " + describeEvidence(state, plan, worst) };
        if (trial)
            raise.share = std::min(raise.share, std::max(plan.maxTrialShare, base::PerMille { 1 }));
        state.lastRaise = now;
        state.beforeShare = reportedAnswers(state);
        return raise;
    }

} // namespace

RolloutSettings rolloutSettings(config::OptimizationGoal weighing)
{
    RolloutSettings out;
    out.rollbackScore = 9;
    out.holdScore = 4;
    out.minAnswersToRaise = 200;
    if (weighing == config::OptimizationGoal::SpeedAndRollback) {
        out.steps = { { { 50 }, 0, 0 }, { { 150 }, 0.2, 0.6 }, { { 400 }, 0.35, 0.75 }, { { 1000 }, 0.5, 0.85 } };
    } else {
        out.steps = { { { 50 }, 0, 0 }, { { 300 }, 0.1, 0.3 }, { { 1000 }, 0.3, 0.8 } };
    }
    return out;
}

RolloutState startRollout(RolloutSettings settings, const RolloutTimes& times)
{
    RolloutState state;
    state.settings = std::move(settings);
    state.startedAt = times.startedAt;
    state.lastRaise = times.sharedAt;
    return state;
}

void onEvidence(RolloutState& state, const config::Evidence& evidence)
{
    noteFirstReport(state, evidence);
    mergeEvidence(state.evidence, evidence);
    state.routes[evidence.route];
}

RolloutDecision decideRollout(RolloutState& state, const config::Rollout& plan, const VersionUpstreams& upstreams, base::WallTime now, bool controlReachable)
{
    if (state.final)
        return *state.final;
    for (const auto& [name, route] : state.routes) {
        for (Stream stream : { Stream::All, Stream::Quiet, Stream::Busy })
            compareInterval(state, name, stream, plan, now);
    }
    RegressionResult result = evaluateTests(state, plan);
    if (result.reason.empty() && stoppedByHosts(state, plan.to))
        result.reason = "most hosts of version " + plan.to.text + " stopped it locally";
    if (result.reason.empty() && failsDuringColdStart(state, plan.to))
        result.reason = "version " + plan.to.text + " fails during cold start and does not recover";
    if (result.reason.empty() && hasInsufficientUpstreams(state, plan, upstreams, now))
        result.reason = "the completion time has passed and " + describe(upstreams, plan);
    if (!result.reason.empty()) {
        state.final = RolloutDecision { RolloutAction::RollBack, { 0 }, result.reason };
        return *state.final;
    }
    noteReports(state, plan, now);
    if (!controlReachable)
        return keep(plan, "control is not reachable, so the share is not changed");
    RolloutDecision decision = advanceShare(state, plan, upstreams, result.worst, now);
    if (decision.action == RolloutAction::Complete)
        state.final = decision;
    return decision;
}

} // namespace appletally::policy
