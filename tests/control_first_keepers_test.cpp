// Formation of the first keeper set while nodes start slowly.
#include "appletally/control/keeper_choice.h"
#include "appletally/policy/claim_keeper.h"

#include <catch2/catch.hpp>

using namespace appletally;

TEST_CASE("the first keeper set forms only after each member has applied a version without keepers", "[control][keepers]")
{
    // Guards against keepers that wait for each other: upstreams announce themselves while their nodes still prove their
    // boot version. If the first version of a node already has keepers, each keeper assumes that it was restarted, and
    // keyed requests are answered with "outcome unknown" until the claim lifetime has passed.
    const std::vector<config::Keeper> members = { { { "a" }, {} }, { { "b" }, {} }, { { "c" }, {} } };
    control::Convergence convergence;
    CHECK_FALSE(control::mayProposeFirstSet(members, convergence));
    control::recordReports(convergence, { { { "a" }, { 1 }, { 6 }, {}, false }, { { "b" }, { 1 }, { 6 }, {}, false }, { { "c" }, { 1 }, { 0 }, {}, false } }, { 0 });
    CHECK_FALSE(control::mayProposeFirstSet(members, convergence));
    control::recordReports(convergence, { { { "c" }, { 1 }, { 6 }, {}, false } }, { 0 });
    CHECK(control::mayProposeFirstSet(members, convergence));

    const config::KeeperSet first { { 1 }, members, {} };
    policy::ClaimKeeper late = policy::startKeeper({ "a" }, { 1 }, { 0 });
    policy::applyKeeperSet(late, first, { 0 });
    CHECK_FALSE(late.caughtUp);
    policy::ClaimKeeper early = policy::startKeeper({ "a" }, { 1 }, { 0 });
    policy::applyKeeperSet(early, {}, { 0 });
    policy::applyKeeperSet(early, first, { 0 });
    CHECK(early.caughtUp);
}
