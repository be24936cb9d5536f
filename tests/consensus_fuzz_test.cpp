// Randomized faults on the replicated log, checked against the expected history by the oracle.
//
// Uses fixed seeds; under scripts/fuzz (APPLETALLY_FUZZ is set) the seeds of RC_PARAMS.
#include "consensus_cluster.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace appletally::consensus;
using namespace appletally::consensus::testing;

// Only what decides whether a command is useful: which hosts are down or frozen.
struct ModelState {
    uint32_t hosts = 0;
    std::set<uint32_t> down;
    std::set<uint32_t> frozen;
};

struct ClusterCommand : rc::state::Command<ModelState, Cluster> {
    Action action;

    explicit ClusterCommand(Action it)
        : action(it)
    {
    }
    void checkPreconditions(const ModelState& known) const override
    {
        const bool down = known.down.contains(action.a);
        if (action.what == Op::Start)
            RC_PRE(down);
        if (action.what == Op::Crash || action.what == Op::Freeze)
            RC_PRE(!down);
        if (action.what == Op::Thaw)
            RC_PRE(known.frozen.contains(action.a));
    }
    void apply(ModelState& known) const override
    {
        if (action.what == Op::Crash || action.what == Op::LoseDisk) {
            known.down.insert(action.a);
            known.frozen.erase(action.a);
        }
        if (action.what == Op::Start)
            known.down.erase(action.a);
        if (action.what == Op::StartAll || action.what == Op::ClearFaults)
            known.down.clear();
        if (action.what == Op::Freeze)
            known.frozen.insert(action.a);
        if (action.what == Op::Thaw)
            known.frozen.erase(action.a);
        if (action.what == Op::ClearFaults)
            known.frozen.clear();
    }
    void run(const ModelState&, Cluster& cluster) const override { cluster.run(action); }
    void show(std::ostream& out) const override { out << toString(action); }
};

static uint32_t argumentLimit(Op what, uint32_t hosts)
{
    switch (what) {
    case Op::Run:
    case Op::AdvanceClock:
        return 60; // up to four election timeouts, so that leaders change during other operations
    case Op::Deliver:
    case Op::Drop:
    case Op::Duplicate:
        return 12;
    case Op::Partition:
    case Op::Outage:
        return 1U << hosts;
    case Op::Noise:
        return 50;
    case Op::Propose:
    case Op::Read:
        return 3 * hosts; // mostly to the leader
    default:
        return hosts;
    }
}

static rc::Gen<std::shared_ptr<const rc::state::Command<ModelState, Cluster>>> anyCommand(const ModelState& known)
{
    const uint32_t hosts = known.hosts;
    const auto what = rc::gen::weightedElement<Op>({ { 70, Op::Run }, { 4, Op::AdvanceClock }, { 60, Op::Propose }, { 8, Op::Read },
        { 16, Op::Deliver }, { 4, Op::Drop }, { 3, Op::Duplicate }, { 8, Op::Sync }, { 3, Op::Crash }, { 6, Op::Start },
        { 3, Op::LoseDisk }, { 3, Op::Freeze }, { 4, Op::Thaw }, { 4, Op::CutLink }, { 6, Op::RestoreLinks }, { 8, Op::AddReplica }, { 2, Op::RemoveReplica },
        { 4, Op::TakeSnapshot }, { 4, Op::StallDisk }, { 5, Op::ResumeDisk }, { 5, Op::Partition }, { 2, Op::Outage }, { 12, Op::StartAll }, { 6, Op::Noise },
        { 6, Op::CrashAfter }, { 12, Op::ClearFaults } });
    const auto action = rc::gen::mapcat(what, [hosts](Op it) {
        const uint32_t limit = argumentLimit(it, hosts);
        // The whole range of arguments in short runs too.
        const auto upTo = [](uint32_t n) { return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint32_t>(0, n)); };
        return rc::gen::construct<Action>(rc::gen::just(it), upTo(limit), upTo(it == Op::CrashAfter ? 40 : hosts));
    });
    return rc::gen::map(action, [](Action it) -> std::shared_ptr<const rc::state::Command<ModelState, Cluster>> { return std::make_shared<ClusterCommand>(it); });
}

static uint64_t stepsTaken = 0;

static void property(bool oneReplicaPerHost, size_t maxVoters)
{
    const auto hosts = *rc::gen::element<uint32_t>(3, 4, 5);
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    Cluster cluster(hosts, seed, { 150 }, oneReplicaPerHost, maxVoters);
    try {
        cluster.run({ Op::Run, 40, 0 }); // starts with a leader
        rc::state::check(ModelState { hosts, {}, {} }, cluster, anyCommand);
        cluster.settle();
    } catch (const InvariantViolation& it) {
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

TEST_CASE("under any sequence of faults replicas agree, accepted entries are kept, and progress resumes", "[consensus][fuzz]")
{
    // Guards against accepted versions that are lost and nodes that apply different versions. Crashes, lost disks,
    // frozen processes, partitions and reordered messages occur in any order while operators submit and read.
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
