// A service during a rollout, small: callers' requests by a seeded random stream, hosts of the old and new version with
// their local verdicts, reports that are late, lost, doubled and crossed, and control with one rollout.
//
// Tests ask it for promises, bench/measure_rollout.cpp for figures. Time runs in steps of 50 ms; no clock is read.
#pragma once

#include "appletally/policy/local_verdict.h"
#include "appletally/policy/rollout.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace rollout_test {

using namespace appletally;
using namespace appletally::policy;
using base::Duration;
using base::WallTime;

// What is wrong with the new version, if anything. Fractions are of the time until completeBy.
struct Fault {
    double failures = 0; // additional share of failed answers
    double slower = 1; // times the run time
    double stalls = 0; // share of answers that take twenty times as long
    double from = 0; // begins at this fraction of the time
    bool onlyBusy = false; // shows only where most slots are taken
    int onlyRoute = -1; // shows only on this route
    bool neverWarm = false; // the process dies again and again while it is cold
    bool bad() const { return failures > 0 || slower >= 2 || stalls > 0 || neverWarm; }
};

// What happens around both versions.
struct Weather {
    bool coldStart = false; // the first answers of a new process fail or take long
    bool overload = false; // for a while both versions are slow and fail
    bool routeOutage = false; // a dependency of one route fails for a while, for both
    bool newBusier = false; // the new version's hosts have their slots taken more often, which costs time
    bool noisyNeighbour = false; // one new host is three times as slow for a while
    bool controlGone = false; // for a quarter of the time, from a tenth on
};

