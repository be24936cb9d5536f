// Compares stretches of new and old evidence, then decides: take back first, then the ladder.
#include "appletally/policy/rollout.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace appletally::policy {

namespace {

    // A stretch is compared once the old version has this many answers in it, so that what hits both is seen in both.
    constexpr double oldAnswersPerStretch = 5;
    // Where the old version gets hardly any traffic, a stretch is compared after this time all the same: failures soon, since
    // a history tells what to expect of them; latency later, since an overload that has just begun has no history.
    constexpr base::Duration longestStretch { 5000 };
    constexpr base::Duration longestLatencyStretch { 15'000 };
    // The old version's history counts like this many of its answers beside those of the stretch.
    constexpr double historyWeight = 2;
    // What the old version did lately forgets to a half over this many answers: long enough to tell 80% from 60%, short
    // enough to follow the beginning of an outage within a second.
    constexpr double recentAnswers = 30;
    // The baseline forgets to a half over this many of the old version's answers: it follows the hour, not the blip.
    constexpr double baselineAnswers = 2000;
    // A host of the new version counts beside others when it has this many answers.
    constexpr uint64_t answersOfCountedHost = 5;
    // Latency is judged once the old version has this many answers at the same load.
    constexpr double leastLatencyAnswers = 10;
    // Stalls: this many times the accepted latency.
    constexpr double stallFactor = 4;
    // Beside quiet answers of the old version, busy ones of the new may take this much longer on top.
    constexpr double unknownLoadFactor = 2;
    // Evidence that only leans against a version holds its share back until here; the rungs that are left then still fit in.
    constexpr double lastMoment = 0.9;
    // Failing while cold is set aside only up to here; a version that never gets warm is bad as well.
    constexpr uint64_t mostColdFailures = 10;

    struct Limits {
        double slack = 0; // share of answers beyond the baseline that is still good
        double badness = 0; // that is bad
    };

    Limits limitsOf(BadnessKind kind, const config::RegressionThresholds& bad)
    {
        const double failures = static_cast<double>(bad.failures.value) / 1000;
        switch (kind) {
        case BadnessKind::Failing:
            return { failures / 5, failures };
        case BadnessKind::Slow:
        case BadnessKind::SlowUnderLoad: // twice as slow puts half of the answers beyond twice the median
            return { 0.12, 0.35 };
        case BadnessKind::Stalling:
        case BadnessKind::StallingUnderLoad:
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

    constexpr std::array<Stream, badnessKinds> streamOfKind { Stream::All, Stream::Quiet, Stream::Busy, Stream::Quiet, Stream::Busy };

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

    // What to expect of the new version: the worst of how the old one does over its history, lately and in this stretch.
    // An outage or overload that hits both shows in the old one's recent answers first; a baseline that lags behind it
    // blames the new version for the difference. Never below the history: a lucky stretch of the old version is no ground
    // against the new one.
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

    // What a stretch of the old version asks of the new one, per kind.
    struct StretchBaseline {
        std::array<double, badnessKinds> rates { -1, -1, -1, -1, -1 }; // expected share of hits; negative: not known
        std::array<double, badnessKinds> limits {}; // milliseconds beyond which an answer is a hit
    };

    void addLatency(StretchBaseline& out, size_t kind, RecentRate& recent, const LatencyBins& old, const LatencyBins& past, double factor)
    {
        out.limits[kind] = quantileOf(past, 0.5) * factor;
        out.rates[kind] = baselineRate(recent, countAbove(old, out.limits[kind]), countOf(old), countAbove(past, out.limits[kind]), countOf(past));
    }

    // A version that only has the busier hosts is not slower for that, so like is compared with like. But one that is slow
    // enough keeps its own slots taken while the old one's are free; then there is no old evidence at the same load, and the
    // quiet one has to do, with room for what load costs.
    bool busyIsKnown(const Baseline& past) { return countOf(past.busy) >= leastLatencyAnswers; }

    void addLatencies(StretchBaseline& out, Stream stream, RolloutRoute& route, const Tally& old, const Baseline& past, double factor)
    {
        const bool fromBusy = stream == Stream::Busy && busyIsKnown(past);
        const LatencyBins& history = fromBusy ? past.busy : past.quiet;
        if (countOf(history) < leastLatencyAnswers)
            return;
        const LatencyBins stretch = binsOf(fromBusy ? old.busy : old.quiet);
        const double room = stream == Stream::Busy && !fromBusy ? unknownLoadFactor : 1;
        const size_t slow = stream == Stream::Quiet ? 1 : 2;
        addLatency(out, slow, route.recent[slow], stretch, history, factor * room);
        addLatency(out, slow + 2, route.recent[slow + 2], stretch, history, factor * room * stallFactor);
    }

    StretchBaseline baselineOf(Stream stream, RolloutRoute& route, const Tally& old, const Baseline& past, const config::RegressionThresholds& bad)
    {
        StretchBaseline out;
        if (stream == Stream::All)
            out.rates[0] = baselineRate(route.recent[0], static_cast<double>(old.failures), static_cast<double>(old.answers), past.failures, past.answers);
        else
            addLatencies(out, stream, route, old, past, static_cast<double>(bad.latencyPercent) / 100);
        return out;
    }

    // Fresh answers of one host against the old version's of the same stretch; zero for kinds without a baseline here.
    std::array<Ratios, badnessKinds> compare(const Tally& fresh, const StretchBaseline& it, const config::RegressionThresholds& bad)
    {
        std::array<Ratios, badnessKinds> out {};
        for (size_t kind = 0; kind < badnessKinds; ++kind) {
            if (it.rates[kind] < 0)
                continue;
            const Limits limits = limitsOf(static_cast<BadnessKind>(kind), bad);
            const auto alternatives = alternativesFor(it.rates[kind], limits.slack, limits.badness);
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
        for (const auto& [key, byIncarnation] : state.book.tallies) {
            if (key.route == route && key.version == version)
                sum += totalOf(state.book, key);
        }
        return sum;
    }

    void addTo(std::array<SequentialTest, badnessKinds>& tests, const std::array<Ratios, badnessKinds>& ratios)
    {
        for (size_t kind = 0; kind < badnessKinds; ++kind)
            addRatios(tests[kind], ratios[kind]);
    }

    void compareStretch(RolloutState& state, const base::RouteName& name, Stream stream, const config::Rollout& plan, base::WallTime now)
    {
        RolloutRoute& route = state.routes[name];
        Compared& compared = route.compared.at(static_cast<size_t>(stream));
        const Tally oldSum = oldTotal(state, name, plan.from);
        const Tally old = oldSum - compared.old;
        const base::Duration longest = stream == Stream::All ? longestStretch : longestLatencyStretch;
        if (answersOf(old, stream, route.baseline) < oldAnswersPerStretch && now - compared.at < longest)
            return;
        const Baseline past = route.baseline;
        decayInto(route.baseline, old, stream);
        const bool begun = past.answers > 0 || stream != Stream::All;
        const StretchBaseline expected = baselineOf(stream, route, old, begun ? past : route.baseline, plan.thresholds);
        std::array<Ratios, badnessKinds> sum {};
        for (const auto& [key, byIncarnation] : state.book.tallies) {
            if (key.route != name || key.version != plan.to)
                continue;
            const Tally total = totalOf(state.book, key);
            const std::array<Ratios, badnessKinds> ratios = compare(total - compared.fresh[key.host], expected, plan.thresholds);
            compared.fresh[key.host] = total;
            addTo(route.hostTests[key.host], ratios);
            addTo(state.allRoutesByHost[key.host], ratios);
            for (size_t kind = 0; kind < badnessKinds; ++kind)
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
        for (const auto& [key, byIncarnation] : state.book.tallies) {
            if (key.version == version)
                answers[key.host] += totalOf(state.book, key).answers;
        }
        return static_cast<size_t>(std::count_if(answers.begin(), answers.end(), [](const auto& it) { return it.second >= answersOfCountedHost; }));
    }

    // What is left of a score when its worst host is set aside. A noisy neighbour makes one host slow, a bad version all.
    double scoreWithoutWorst(const std::array<SequentialTest, badnessKinds>& tests, size_t kind,
        const std::map<base::HostId, std::array<SequentialTest, badnessKinds>>& hosts)
    {
        double worst = 0;
        for (const auto& [host, it] : hosts)
            worst = std::max(worst, it[kind].score());
        return tests[kind].score() - worst;
    }

    const char* nameOf(size_t kind)
    {
        constexpr std::array<const char*, badnessKinds> names { "fails more often", "is slower", "is slower under load", "stalls more often",
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
        for (const auto& [key, byIncarnation] : state.book.tallies) {
            if (where != "all routes" && key.route.text != where)
                continue;
            if (key.version == plan.to)
                fresh += totalOf(state.book, key);
            if (key.version == plan.from)
                old += totalOf(state.book, key);
        }
        return "version " + plan.to.text + " " + nameOf(kind) + " than " + plan.from.text + " on " + where + ": "
            + percent(fresh.failures, fresh.answers) + " of " + std::to_string(fresh.answers) + " answers failed, "
            + percent(old.failures, old.answers) + " of " + std::to_string(old.answers) + " before";
    }

    struct Verdict {
        double worst = 0; // highest score found
        std::string why; // not empty: bad
    };

    Verdict judgeTests(const RolloutState& state, const config::Rollout& plan)
    {
        const bool several = countedHosts(state, plan.to) > 1;
        Verdict out;
        const auto judge = [&](const auto& tests, const auto& hosts, const std::string& where) {
            for (size_t kind = 0; kind < badnessKinds; ++kind) {
                const double score = tests[kind].score();
                out.worst = std::max(out.worst, score);
                const bool alone = several && scoreWithoutWorst(tests, kind, hosts) < state.settings.leanScore / 2;
                if (out.why.empty() && score >= state.settings.takeBackScore && !alone)
                    out.why = describe(state, plan, kind, where);
            }
        };
        for (const auto& [name, route] : state.routes)
            judge(route.tests, route.hostTests, name.text);
        judge(state.allRoutes, state.allRoutesByHost, "all routes");
        return out;
    }

    // More than half of the hosts that run it have stopped it by themselves.
    bool stoppedByHosts(const RolloutState& state, const base::UpstreamVersion& version)
    {
        const auto stopped = state.book.stopped.find(version);
        const auto hosts = state.book.hosts.find(version);
        if (stopped == state.book.stopped.end())
            return false;
        const size_t all = hosts == state.book.hosts.end() ? 0 : hosts->second.size();
        return 2 * stopped->second.size() > all;
    }

    bool failsWhileCold(const RolloutState& state, const base::UpstreamVersion& version)
    {
        Tally sum;
        for (const auto& [key, byIncarnation] : state.book.tallies) {
            if (key.version == version)
                sum += totalOf(state.book, key);
        }
        return sum.coldFailures >= mostColdFailures && 2 * sum.coldFailures > sum.coldAnswers;
    }

    bool proven(const RolloutState& state, const base::UpstreamVersion& version)
    {
        std::map<base::RouteName, uint64_t> answers;
        for (const auto& [key, byIncarnation] : state.book.tallies) {
            if (key.version == version)
                answers[key.route] += totalOf(state.book, key).answers;
        }
        return !answers.empty() && std::all_of(answers.begin(), answers.end(), [&](const auto& it) { return it.second >= state.settings.provenAnswers; });
    }

    // A completed rollout lets operators stop the old version at once. What it was given before the last step has ended by
    // then, and the step has reached every node; completed with the last step, a third of the traffic was cut.
    constexpr base::Duration lastRunsEnd { 1500 };

    // From the end of the last runs to what whoever asked sees as completed: the commit of it (50 ms on a thirteenth of a core,
    // 300 ms with a new leader) and the way of the first request, which is older than the moment from which we count.
    constexpr base::Duration completionMargin { 750 };

    RolloutStep keep(const config::Rollout& plan, std::string why) { return { RolloutAction::Keep, plan.share, std::move(why) }; }

    const RolloutRung* nextRung(const RolloutState& state, const config::Rollout& plan)
    {
        for (const RolloutRung& it : state.settings.ladder) {
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

    // When a rung is due also without proof. In a rollout of seconds its fraction of the time is too late: each share is held
    // for `leastDwell`, so four of them and the end took 14.1 s at least and a good version asked for within 15 s came late.
    // Counted back from the end, the shares below the whole stay as small as long as can be.
    base::WallTime latestFor(const RolloutState& state, const config::Rollout& plan, const RolloutRung* rung)
    {
        base::WallTime latest = plan.completeBy + (lastRunsEnd + completionMargin) * -1;
        for (const RolloutRung* it = &state.settings.ladder.back();; --it) {
            latest = std::min(latest, at(state, plan, it->latest));
            if (it == rung)
                return latest;
            latest = latest + state.settings.leastDwell * -1;
        }
    }

    // Upstreams that restart are away for about as long, and a new leader hears of all within it.
    constexpr base::Duration lackingIsFinal { 3000 };

    // Operators may stop the old upstreams once the rollout has completed.
    bool carryAll(const VersionUpstreams& it) { return it.to > 0 && 2 * it.to >= it.from; }

    std::string describe(const VersionUpstreams& it, const config::Rollout& plan)
    {
        return std::to_string(it.to) + " upstreams of version " + plan.to.text + " are ready beside " + std::to_string(it.from) + " of " + plan.from.text;
    }

    // Whether the time is up and the new version's upstreams have been too few for a while. Without any of the old version
    // control has not heard of the upstreams yet, or there is nothing to go back to.
    bool lacksUpstreams(RolloutState& state, const config::Rollout& plan, const VersionUpstreams& upstreams, base::WallTime now)
    {
        if (carryAll(upstreams) || upstreams.from == 0) {
            state.lackingSince.reset();
            return false;
        }
        if (!state.lackingSince)
            state.lackingSince = now;
        return now >= plan.completeBy && now - *state.lackingSince >= lackingIsFinal;
    }

    RolloutStep climb(RolloutState& state, const config::Rollout& plan, const VersionUpstreams& upstreams, double worst, base::WallTime now)
    {
        const RolloutRung* rung = nextRung(state, plan);
        const bool toAll = !rung || rung == &state.settings.ladder.back();
        if (upstreams.to == 0 || (toAll && !carryAll(upstreams)))
            return keep(plan, describe(upstreams, plan));
        if (!rung) {
            if (now - state.lastRise < lastRunsEnd)
                return keep(plan, "requests still run at the old version");
            return { RolloutAction::Complete, { 1000 }, "all traffic has moved" };
        }
        const bool trial = rung == &state.settings.ladder.front();
        if (!trial && now - state.lastRise < state.settings.leastDwell)
            return keep(plan, "waiting for reports at the present share");
        if (now < at(state, plan, rung->earliest))
            return keep(plan, "too early for the next share");
        const bool due = now >= latestFor(state, plan, rung);
        if (worst >= state.settings.leanScore && now < at(state, plan, lastMoment))
            return keep(plan, "the evidence leans against the version, though not far enough to take it back");
        if (!trial && !due && !proven(state, plan.to))
            return keep(plan, "too few answers yet to raise the share ahead of the schedule");
        state.lastRise = now;
        base::PerMille share = rung->share;
        if (trial)
            share = std::min(share, std::max(plan.maxTrialShare, base::PerMille { 1 }));
        return { RolloutAction::Raise, share, due ? "the schedule asks for it and nothing speaks against it" : "proven on every route" };
    }

} // namespace

RolloutSettings rolloutSettings(config::OptimizationGoal weighing)
{
    RolloutSettings out;
    out.takeBackScore = 9;
    out.leanScore = 4;
    out.provenAnswers = 200;
    if (weighing == config::OptimizationGoal::SpeedAndRollback) {
        out.ladder = { { { 50 }, 0, 0 }, { { 150 }, 0.2, 0.6 }, { { 400 }, 0.35, 0.75 }, { { 1000 }, 0.5, 0.85 } };
    } else {
        out.ladder = { { { 50 }, 0, 0 }, { { 300 }, 0.1, 0.3 }, { { 1000 }, 0.3, 0.8 } };
    }
    return out;
}

RolloutState startRollout(RolloutSettings settings, const RolloutTimes& times)
{
    RolloutState state;
    state.settings = std::move(settings);
    state.startedAt = times.startedAt;
    state.lastRise = times.sharedAt;
    return state;
}

void onEvidence(RolloutState& state, const config::Evidence& evidence)
{
    mergeEvidence(state.book, evidence);
    state.routes[evidence.route];
}

RolloutStep stepRollout(RolloutState& state, const config::Rollout& plan, const VersionUpstreams& upstreams, base::WallTime now, bool controlReachable)
{
    if (state.final)
        return *state.final;
    for (const auto& [name, route] : state.routes) {
        for (Stream stream : { Stream::All, Stream::Quiet, Stream::Busy })
            compareStretch(state, name, stream, plan, now);
    }
    Verdict verdict = judgeTests(state, plan);
    if (verdict.why.empty() && stoppedByHosts(state, plan.to))
        verdict.why = "most hosts of version " + plan.to.text + " stopped it by their own evidence";
    if (verdict.why.empty() && failsWhileCold(state, plan.to))
        verdict.why = "version " + plan.to.text + " fails while it starts and does not get warm";
    if (verdict.why.empty() && lacksUpstreams(state, plan, upstreams, now))
        verdict.why = "the time is up and " + describe(upstreams, plan);
    if (!verdict.why.empty()) {
        state.final = RolloutStep { RolloutAction::TakeBack, { 0 }, verdict.why };
        return *state.final;
    }
    if (!controlReachable)
        return keep(plan, "control is not reachable, so the share stays");
    RolloutStep step = climb(state, plan, upstreams, verdict.worst, now);
    if (step.action == RolloutAction::Complete)
        state.final = step;
    return step;
}

} // namespace appletally::policy
