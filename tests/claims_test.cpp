// Claims beyond the fuzzed promises: the memory bound, and how few keys change keepers with the set.
#include "appletally/policy/claim_round.h"

#include <catch2/catch.hpp>

using namespace appletally;
using namespace appletally::policy;

namespace {

ClaimKey keyOf(int n) { return { { "payment" }, { "member" }, { "key" + std::to_string(n) } }; }

config::KeeperSet setOf(uint64_t number, int hosts)
{
    config::KeeperSet out { { number }, {}, {} };
    for (int it = 0; it < hosts; ++it)
        out.members.push_back({ { "host" + std::to_string(10 + it) }, {} });
    return out;
}

ClaimRequest askOf(int key, uint64_t attempt) { return { { 1 }, keyOf(key), 7, { attempt }, { 2000 } }; }

} // namespace

TEST_CASE("a keeper that is full refuses new claims truly and forgets no live one", "[at-most-once][burst]")
{
    // A burst of donations fills the keepers' memory. Were old claims forgotten to make room, a member's resend would be
    // charged again; instead the newest are refused as not run until old ones run out.
    ClaimSettings settings;
    settings.claimMemory = { 3000 };
    ClaimKeeper keeper = startKeeper({ "host10" }, { 1 }, { 0 }, settings);
    applyKeeperSet(keeper, {}, { 0 });
    applyKeeperSet(keeper, setOf(1, 1), { 0 });
    int granted = 0;
    while (onClaimRequest(keeper, askOf(granted, 100), { 10 }).reply == ClaimReply::Granted)
        ++granted;
    REQUIRE(granted > 3);
    CHECK(keeper.claimBytes <= settings.claimMemory.count);
    CHECK(onClaimRequest(keeper, askOf(granted, 100), { 20 }).reply == ClaimReply::Full);
    for (int it = 0; it < granted; ++it)
        CHECK(onClaimRequest(keeper, askOf(it, 200), { 20 }).reply == ClaimReply::Held);

    ClaimRound round = startRound(setOf(1, 1), keyOf(granted), 7, { 300 }, { 2000 }, { 30 });
    onClaimAnswer(round, { "host10" }, onClaimRequest(keeper, { { 1 }, keyOf(granted), 7, { 300 }, { 2000 } }, { 30 }), { 31 });
    CHECK(round.decision == ClaimDecision::NotRun);
    CHECK(round.code == base::Code::Overloaded);

    const base::Time later { 10 + 2000 + settings.window.ms + 1 };
    CHECK(onClaimRequest(keeper, askOf(granted, 100), later).reply == ClaimReply::Granted);
}

TEST_CASE("an answer too long to keep is never repeated as if it were whole", "[at-most-once]")
{
    // A resend of a command with a long answer would otherwise get an empty or cut one and take it for the real one.
    ClaimKeeper keeper = startKeeper({ "host10" }, { 1 }, { 0 });
    applyKeeperSet(keeper, {}, { 0 });
    applyKeeperSet(keeper, setOf(1, 1), { 0 });
    onClaimRequest(keeper, askOf(1, 100), { 10 });
    onClaimFinish(keeper, { keyOf(1), 7, { 100 }, { 200, {}, std::string(5000, 'x'), true }, { 1000 } }, { 20 });
    const ClaimAnswer answer = onClaimRequest(keeper, askOf(1, 200), { 30 });
    REQUIRE(answer.reply == ClaimReply::Finished);
    CHECK(answer.outcome->status == 200);
    CHECK_FALSE(answer.outcome->bodyKept);
    CHECK(answer.outcome->body.empty());
}

TEST_CASE("a host that joins the keepers moves few keys", "[at-most-once]")
{
    // Each key whose keepers change needs claims at more hosts while the set changes, so a change should be small.
    const config::KeeperSet before = setOf(1, 12);
    const config::KeeperSet after = setOf(2, 13);
    int moved = 0;
    for (int it = 0; it < 2000; ++it)
        moved += keepersAmong(before.members, keyOf(it)) != keepersAmong(after.members, keyOf(it)) ? 1 : 0;
    CHECK(moved > 2000 * 3 / 13 * 8 / 10);
    CHECK(moved < 2000 * 3 / 13 * 12 / 10);
}
