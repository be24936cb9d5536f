// Simulation of a small service during a rollout: callers' requests from a seeded random stream, hosts of the old and
// new version with their local version monitors, reports that are late, lost, duplicated and reordered, and control
// with one rollout.
//
// Tests check invariants with it, bench/measure_rollout.cpp takes figures. Time advances in steps of 50 ms; no clock is
// read.
#pragma once

#include "appletally/policy/local_version_monitor.h"
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

// Fault of the new version, if any. Fractions are of the time until completeBy.
struct Fault {
    double failures = 0; // additional share of failed answers
    double slower = 1; // multiple of the run time
    double stalls = 0; // share of answers that take twenty times as long
    double from = 0; // begins at this fraction of the time
    bool onlyBusy = false; // occurs only where most slots are taken
    int onlyRoute = -1; // occurs only on this route
    bool neverWarm = false; // the process crashes again and again during cold start
    bool bad() const { return failures > 0 || slower >= 2 || stalls > 0 || neverWarm; }
};

// External conditions of both versions.
struct Conditions {
    bool coldStart = false; // the first answers of a new process fail or take long
    bool overload = false; // both versions are temporarily slow and fail
    bool routeOutage = false; // a dependency of one route fails temporarily, for both versions
    bool newBusier = false; // the new version's hosts have their slots taken more often, which costs time
    bool noisyNeighbour = false; // one new host is temporarily three times as slow
    bool controlGone = false; // control is unreachable for a quarter of the time, from a tenth on
};

