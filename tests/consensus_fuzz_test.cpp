// The replicated log under random faults, judged by a plain list of what was accepted.
//
// Fixed seeds here; under scripts/fuzz (APPLETALLY_FUZZ is set) those of RC_PARAMS.
#include "consensus_cluster.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace appletally::consensus;
using namespace appletally::consensus::testing;

// Only what makes commands worth trying: which hosts are down or frozen.
struct Known {
    uint32_t hosts = 0;
    std::set<uint32_t> down;
    std::set<uint32_t> frozen;
};

struct Step : rc::state::Command<Known, Cluster> {
    Action action;

    explicit Step(Action it)
        : action(it)
    {
    }
    void checkPreconditions(const Known& known) const override
    {
        const bool down = known.down.contains(action.a);
        if (action.what == Do::Start)
            RC_PRE(down);
        if (action.what == Do::Crash || action.what == Do::Freeze)
            RC_PRE(!down);
        if (action.what == Do::Thaw)
            RC_PRE(known.frozen.contains(action.a));
    }
    void apply(Known& known) const override
    {
        if (action.what == Do::Crash || action.what == Do::LoseDisk) {
            known.down.insert(action.a);
            known.frozen.erase(action.a);
        }
        if (action.what == Do::Start)
            known.down.erase(action.a);
        if (action.what == Do::Return || action.what == Do::Calm)
            known.down.clear();
        if (action.what == Do::Freeze)
            known.frozen.insert(action.a);
        if (action.what == Do::Thaw)
            known.frozen.erase(action.a);
        if (action.what == Do::Calm)
            known.frozen.clear();
    }
    void run(const Known&, Cluster& cluster) const override { cluster.run(action); }
    void show(std::ostream& out) const override { out << text(action); }
};

static uint32_t numbersOf(Do what, uint32_t hosts)
{
    switch (what) {
    case Do::Run:
    case Do::Pass:
        return 60; // up to four election timeouts, so that leaders change in the middle of things
    case Do::Deliver:
    case Do::Drop:
    case Do::Twice:
        return 12;
    case Do::Split:
    case Do::Outage:
        return 1U << hosts;
    case Do::Noise:
        return 50;
    case Do::Propose:
    case Do::Read:
        return 3 * hosts; // mostly to the leader
    default:
        return hosts;
    }
}

static rc::Gen<std::shared_ptr<const rc::state::Command<Known, Cluster>>> anyStep(const Known& known)
{
    const uint32_t hosts = known.hosts;
    const auto what = rc::gen::weightedElement<Do>({ { 70, Do::Run }, { 4, Do::Pass }, { 60, Do::Propose }, { 8, Do::Read },
        { 16, Do::Deliver }, { 4, Do::Drop }, { 3, Do::Twice }, { 8, Do::Sync }, { 3, Do::Crash }, { 6, Do::Start },
        { 3, Do::LoseDisk }, { 3, Do::Freeze }, { 4, Do::Thaw }, { 4, Do::Cut }, { 6, Do::Heal }, { 8, Do::Repair }, { 2, Do::Remove },
        { 4, Do::Compact }, { 4, Do::Slow }, { 5, Do::Fast }, { 5, Do::Split }, { 2, Do::Outage }, { 12, Do::Return }, { 6, Do::Noise },
        { 6, Do::Strike }, { 12, Do::Calm } });
    const auto action = rc::gen::mapcat(what, [hosts](Do it) {
        const uint32_t limit = numbersOf(it, hosts);
        // Numbers of the whole range in short runs too.
        const auto upTo = [](uint32_t n) { return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint32_t>(0, n)); };
        return rc::gen::construct<Action>(rc::gen::just(it), upTo(limit), upTo(it == Do::Strike ? 40 : hosts));
    });
    return rc::gen::map(action, [](Action it) -> std::shared_ptr<const rc::state::Command<Known, Cluster>> { return std::make_shared<Step>(it); });
}

static uint64_t stepsTaken = 0;

static void property(bool oneReplicaPerHost, size_t maxVoters)
{
    const auto hosts = *rc::gen::element<uint32_t>(3, 4, 5);
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    Cluster cluster(hosts, seed, { 150 }, oneReplicaPerHost, maxVoters);
    try {
        cluster.run({ Do::Run, 40, 0 }); // a leader to begin with
        rc::state::check(Known { hosts, {}, {} }, cluster, anyStep);
        cluster.settle();
    } catch (const Broken& it) {
        RC_FAIL(it.what());
    }
    stepsTaken += cluster.steps;
}

static void check(const rc::detail::TestParams& params, bool oneReplicaPerHost, size_t maxVoters = 0)
{
    rc::detail::TestMetadata about;
    about.id = "consensus";
    const auto result = rc::detail::checkTestable([=] { property(oneReplicaPerHost, maxVoters); }, about, params);
    std::ostringstream out;
    rc::detail::printResultMessage(result, out);
    INFO(out.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
}

TEST_CASE("whatever fails, replicas agree, nothing accepted is lost, and progress returns", "[consensus][fuzz]")
{
    // Crashes, lost disks, frozen processes, cuts and messages that cross come in any order while operators submit and
    // read. A user would notice a version that was accepted and is gone, or two nodes that enforce different ones.
    if (std::getenv("APPLETALLY_FUZZ")) {
        check(rc::detail::configuration().testParams, false);
        check(rc::detail::configuration().testParams, true);
        check(rc::detail::configuration().testParams, true, 3);
        return;
    }
    for (const uint64_t seed : { 1, 2, 3, 4, 5, 6 }) {
        CAPTURE(seed);
        check({ .seed = seed, .maxSuccess = 100, .maxSize = 400 }, false);
        check({ .seed = seed, .maxSuccess = 100, .maxSize = 400 }, true);
        check({ .seed = seed, .maxSuccess = 50, .maxSize = 400 }, true, 3);
    }
    std::cout << "consensus: " << stepsTaken << " steps\n";
}