struct Case {
    uint64_t seed = 1;
    double perSecond = 50; // requests, all routes
    Fault fault;
    Weather weather;
    config::OptimizationGoal weighing = config::OptimizationGoal::SpeedAndRollback;
    Duration window { 300'000 }; // from start to completeBy
    int newHosts = 3;
    int oldHosts = 6;
    bool localVerdicts = true;
    bool callerBaselines = true; // callers' nodes pass on what the old version did lately
    bool byClockOnly = false; // the plain choice: clockLadder by its latest times, no evidence
    bool reportsLost = false; // one in five lost, one in five doubled, each up to a second late
};

struct RouteCount {
    uint64_t requests = 0;
    uint64_t hurt = 0; // by the new version's fault: failed, or slower than the accepted factor
};

struct Outcome {
    RolloutAction end = RolloutAction::Keep;
    std::string why;
    WallTime endedAt;
    double hurtShare = 0; // of the worst route's requests in the whole window
    uint64_t hurt = 0;
    Duration firstBadToZero; // share in force 0, or all hosts of the new version stopped
    Duration decisionToZero;
    bool roseWithoutControl = false;
    bool ranAfterZero = false; // the new version got a request a second or more after it was taken back
    int raises = 0;
};

// What rises by the clock alone, whatever the module's own ladders become.
inline const std::vector<RolloutRung> clockLadder { { { 50 }, 0, 0 }, { { 150 }, 0.2, 0.5 }, { { 350 }, 0.3, 0.6 }, { { 650 }, 0.4, 0.7 }, { { 1000 }, 0.5, 0.85 } };

class World {
public:
    explicit World(const Case& it)
        : m_case(it)
        , m_random(it.seed)
        , m_state(startRollout(rolloutSettings(it.weighing), {}))
    {
        if (it.byClockOnly && it.weighing == config::OptimizationGoal::SpeedAndRollback)
            m_state.settings.ladder = clockLadder;
        m_plan.service = { "plugs" };
        m_plan.from = { "old" };
        m_plan.to = { "new" };
        m_plan.completeBy = { it.window.ms };
        config::Snapshot snapshot;
        snapshot.rollouts[{ "r" }] = m_plan;
        for (int n = 0; n < it.newHosts + it.oldHosts; ++n) {
            const bool fresh = n < it.newHosts;
            m_hosts.push_back(startLocalVerdict({ "host" + std::to_string(n) }, { 1 }, m_plan.service, fresh ? m_plan.to : m_plan.from, { fresh ? 0 : -60'000 }));
            onSnapshot(m_hosts.back(), snapshot);
        }
    }

    Outcome run()
    {
        // Past completeBy by a fifth: a rollout that control could not finish in time ends late, not never.
        for (; m_now.ms < m_case.window.ms * 6 / 5 && !done(); m_now.ms += stepMs)
            step();
        m_out.end = m_final;
        for (const RouteCount& it : m_counts) {
            m_out.hurt += it.hurt;
            const double whole = m_case.perSecond * weightOf(static_cast<int>(&it - m_counts.data())) * static_cast<double>(m_case.window.ms) / 1000;
            m_out.hurtShare = std::max(m_out.hurtShare, static_cast<double>(it.hurt) / std::max(whole, 1.0));
        }
        return m_out;
    }

    void step()
    {
        serve();
        report();
        control();
    }

    // For stateful fuzzing, between steps.
    int share() const { return m_share; }
    RolloutAction final() const { return m_final; }
    const Outcome& seen() const { return m_out; }
    bool controlIsGone() const { return controlGone(); }
    void setFault(const Fault& it) { m_case.fault = it; }
    void setControlGone(bool it) { m_controlGone = it; }
    void setReportsLost(bool it) { m_case.reportsLost = it; }
    void advance(Duration span)
    {
        for (int64_t left = span.ms; left > 0; left -= stepMs, m_now.ms += stepMs)
            step();
    }
    // Another replica leads: it knows the plan and its start from the log, and the evidence from reports to come.
    void changeLeader()
    {
        if (m_final == RolloutAction::Keep)
            m_state = startRollout(m_state.settings, { {}, m_decidedAt });
    }

    static constexpr int64_t stepMs = 50;

private:
    static constexpr int routes = 4;
    static constexpr Duration reportEvery { 200 };
    static constexpr Duration convergence { 400 }; // from a decision to its being in force at every node

    // Half of the requests are status reads, the rest rarer routes; run times of 20 to 160 ms.
    static double weightOf(int route) { return std::array { 0.5, 0.3, 0.15, 0.05 }.at(static_cast<size_t>(route)); }
    static double medianOf(int route) { return std::array { 20.0, 40.0, 80.0, 160.0 }.at(static_cast<size_t>(route)); }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    double fraction() const { return static_cast<double>(m_now.ms) / static_cast<double>(m_case.window.ms); }
    bool within(double from, double to) const { return fraction() >= from && fraction() < to; }
    bool done() const { return m_final != RolloutAction::Keep && m_share == m_wanted && m_zeroSeen; }

    void serve()
    {
        const int arrivals = std::poisson_distribution<int>(m_case.perSecond * stepMs / 1000)(m_random);
        for (int n = 0; n < arrivals; ++n)
            serveOne();
    }

    int pickRoute()
    {
        double left = uniform();
        for (int route = 0; route + 1 < routes; ++route) {
            left -= weightOf(route);
            if (left < 0)
                return route;
        }
        return routes - 1;
    }

    void serveOne()
    {
        const int route = pickRoute();
        ++m_counts.at(static_cast<size_t>(route)).requests;
        const bool toNew = uniform() * 1000 < m_share;
        const int host = toNew ? pick(0, m_case.newHosts) : pick(m_case.newHosts, m_case.oldHosts);
        // A stopped host refuses truly, and the caller's node goes to the old version.
        if (m_case.localVerdicts && !mayRun(m_hosts.at(static_cast<size_t>(host))))
            return answer(pick(m_case.newHosts, m_case.oldHosts), route);
        if (toNew && m_final == RolloutAction::TakeBack && m_now - m_out.endedAt > Duration { 1000 })
            m_out.ranAfterZero = true;
        answer(host, route);
    }

    int pick(int first, int count) { return first + static_cast<int>(uniform() * count); }

    void answer(int host, int route)
    {
        const bool fresh = host < m_case.newHosts;
        LocalVerdict& verdict = m_hosts.at(static_cast<size_t>(host));
        LocalAnswer it;
        it.route = { "route" + std::to_string(route) };
        const bool crowded = m_case.weather.overload && within(0.3, 0.5);
        const bool busier = m_case.weather.newBusier && fresh;
        it.busy = uniform() < (crowded ? 0.9 : busier ? 0.8
                                                      : 0.15);
        const double busyCost = m_case.weather.newBusier ? 3 : 1.4;
        double ms = medianOf(route) * std::exp(0.3 * std::normal_distribution<double>(0, 1)(m_random)) * (it.busy ? busyCost : 1);
        double failing = 0.002;
        if (crowded) {
            ms *= 3;
            failing += 0.2;
        }
        if (m_case.weather.routeOutage && route == 1 && within(0.2, 0.35))
            failing += 0.8;
        if (m_case.weather.noisyNeighbour && host == 0 && within(0.1, 0.6))
            ms *= 3;
        const bool cold = fresh && m_case.weather.coldStart && (verdict.answersSinceReady < 15 && m_now.ms - verdict.readyAt.ms < 4000);
        if (cold) {
            ms *= 8;
            failing += 0.15;
        }
        const bool hit = fresh && applies(it.busy, route);
        if (hit) {
            failing += m_case.fault.failures;
            ms *= m_case.fault.slower * (uniform() < m_case.fault.stalls ? 20 : 1);
        }
        if (fresh && m_case.fault.neverWarm && verdict.answersSinceReady >= 3) {
            failing = 1;
            onUpstreamReady(verdict, { m_now.ms });
        }
        it.failed = uniform() < failing;
        it.run = { static_cast<int64_t>(std::llround(ms)) };
        if (fresh && m_case.fault.bad() && (hit || m_case.fault.neverWarm))
            countHurt(it, route, ms);
        if (m_case.callerBaselines)
            it.old = baselineOf(route);
        if (!fresh)
            m_baselines.at(static_cast<size_t>(route)).add(it);
        onLocalAnswer(verdict, it, { m_now.ms });
    }

    bool applies(bool busy, int route) const
    {
        const Fault& it = m_case.fault;
        return fraction() >= it.from && (!it.onlyBusy || busy) && (it.onlyRoute < 0 || it.onlyRoute == route);
    }

    void countHurt(const LocalAnswer& it, int route, double ms)
    {
        if (!it.failed && ms < 2 * medianOf(route) * (it.busy ? 1.4 : 1))
            return;
        ++m_counts.at(static_cast<size_t>(route)).hurt;
        if (m_firstBad.ms < 0)
            m_firstBad = m_now;
    }

    // What a caller's node remembers of the old version: its last hundred answers on the route or so.
    struct Recent {
        double failures = 0.002;
        double logMs = 0;
        void add(const LocalAnswer& it)
        {
            const double ms = std::max(1.0, static_cast<double>(it.run.ms));
            failures += ((it.failed ? 1 : 0) - failures) * 0.03;
            logMs += (std::log(ms) - logMs) * (logMs == 0 ? 1 : 0.03);
        }
    };
    CallerBaseline baselineOf(int route) const
    {
        const Recent& it = m_baselines.at(static_cast<size_t>(route));
        return { it.failures, it.logMs == 0 ? 0 : std::exp(it.logMs) };
    }

    void report()
    {
        if (m_now.ms % reportEvery.ms == 0) {
            for (const LocalVerdict& host : m_hosts) {
                for (config::Evidence& it : reportOf(host))
                    sendReport(std::move(it));
            }
        }
        for (size_t n = 0; n < m_reports.size();) {
            if (m_reports[n].first > m_now) {
                ++n;
                continue;
            }
            if (!m_case.byClockOnly)
                onEvidence(m_state, m_reports[n].second);
            m_reports.erase(m_reports.begin() + static_cast<long>(n));
        }
    }

    void sendReport(config::Evidence it)
    {
        if (controlGone())
            return;
        if (!m_case.reportsLost) {
            m_reports.push_back({ m_now + Duration { 50 }, std::move(it) });
            return;
        }
        const double luck = uniform();
        if (luck < 0.2)
            return;
        m_reports.push_back({ m_now + Duration { static_cast<int64_t>(uniform() * 1000) }, it });
        if (luck < 0.4)
            m_reports.push_back({ m_now + Duration { static_cast<int64_t>(uniform() * 1000) }, std::move(it) });
    }

    bool controlGone() const { return m_controlGone || (m_case.weather.controlGone && within(0.1, 0.35)); }

    void control()
    {
        if (m_share != m_wanted && m_now >= m_inForceAt) {
            m_out.roseWithoutControl |= m_wanted > m_share && controlGone() && m_now - m_decidedAt > convergence;
            m_share = m_wanted;
        }
        const bool allStopped = std::all_of(m_hosts.begin(), m_hosts.begin() + m_case.newHosts, [](const LocalVerdict& it) { return !mayRun(it); });
        if ((m_share == 0 && m_final == RolloutAction::TakeBack) || (m_case.localVerdicts && allStopped))
            seeZero();
        if (m_final == RolloutAction::Complete)
            m_zeroSeen = true;
        if (m_final != RolloutAction::Keep)
            return;
        m_plan.share = { m_wanted };
        const RolloutStep step = stepRollout(m_state, m_plan, { static_cast<size_t>(m_case.newHosts), static_cast<size_t>(m_case.oldHosts) }, m_now, !controlGone());
        if (step.action == RolloutAction::Keep)
            return;
        if (controlGone() && step.action != RolloutAction::TakeBack)
            m_out.roseWithoutControl = true;
        if (controlGone())
            return; // nobody agrees on a new version
        m_out.raises += step.action == RolloutAction::TakeBack ? 0 : 1;
        m_wanted = step.share.value;
        m_decidedAt = m_now;
        m_inForceAt = m_now + convergence;
        if (step.action != RolloutAction::Raise)
            finish(step);
    }

    void finish(const RolloutStep& step)
    {
        m_final = step.action;
        m_out.why = step.why;
        m_out.endedAt = m_now;
    }

    void seeZero()
    {
        if (m_zeroSeen)
            return;
        m_zeroSeen = true;
        m_out.firstBadToZero = m_firstBad.ms < 0 ? Duration {} : m_now - m_firstBad;
        m_out.decisionToZero = m_final == RolloutAction::TakeBack ? m_now - m_out.endedAt : Duration {};
    }

    Case m_case;
    std::mt19937_64 m_random;
    WallTime m_now { 0 };
    RolloutState m_state;
    config::Rollout m_plan;
    std::vector<LocalVerdict> m_hosts; // the new version's first
    std::array<Recent, routes> m_baselines;
    std::array<RouteCount, routes> m_counts {};
    std::vector<std::pair<WallTime, config::Evidence>> m_reports; // under way to control
    int m_share = 0; // in force
    int m_wanted = 0; // decided
    WallTime m_decidedAt;
    WallTime m_inForceAt;
    WallTime m_firstBad { -1 };
    RolloutAction m_final = RolloutAction::Keep;
    bool m_zeroSeen = false;
    bool m_controlGone = false;
    Outcome m_out;
};

} // namespace rollout_test
