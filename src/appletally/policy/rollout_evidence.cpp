// Counts the answers of the current share; the thresholds stand here.
#include "appletally/policy/rollout_evidence.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace appletally::policy {

namespace {

    // Answers since the share was set, as reported to this leader.
    struct AnswersAtShare {
        uint64_t fresh = 0; // of the new version, cold start excluded
        uint64_t all = 0; // of both versions, cold start included
    };

    // Warm answers on a route that allow the last step and the completion: in as many the tests detect a version that fails
    // or stalls in one answer of five. Fewer are enough on a route with little traffic.
    constexpr double minAnswersAtShare = 40;
    // Part of the answers expected at its share that the new version must have given, less one for chance.
    constexpr double answeredPart = 0.5;

    // Answers at the current share from which on more of them settle a suspicion within seconds.
    constexpr uint64_t minAnswersToSettle = 20;

    // A rollout that is late gains nothing by haste. So many warm answers detect a version that is slow on a part of them,
    // and those that take longest are among them. A service without traffic has nothing to wait for.
    constexpr uint64_t minAnswersWhenLate = 150;
    constexpr base::Duration maxStepDurationWhenLate { 10'000 };

    // A leader without reports cannot tell a service without traffic from reports that have not arrived yet. After a
    // restart of all processes nodes report within this time.
    constexpr base::Duration maxReportDelay { 5000 };

    std::map<base::RouteName, AnswersAtShare> answersAtShare(const RolloutState& state, const config::Rollout& plan)
    {
        std::map<base::RouteName, AnswersAtShare> out;
        for (const auto& [key, total] : reportedAnswers(state)) {
            const auto& [route, version] = key;
            if (version != plan.to && version != plan.from)
                continue;
            const auto before = state.beforeShare.find(key);
            const ReportedAnswers known = before == state.beforeShare.end() ? ReportedAnswers {} : before->second;
            out[route].fresh += version == plan.to ? total.warm - known.warm : 0;
            out[route].all += total.all - known.all;
        }
        return out;
    }

    bool isObservedAtShare(const RolloutState& state, const config::Rollout& plan)
    {
        const std::map<base::RouteName, AnswersAtShare> answers = answersAtShare(state, plan);
        return std::all_of(answers.begin(), answers.end(), [&](const auto& entry) {
            const AnswersAtShare& it = entry.second;
            const double wanted = static_cast<double>(it.all) * plan.share.value / 1000 * answeredPart - 1;
            return static_cast<double>(it.fresh) >= std::floor(std::min(wanted, minAnswersAtShare));
        });
    }

    AnswersAtShare sumAtShare(const RolloutState& state, const config::Rollout& plan)
    {
        AnswersAtShare out;
        for (const auto& [route, it] : answersAtShare(state, plan)) {
            out.fresh += it.fresh;
            out.all += it.all;
        }
        return out;
    }

} // namespace

std::map<std::pair<base::RouteName, base::UpstreamVersion>, ReportedAnswers> reportedAnswers(const RolloutState& state)
{
    std::map<std::pair<base::RouteName, base::UpstreamVersion>, ReportedAnswers> out;
    for (const auto& [key, byIncarnation] : state.evidence.tallies) {
        const Tally sum = totalOf(state.evidence, key);
        ReportedAnswers& it = out[{ key.route, key.version }];
        it.warm += sum.answers;
        it.all += sum.answers + sum.coldAnswers;
    }
    return out;
}

void noteFirstReport(RolloutState& state, const config::Evidence& evidence)
{
    const auto known = state.evidence.tallies.find({ evidence.host, evidence.route, evidence.version });
    if (known != state.evidence.tallies.end() && known->second.contains(evidence.incarnation))
        return;
    ReportedAnswers& before = state.beforeShare[{ evidence.route, evidence.version }];
    before.warm += evidence.answers;
    before.all += evidence.answers + evidence.coldAnswers;
}

void noteReports(RolloutState& state, const config::Rollout& plan, base::WallTime now)
{
    const bool first = !state.leadsSince;
    state.leadsSince = state.leadsSince.value_or(now);
    if (state.reportsSince)
        return;
    uint64_t fresh = 0;
    for (const auto& [key, it] : reportedAnswers(state))
        fresh += key.second == plan.to ? it.warm : 0;
    if (first && (plan.share.value == 0 || static_cast<double>(fresh) >= minAnswersAtShare))
        state.reportsSince = state.lastRaise;
    else if (!state.evidence.tallies.empty())
        state.reportsSince = now;
}

bool haveReportsArrived(const RolloutState& state, base::Duration time, base::WallTime now)
{
    const base::WallTime known = state.reportsSince.value_or(*state.leadsSince + maxReportDelay);
    return now - std::max(state.lastRaise, known) >= time;
}

bool mayTakeLastSteps(const RolloutState& state, const config::Rollout& plan, base::WallTime now)
{
    const bool late = now >= plan.completeBy;
    const AnswersAtShare answers = sumAtShare(state, plan);
    const bool tookOver = *state.leadsSince > state.lastRaise; // callers may still be on their way back
    const bool isQuiet = answers.all < minAnswersToSettle && haveReportsArrived(state, tookOver ? maxReportDelay : base::Duration {}, now);
    const bool enough = !late || isQuiet || answers.fresh >= minAnswersWhenLate || haveReportsArrived(state, maxStepDurationWhenLate, now);
    return enough && isObservedAtShare(state, plan);
}

bool answersSettleSoon(const RolloutState& state, const config::Rollout& plan)
{
    return sumAtShare(state, plan).fresh >= minAnswersToSettle;
}

std::string describeEvidence(const RolloutState& state, const config::Rollout& plan, double worst)
{
    const AnswersAtShare sum = sumAtShare(state, plan);
    std::array<char, 32> score {};
    std::snprintf(score.data(), score.size(), "%.1f", worst);
    return std::to_string(sum.fresh) + " warm answers of " + plan.to.text + " among " + std::to_string(sum.all) + " at the share before, score " + score.data();
}

} // namespace appletally::policy
