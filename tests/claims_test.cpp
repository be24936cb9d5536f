// Claims beyond the fuzzed invariants: the memory limit, and how few keys change keepers with the set.
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

ClaimRequest requestOf(int key, uint64_t attempt) { return { { 1 }, keyOf(key), 7, { attempt }, { 2000 } }; }

} // namespace

TEST_CASE("a keeper without memory rejects new claims as not run and evicts no live one", "[at-most-once][burst]")
{
    // Guards against a second charge of a donation. A burst fills the keepers' memory; if old claims were evicted for
    // new ones, a resend would run again. Instead new claims are rejected as not run until old ones expire.
    ClaimSettings settings;
    settings.maxClaimMemory = { 3000 };
    ClaimKeeper keeper = startKeeper({ "host10" }, { 1 }, { 0 }, settings);
    applyKeeperSet(keeper, {}, { 0 });
    applyKeeperSet(keeper, setOf(1, 1), { 0 });
    int granted = 0;
    while (onClaimRequest(keeper, requestOf(granted, 100), { 10 }).reply == ClaimReply::Granted)
        ++granted;
    REQUIRE(granted > 3);
    CHECK(keeper.claimBytes <= settings.maxClaimMemory.count);
    CHECK(onClaimRequest(keeper, requestOf(granted, 100), { 20 }).reply == ClaimReply::Full);
    for (int it = 0; it < granted; ++it)
        CHECK(onClaimRequest(keeper, requestOf(it, 200), { 20 }).reply == ClaimReply::Held);

    ClaimRound round = startRound(setOf(1, 1), keyOf(granted), 7, { 300 }, { 2000 }, { 30 });
    onClaimAnswer(round, { "host10" }, onClaimRequest(keeper, { { 1 }, keyOf(granted), 7, { 300 }, { 2000 } }, { 30 }), { 31 });
    CHECK(round.decision == ClaimDecision::NotRun);
    CHECK(round.code == base::Code::Overloaded);

    const base::Time later { 10 + 2000 + settings.window.ms + 1 };
    CHECK(onClaimRequest(keeper, requestOf(granted, 100), later).reply == ClaimReply::Granted);
}

TEST_CASE("an answer too long to store is never returned as a complete one", "[at-most-once]")
{
    // Guards against a resend of a command with a long answer that gets an empty or truncated answer as the real one.
    ClaimKeeper keeper = startKeeper({ "host10" }, { 1 }, { 0 });
    applyKeeperSet(keeper, {}, { 0 });
    applyKeeperSet(keeper, setOf(1, 1), { 0 });
    onClaimRequest(keeper, requestOf(1, 100), { 10 });
    onClaimFinish(keeper, { keyOf(1), 7, { 100 }, { 200, {}, std::string(5000, 'x'), true }, { 1000 } }, { 20 });
    const ClaimAnswer answer = onClaimRequest(keeper, requestOf(1, 200), { 30 });
    REQUIRE(answer.reply == ClaimReply::Finished);
    CHECK(answer.outcome->status == 200);
    CHECK_FALSE(answer.outcome->bodyKept);
    CHECK(answer.outcome->body.empty());
}

TEST_CASE("a host that joins the keeper set moves few keys", "[at-most-once]")
{
    // Guards against a large share of keys that move when a host joins. Each key whose keepers change needs claims at
    // more hosts while the set changes.
    const config::KeeperSet before = setOf(1, 12);
    const config::KeeperSet after = setOf(2, 13);
    int moved = 0;
    for (int it = 0; it < 2000; ++it)
        moved += keepersAmong(before.members, keyOf(it)) != keepersAmong(after.members, keyOf(it)) ? 1 : 0;
    CHECK(moved > 2000 * 3 / 13 * 8 / 10);
    CHECK(moved < 2000 * 3 / 13 * 12 / 10);
}