struct Case {
    uint64_t seed = 1;
    double perSecond = 50; // requests, all routes
    Fault fault;
    Conditions conditions;
    config::OptimizationGoal weighing = config::OptimizationGoal::SpeedAndRollback;
    Duration window { 300'000 }; // from start to completeBy
    int newHosts = 3;
    int oldHosts = 6;
    bool localMonitoring = true;
    bool callerBaselines = true; // callers' nodes pass on the old version's recent results
    bool scheduleOnly = false; // for comparison: scheduleOnlySteps by their latest times, no evidence
    bool reportsLost = false; // one in five lost, one in five duplicated, each up to a second late
};

struct RouteCount {
    uint64_t requests = 0;
    uint64_t affected = 0; // by the new version's fault: failed, or slower than the accepted factor
};

struct Outcome {
    RolloutAction end = RolloutAction::Keep;
    std::string reason;
    WallTime endedAt;
    double affectedShare = 0; // share of the worst route's requests in the whole window
    uint64_t affected = 0;
    Duration firstAffectedToZero; // applied share 0, or all hosts of the new version stopped
    Duration decisionToZero;
    bool raisedWithoutControl = false;
    bool ranAfterRollback = false; // the new version got a request a second or more after its rollback
    int raises = 0;
};

// A schedule that ignores evidence, independent of the settings of the policy.
inline const std::vector<RolloutShareStep> scheduleOnlySteps { { { 50 }, 0, 0 }, { { 150 }, 0.2, 0.5 }, { { 350 }, 0.3, 0.6 }, { { 650 }, 0.4, 0.7 }, { { 1000 }, 0.5, 0.85 } };

class RolloutSimulation {
public:
    explicit RolloutSimulation(const Case& it)
        : m_case(it)
        , m_random(it.seed)
        , m_state(startRollout(rolloutSettings(it.weighing), {}))
    {
        if (it.scheduleOnly && it.weighing == config::OptimizationGoal::SpeedAndRollback)
            m_state.settings.steps = scheduleOnlySteps;
        m_plan.service = { "plugs" };
        m_plan.from = { "old" };
        m_plan.to = { "new" };
        m_plan.completeBy = { it.window.ms };
        config::Snapshot snapshot;
        snapshot.rollouts[{ "r" }] = m_plan;
        for (int n = 0; n < it.newHosts + it.oldHosts; ++n) {
            const bool fresh = n < it.newHosts;
            m_hosts.push_back(startLocalVersionMonitor({ "host" + std::to_string(n) }, { 1 }, m_plan.service, fresh ? m_plan.to : m_plan.from, { fresh ? 0 : -60'000 }));
            onSnapshot(m_hosts.back(), snapshot);
        }
    }

    Outcome run()
    {
        // A fifth longer than completeBy: a rollout that control could not complete in time completes late, not never.
        for (; m_now.ms < m_case.window.ms * 6 / 5 && !done(); m_now.ms += stepMs)
            step();
        m_outcome.end = m_final;
        for (const RouteCount& it : m_counts) {
            m_outcome.affected += it.affected;
            const double whole = m_case.perSecond * weightOf(static_cast<int>(&it - m_counts.data())) * static_cast<double>(m_case.window.ms) / 1000;
            m_outcome.affectedShare = std::max(m_outcome.affectedShare, static_cast<double>(it.affected) / std::max(whole, 1.0));
        }
        return m_outcome;
    }

    void step()
    {
        serve();
        report();
        control();
    }

    // For stateful fuzzing, called between steps.
    int share() const { return m_share; }
    RolloutAction final() const { return m_final; }
    const Outcome& seen() const { return m_outcome; }
    bool controlIsGone() const { return controlGone(); }
    void setFault(const Fault& it) { m_case.fault = it; }
    void setControlGone(bool it) { m_controlGone = it; }
    void setReportsLost(bool it) { m_case.reportsLost = it; }
    void advance(Duration duration)
    {
        for (int64_t left = duration.ms; left > 0; left -= stepMs, m_now.ms += stepMs)
            step();
    }
    // A new leader knows the plan and its start from the log, and the evidence only from later reports.
    void changeLeader()
    {
        if (m_final == RolloutAction::Keep)
            m_state = startRollout(m_state.settings, { {}, m_decidedAt });
    }

    static constexpr int64_t stepMs = 50;

private:
    static constexpr int routes = 4;
    static constexpr Duration reportEvery { 200 };
    static constexpr Duration convergence { 400 }; // from a decision until every node has applied it

    // Half of the requests are status reads, the rest rarer routes; run times of 20 to 160 ms.
    static double weightOf(int route) { return std::array { 0.5, 0.3, 0.15, 0.05 }.at(static_cast<size_t>(route)); }
    static double medianOf(int route) { return std::array { 20.0, 40.0, 80.0, 160.0 }.at(static_cast<size_t>(route)); }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    double fraction() const { return static_cast<double>(m_now.ms) / static_cast<double>(m_case.window.ms); }
    bool within(double from, double to) const { return fraction() >= from && fraction() < to; }
    bool done() const { return m_final != RolloutAction::Keep && m_share == m_decidedShare && m_zeroReached; }

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
        // A stopped host rejects the request as not run, and the caller's node sends it to the old version.
        if (m_case.localMonitoring && !mayRun(m_hosts.at(static_cast<size_t>(host))))
            return answer(pick(m_case.newHosts, m_case.oldHosts), route);
        if (toNew && m_final == RolloutAction::RollBack && m_now - m_outcome.endedAt > Duration { 1000 })
            m_outcome.ranAfterRollback = true;
        answer(host, route);
    }

    int pick(int first, int count) { return first + static_cast<int>(uniform() * count); }

    void answer(int host, int route)
    {
        const bool fresh = host < m_case.newHosts;
        LocalVersionMonitor& monitor = m_hosts.at(static_cast<size_t>(host));
        LocalAnswer it;
        it.route = { "route" + std::to_string(route) };
        const bool crowded = m_case.conditions.overload && within(0.3, 0.5);
        const bool busier = m_case.conditions.newBusier && fresh;
        it.busy = uniform() < (crowded ? 0.9 : busier ? 0.8
                                                      : 0.15);
        const double busyCost = m_case.conditions.newBusier ? 3 : 1.4;
        double ms = medianOf(route) * std::exp(0.3 * std::normal_distribution<double>(0, 1)(m_random)) * (it.busy ? busyCost : 1);
        double failing = 0.002;
        if (crowded) {
            ms *= 3;
            failing += 0.2;
        }
        if (m_case.conditions.routeOutage && route == 1 && within(0.2, 0.35))
            failing += 0.8;
        if (m_case.conditions.noisyNeighbour && host == 0 && within(0.1, 0.6))
            ms *= 3;
        const bool cold = fresh && m_case.conditions.coldStart && (monitor.answersSinceReady < 15 && m_now.ms - monitor.readyAt.ms < 4000);
        if (cold) {
            ms *= 8;
            failing += 0.15;
        }
        const bool hit = fresh && applies(it.busy, route);
        if (hit) {
            failing += m_case.fault.failures;
            ms *= m_case.fault.slower * (uniform() < m_case.fault.stalls ? 20 : 1);
        }
        if (fresh && m_case.fault.neverWarm && monitor.answersSinceReady >= 3) {
            failing = 1;
            onUpstreamReady(monitor, { m_now.ms });
        }
        it.failed = uniform() < failing;
        it.run = { static_cast<int64_t>(std::llround(ms)) };
        if (fresh && m_case.fault.bad() && (hit || m_case.fault.neverWarm))
            countHurt(it, route, ms);
        if (m_case.callerBaselines)
            it.old = baselineOf(route);
        if (!fresh)
            m_baselines.at(static_cast<size_t>(route)).add(it);
        onLocalAnswer(monitor, it, { m_now.ms });
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
        ++m_counts.at(static_cast<size_t>(route)).affected;
        if (m_firstAffected.ms < 0)
            m_firstAffected = m_now;
    }

    // A caller's node's averages of the old version: about its last hundred answers on the route.
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
            for (const LocalVersionMonitor& host : m_hosts) {
                for (config::Evidence& it : evidenceReports(host))
                    sendReport(std::move(it));
            }
        }
        for (size_t n = 0; n < m_reports.size();) {
            if (m_reports[n].first > m_now) {
                ++n;
                continue;
            }
            if (!m_case.scheduleOnly)
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

    bool controlGone() const { return m_controlGone || (m_case.conditions.controlGone && within(0.1, 0.35)); }

    void control()
    {
        if (m_share != m_decidedShare && m_now >= m_appliedAt) {
            m_outcome.raisedWithoutControl |= m_decidedShare > m_share && controlGone() && m_now - m_decidedAt > convergence;
            m_share = m_decidedShare;
        }
        const bool allStopped = std::all_of(m_hosts.begin(), m_hosts.begin() + m_case.newHosts, [](const LocalVersionMonitor& it) { return !mayRun(it); });
        if ((m_share == 0 && m_final == RolloutAction::RollBack) || (m_case.localMonitoring && allStopped))
            recordZero();
        if (m_final == RolloutAction::Complete)
            m_zeroReached = true;
        if (m_final != RolloutAction::Keep)
            return;
        m_plan.share = { m_decidedShare };
        const RolloutDecision step = decideRollout(m_state, m_plan, { static_cast<size_t>(m_case.newHosts), static_cast<size_t>(m_case.oldHosts) }, m_now, !controlGone());
        if (step.action == RolloutAction::Keep)
            return;
        if (controlGone() && step.action != RolloutAction::RollBack)
            m_outcome.raisedWithoutControl = true;
        if (controlGone())
            return; // no new version can be committed
        m_outcome.raises += step.action == RolloutAction::RollBack ? 0 : 1;
        m_decidedShare = step.share.value;
        m_decidedAt = m_now;
        m_appliedAt = m_now + convergence;
        if (step.action != RolloutAction::Raise)
            finish(step);
    }

    void finish(const RolloutDecision& step)
    {
        m_final = step.action;
        m_outcome.reason = step.reason;
        m_outcome.endedAt = m_now;
    }

    void recordZero()
    {
        if (m_zeroReached)
            return;
        m_zeroReached = true;
        m_outcome.firstAffectedToZero = m_firstAffected.ms < 0 ? Duration {} : m_now - m_firstAffected;
        m_outcome.decisionToZero = m_final == RolloutAction::RollBack ? m_now - m_outcome.endedAt : Duration {};
    }

    Case m_case;
    std::mt19937_64 m_random;
    WallTime m_now { 0 };
    RolloutState m_state;
    config::Rollout m_plan;
    std::vector<LocalVersionMonitor> m_hosts; // hosts of the new version first
    std::array<Recent, routes> m_baselines;
    std::array<RouteCount, routes> m_counts {};
    std::vector<std::pair<WallTime, config::Evidence>> m_reports; // in transit to control
    int m_share = 0; // applied
    int m_decidedShare = 0; // decided
    WallTime m_decidedAt;
    WallTime m_appliedAt;
    WallTime m_firstAffected { -1 };
    RolloutAction m_final = RolloutAction::Keep;
    bool m_zeroReached = false;
    bool m_controlGone = false;
    Outcome m_outcome;
};

} // namespace rollout_test
