// Pauses of a replica's process: when the silence of the others counts afterwards, and when it does not.
#include "consensus_cluster.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace appletally;
using namespace appletally::consensus;
using namespace appletally::consensus::testing;

static constexpr uint32_t second = 100; // in the units of Run

static void run(Cluster& c, uint32_t units) { c.run({ Op::Run, units, 0 }); }
static Replica& replica(Cluster& c, size_t host) { return c.hosts[host].replica; }
static void runOn(Cluster& c, Op what, size_t host) { c.run({ what, static_cast<uint32_t>(host), 0 }); }

static size_t electLeader(Cluster& c)
{
    run(c, 5 * second);
    REQUIRE(c.leader() != c.hosts.size());
    return c.leader();
}

TEST_CASE("a leader frozen for less than an election timeout keeps its term", "[consensus]")
{
    // Guards against a leader that steps down after a pause before it has read its followers' queued messages.
    for (const uint32_t units : { 30U, 45U, 49U }) {
        Cluster c(5, 1);
        const size_t leader = electLeader(c);
        run(c, second);
        const Term term = replica(c, leader).state.term;
        runOn(c, Op::Freeze, leader);
        run(c, units);
        runOn(c, Op::Thaw, leader);
        run(c, 2 * second);
        INFO("frozen for " << units * 10 << " ms");
        CHECK(c.leader() == leader);
        CHECK(replica(c, leader).state.term == term);
        CHECK_NOTHROW(c.settle());
    }
}

TEST_CASE("a follower frozen for less than two election timeouts reads queued messages before it campaigns", "[consensus]")
{
    // Guards against a follower that starts an election while its leader's messages are unread in its sockets.
    for (uint64_t seed = 1; seed <= 8; ++seed) {
        Cluster c(3, seed);
        const size_t leader = electLeader(c);
        const size_t follower = (leader + 1) % c.hosts.size();
        run(c, second);
        runOn(c, Op::Freeze, follower);
        run(c, 90);
        runOn(c, Op::Thaw, follower);
        c.stepHost(follower, Tick {});
        CHECK(replica(c, follower).raftRole == RaftRole::Follower);
        CHECK(replica(c, follower).leader == replica(c, leader).id);
        runOn(c, Op::Crash, leader); // a crashed leader is still replaced
        run(c, 2 * second);
        CHECK(c.leader() != c.hosts.size());
        CHECK(c.leader() != leader);
    }
}

TEST_CASE("a replica that pauses repeatedly still detects that the others are lost", "[consensus]")
{
    // Guards against consecutive grace periods that postpone an election or a loss of leadership without limit.
    Durable disk;
    disk.id = { 1 };
    disk.snapshot.meta.members.list = { { { 1 }, { "a" }, Role::Voter, {} }, { { 2 }, { "b" }, Role::Voter, {} }, { { 3 }, { "c" }, Role::Voter, {} } };
    Replica r = make(disk, {});
    const auto tickUntil = [&](base::Time from, const std::function<bool(const Ready&)>& holds) {
        base::Time now = from;
        while (now.ms < from.ms + 5000) {
            now = now + base::Duration { 150 };
            if (holds(step(r, Tick {}, now, 1)))
                break;
        }
        return now;
    };
    step(r, Received { { { 2 }, { 1 }, { 5 }, AppendEntries { {}, {}, {}, {}, {}, 1 } } }, { 1000 }, 1);
    const base::Time campaignTime = tickUntil({ 1000 }, [&](const Ready&) { return r.raftRole == RaftRole::PreCandidate; });
    CHECK(campaignTime.ms <= 1900);

    Ready ready = step(r, Received { { { 2 }, { 1 }, { 6 }, VoteResponse { true, true } } }, campaignTime, 1);
    REQUIRE(ready.persist);
    step(r, Persisted { ready.persist->sequence }, campaignTime, 1);
    ready = step(r, Received { { { 2 }, { 1 }, { 6 }, VoteResponse { false, true } } }, campaignTime, 1);
    REQUIRE(isLeader(r));
    const base::Time stepDownTime = tickUntil(campaignTime, [&](const Ready& it) { return it.lostLeadership; });
    CHECK(stepDownTime - campaignTime <= base::Duration { 900 });
}
