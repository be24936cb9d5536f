// Rollouts whose evidence is missing: a loss of all processes takes the counters of nodes and the tests of the leader.
#include "appletally/policy/rollout.h"

#include <catch2/catch.hpp>

using namespace appletally;
using namespace appletally::policy;

namespace {

constexpr base::WallTime completeBy { 15'500 };
constexpr base::WallTime restarted { 14'500 };
constexpr size_t typicalBin = 12;
constexpr size_t slowBin = 18; // eight times as long

// A service after a loss of all processes: its leader is new, its upstreams are cold, its rollout is nearly due.
struct Restarted {
    Restarted()
    {
        plan.id = { "r" };
        plan.service = { "plugs" };
        plan.from = { "old" };
        plan.to = { "new" };
        plan.completeBy = completeBy;
        plan.share = { 50 };
    }

    struct Answers {
        int perSecond = 75;
        base::Duration coldFor { 5000 };
        double slowPart = 0; // of the new version's answers
    };

    // Returns the first decision that ends the rollout, or Keep if there is none.
    RolloutAction play(const Answers& answers, base::Duration duration)
    {
        for (; now - restarted < duration; now = now + step) {
            send(answers);
            last = decideRollout(state, plan, { 4, 4 }, now, true);
            if (last.action == RolloutAction::Raise)
                plan.share = last.share;
            else if (last.action != RolloutAction::Keep)
                return last.action;
        }
        return RolloutAction::Keep;
    }

    void send(const Answers& answers)
    {
        const bool cold = now - restarted < answers.coldFor;
        sent += static_cast<double>(answers.perSecond * step.ms) / 1000;
        for (; sent >= 1; --sent, ++turn) {
            // Spreads the new version's share evenly over the answers.
            fresh += static_cast<double>(plan.share.value) / 1000;
            const bool toNew = fresh >= 1;
            fresh -= toNew ? 1 : 0;
            config::Evidence& it = counters[(toNew ? 0 : 4) + turn % 4];
            it.host = { (toNew ? "new" : "old") + std::to_string(turn % 4) };
            it.incarnation = { 2 };
            it.service = plan.service;
            it.route = { "route" };
            it.version = toNew ? plan.to : plan.from;
            if (cold) {
                ++it.coldAnswers;
            } else {
                ++it.answers;
                slow += toNew ? answers.slowPart : 0;
                ++it.latency[slow >= 1 ? slowBin : typicalBin];
                slow -= slow >= 1 ? 1 : 0;
            }
        }
        for (const auto& [host, it] : counters)
            onEvidence(state, it);
    }

    static constexpr base::Duration step { 200 };
    RolloutState state = startRollout(rolloutSettings(config::OptimizationGoal::SpeedAndRollback), { {}, { 1500 } });
    config::Rollout plan;
    base::WallTime now = restarted;
    std::map<size_t, config::Evidence> counters;
    double sent = 0;
    double fresh = 0;
    double slow = 0;
    size_t turn = 0;
    RolloutDecision last;
};

} // namespace

TEST_CASE("a rollout whose evidence was lost does not complete before the new version has given warm answers", "[rollout][recovery]")
{
    // Guards against a bad version that completes, and cannot be rolled back any more, because a loss of all processes
    // took the evidence against it and the schedule was due.
    Restarted service;
    REQUIRE(service.play({ .slowPart = 1 }, { 30'000 }) == RolloutAction::RollBack);
    CHECK(service.plan.share < base::PerMille { 1000 });

    Restarted moved; // callers return slowly
    moved.plan.share = { 1000 };
    CHECK(moved.play({ .perSecond = 1 }, { 4000 }) == RolloutAction::Keep);
}

TEST_CASE("a rollout that is late takes its last step on enough answers to detect a version that is partly slow", "[rollout]")
{
    // Guards against a bad version that completes on the first answers at its last share, which are the fast ones.
    Restarted service;
    service.plan.share = { 400 };
    const Restarted::Answers answers { .perSecond = 60, .coldFor = {} }; // 24 a second of the new version
    service.play(answers, { 5000 });
    CHECK(service.plan.share == base::PerMille { 400 });
    service.play(answers, { 8000 });
    CHECK(service.plan.share == base::PerMille { 1000 });
}

TEST_CASE("a good version completes after its evidence was lost, also without traffic", "[rollout][recovery]")
{
    // Guards against a rollout that waits forever for answers: of a version that is good, or of a service that nobody calls.
    for (const int perSecond : { 75, 5, 0 }) {
        Restarted service;
        INFO(perSecond << " answers a second");
        CHECK(service.play({ .perSecond = perSecond }, { 40'000 }) == RolloutAction::Complete);
    }
}

TEST_CASE("the last step of a rollout waits while the evidence points against the version, also when it is due", "[rollout]")
{
    // Guards against a bad version that completes because its score reaches the hold score and not yet the rollback
    // score when its time is up.
    Restarted service;
    service.plan.share = { 400 };
    REQUIRE(service.play({ .coldFor = {} }, { 1000 }) == RolloutAction::Keep);
    service.state.allRoutes[0].scores = { 6, 6, 6 };
    service.now = completeBy + base::Duration { 5000 };
    CHECK(decideRollout(service.state, service.plan, { 4, 4 }, service.now, true).action == RolloutAction::Keep);
    service.plan.share = { 1000 };
    CHECK(decideRollout(service.state, service.plan, { 4, 4 }, service.now, true).action == RolloutAction::Keep);
}
