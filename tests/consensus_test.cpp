// Scenarios of the replicated log, each for one fault, on the simulated cluster.
#include "consensus_cluster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

using namespace appletally;
using namespace appletally::consensus;
using namespace appletally::consensus::testing;

static constexpr uint32_t second = 100; // in the units of Run

static void run(Cluster& c, uint32_t units) { c.run({ Op::Run, units, 0 }); }
static uint32_t bit(size_t host) { return 1U << host; }
static Replica& replica(Cluster& c, size_t host) { return c.hosts[host].replica; }

// Delivers message by message, with all disks fast, until the condition holds; false: not within two minutes.
static bool runUntil(Cluster& c, const std::function<bool()>& holds)
{
    for (int n = 0; n < 12000; ++n) {
        c.run({ Op::AdvanceClock, 1, 0 });
        for (int k = 0; k < 200; ++k) {
            if (holds())
                return true;
            for (uint32_t host = 0; host < c.hosts.size(); ++host)
                while (!c.hosts[host].writes.empty() && c.hosts[host].up && !c.hosts[host].frozen && !c.hosts[host].diskStalled)
                    c.run({ Op::Sync, host, 0 });
            if (c.network.empty())
                break;
            c.run({ Op::Deliver, 0, 0 });
        }
    }
    return false;
}

static size_t electLeader(Cluster& c)
{
    REQUIRE(runUntil(c, [&] { return c.leader() != c.hosts.size(); }));
    run(c, second);
    return c.leader();
}

static size_t other(const Cluster& c, std::initializer_list<size_t> excluded)
{
    size_t n = 0;
    while (std::find(excluded.begin(), excluded.end(), n) != excluded.end())
        ++n;
    REQUIRE(n < c.hosts.size());
    return n;
}

static void propose(Cluster& c, size_t host) { c.run({ Op::Propose, static_cast<uint32_t>(host), 0 }); }
static void runOn(Cluster& c, Op what, size_t host) { c.run({ what, static_cast<uint32_t>(host), 0 }); }

TEST_CASE("a second host lost at any time during or right after a repair loses no accepted entry", "[consensus]")
{
    // Guards against a repair that loses accepted versions. A voter's disk is lost and its host is formatted again;
    // while the new replica catches up, or just after, the leader's host fails too.
    for (uint32_t delay = 0; delay < 60; ++delay) {
        CAPTURE(delay);
        Cluster c(3, delay + 10);
        const size_t first = electLeader(c);
        for (int n = 0; n < 5; ++n)
            propose(c, first);
        run(c, 20);
        const size_t accepted = c.oracle.accepted.size();
        REQUIRE(accepted == 5);
        const size_t lost = other(c, { first });
        runOn(c, Op::LoseDisk, lost);
        runOn(c, Op::Start, lost);
        runOn(c, Op::AddReplica, lost);
        run(c, delay);
        const ReplicaId leaderId = c.hosts[first].id;
        runOn(c, Op::LoseDisk, first); // only a crash while a majority would be lost
        if (delay > 40)
            CHECK(c.folders.at(leaderId).lost);
        runOn(c, Op::Start, first);
        CHECK_NOTHROW(c.settle());
        CHECK(c.oracle.accepted.size() == accepted + 1);
    }
}

TEST_CASE("a leader behind a silent partition steps down and returns without disruption", "[consensus]")
{
    // Guards against a leader that keeps accepting proposals while a partition silently drops all its packets, and
    // against its term deposing the healthy leader when the partition heals.
    Cluster c(3, 1);
    const size_t old = electLeader(c);
    c.run({ Op::Partition, bit(old), 0 });
    propose(c, old);
    run(c, 60);
    CHECK_FALSE(isLeader(replica(c, old)));
    CHECK(c.oracle.proposalsUnknown == 1);
    run(c, 2 * second);
    const size_t fresh = c.leader();
    REQUIRE(fresh != c.hosts.size());
    propose(c, fresh);
    run(c, 60 * second);
    CHECK(c.oracle.accepted.size() == 1);
    const Term term = replica(c, fresh).state.term;
    runOn(c, Op::RestoreLinks, 0);
    run(c, 2 * second);
    CHECK(c.leader() == fresh);
    CHECK(replica(c, fresh).state.term == term);
    CHECK_NOTHROW(c.settle());
}

TEST_CASE("a cut in one direction neither stops the log nor deposes a healthy leader", "[consensus]")
{
    // Guards against repeated elections by a voter that receives nothing, and against a leader that receives nothing
    // but suppresses elections with its heartbeats. A faulty switch rule passes packets in one direction only.
    SECTION("a follower that receives nothing")
    {
        Cluster c(3, 1);
        const size_t leader = electLeader(c);
        const Term term = replica(c, leader).state.term;
        const size_t unresponsive = other(c, { leader });
        for (uint32_t n = 0; n < 3; ++n)
            c.run({ Op::CutLink, n, static_cast<uint32_t>(unresponsive) });
        run(c, 10 * second);
        CHECK(c.leader() == leader);
        CHECK(replica(c, leader).state.term == term);
        CHECK_NOTHROW(c.settle());
    }
    SECTION("a follower that receives nothing from the leader")
    {
        Cluster c(3, 1);
        const size_t leader = electLeader(c);
        const Term term = replica(c, leader).state.term;
        c.run({ Op::CutLink, static_cast<uint32_t>(leader), static_cast<uint32_t>(other(c, { leader })) });
        run(c, 10 * second);
        CHECK(c.leader() == leader);
        CHECK(replica(c, leader).state.term == term);
    }
    SECTION("a leader that receives nothing")
    {
        Cluster c(3, 1);
        const size_t leader = electLeader(c);
        for (uint32_t n = 0; n < 3; ++n)
            c.run({ Op::CutLink, n, static_cast<uint32_t>(leader) });
        run(c, 5 * second);
        REQUIRE(c.leader() != c.hosts.size());
        CHECK(c.leader() != leader);
        propose(c, c.leader());
        run(c, second);
        CHECK(c.oracle.accepted.size() == 1);
    }
}

TEST_CASE("a leader that was frozen accepts no proposal and answers no read after it resumes", "[consensus]")
{
    // Guards against a stale read. The leader's process is stopped for seconds (SIGSTOP, migration of a virtual
    // machine) and continues as if no time had passed, while another leader has accepted entries.
    Cluster c(3, 1);
    const size_t old = electLeader(c);
    runOn(c, Op::Freeze, old);
    run(c, 3 * second);
    const size_t fresh = c.leader();
    REQUIRE(fresh != c.hosts.size());
    propose(c, fresh);
    run(c, 20);
    REQUIRE(c.oracle.accepted.size() == 1);
    c.network.clear();
    runOn(c, Op::Thaw, old);
    runOn(c, Op::Read, old);
    CHECK_FALSE(isLeader(replica(c, old)));
    propose(c, old);
    run(c, second);
    CHECK(c.oracle.readsAnswered == 0);
    CHECK(c.oracle.accepted.size() == 1);
    CHECK_NOTHROW(c.settle());
}

TEST_CASE("a cut-off leader with a slow clock answers no read", "[consensus]")
{
    // Guards against a stale read under an overlong lease. The leader's clock is slow while the others elect a leader
    // and accept entries; only a round of responses started after the read proves that it still leads.
    Cluster c(3, 1);
    const size_t old = electLeader(c);
    c.hosts[old].clockPercent = 100;
    c.run({ Op::Partition, bit(old), 0 });
    c.hosts[old].frozen = true; // simulates a stopped clock
    run(c, 2 * second);
    const size_t fresh = c.leader();
    propose(c, fresh);
    run(c, 20);
    REQUIRE(c.oracle.accepted.size() == 1);
    c.hosts[old].frozen = false;
    c.hosts[old].clockPercent = 0;
    for (auto& [id, progress] : replica(c, old).progress)
        progress.lastContact = {};
    REQUIRE(isLeader(replica(c, old)));
    runOn(c, Op::Read, old);
    CHECK(isLeader(replica(c, old)));
    CHECK(c.oracle.readsAnswered == 0);
}

TEST_CASE("a new leader answers no read before it knows what was accepted under the previous one", "[consensus]")
{
    // Guards against a read that misses an accepted entry. The previous leader reported it as accepted and was cut off
    // before it sent the commit; the new leader has the entry but does not know that it is committed.
    Cluster c(3, 1);
    const size_t old = electLeader(c);
    const size_t cut = other(c, { old });
    c.run({ Op::Partition, bit(cut), 0 });
    propose(c, old);
    REQUIRE(runUntil(c, [&] { return c.oracle.accepted.size() == 1; }));
    c.network.clear();
    runOn(c, Op::RestoreLinks, 0);
    c.run({ Op::Partition, bit(old), 0 });
    REQUIRE(runUntil(c, [&] { return c.leader() != old && c.leader() != c.hosts.size(); }));
    c.network.clear(); // its first entry is lost, its heartbeats are not
    runOn(c, Op::Read, c.leader());
    CHECK(runUntil(c, [&] { return c.oracle.readsAnswered == 1; })); // checked by the oracle
}

TEST_CASE("an entry of an older term on a majority is not accepted yet", "[consensus]")
{
    // Guards against a commit that is lost again. A returning leader replicates an old entry to a majority and crashes;
    // a leader that does not have the entry wins and replaces it. Counted as accepted in between, it would have been
    // applied by some nodes.
    Cluster c(5, 1);
    const size_t a = electLeader(c);
    const size_t b = other(c, { a });
    c.run({ Op::Partition, bit(a) | bit(b), 0 });
    propose(c, a);
    const LogIndex index = lastIndex(replica(c, a));
    REQUIRE(runUntil(c, [&] { return lastIndex(replica(c, b)) == index && c.hosts[a].writes.empty() && c.hosts[b].writes.empty(); }));
    runOn(c, Op::Crash, a);
    runOn(c, Op::Crash, b);
    runOn(c, Op::RestoreLinks, 0);

    // One of the others wins, and its first entry reaches only its own disk.
    REQUIRE(runUntil(c, [&] { return c.leader() != c.hosts.size(); }));
    const size_t e = c.leader();
    c.network.clear();
    while (!c.hosts[e].writes.empty())
        runOn(c, Op::Sync, e);
    runOn(c, Op::Crash, e);
    c.network.clear();

    // The first leader or the other crashed host returns and replicates the entry to a third host.
    const size_t third = other(c, { a, b, e });
    const size_t fourth = other(c, { a, b, e, third });
    runOn(c, Op::Crash, fourth);
    runOn(c, Op::Start, a);
    runOn(c, Op::Start, b);
    REQUIRE(runUntil(c, [&] { return c.leader() != c.hosts.size(); }));
    const size_t back = c.leader();
    const LogIndex start = replica(c, back).termStart;
    REQUIRE(runUntil(c, [&] {
        const auto it = replica(c, back).progress.find(c.hosts[third].id);
        return it != replica(c, back).progress.end() && it->second.matchIndex >= index && it->second.matchIndex < start;
    }));
    CHECK(replica(c, back).commit < index);
    runOn(c, Op::Crash, a);
    runOn(c, Op::Crash, b);
    c.network.clear();
    runOn(c, Op::Start, fourth);
    runOn(c, Op::Start, e);
    run(c, 10 * second);
    CHECK_NOTHROW(c.settle());
}

TEST_CASE("a change of members waits until the previous one is recorded as committed by a majority", "[consensus]")
{
    // Guards against a booting node that starts below a released version. Two voters are removed in succession, one of
    // them before it learns that the first removal is committed, and a node boots from the answers of both and a stale
    // third voter.
    Cluster c(5, 1);
    const size_t leader = electLeader(c);
    const size_t a = other(c, { leader });
    const size_t e = other(c, { leader, a });
    const size_t b = other(c, { leader, a, e });
    c.run({ Op::Partition, bit(a) | bit(e), 0 });
    runOn(c, Op::RemoveReplica, a);
    REQUIRE(runUntil(c, [&] { return latestMembers(replica(c, b)).index.value > 0; }));
    const LogIndex change = latestMembers(replica(c, b)).index;
    c.run({ Op::Sync, static_cast<uint32_t>(b), 0 });
    for (uint32_t n = 0; n < 5; ++n)
        c.run({ Op::CutLink, n, static_cast<uint32_t>(b) }); // its response is in flight, it receives nothing more
    REQUIRE(runUntil(c, [&] { return replica(c, leader).commit >= change; }));
    runOn(c, Op::RemoveReplica, b);
    propose(c, leader);
    run(c, 30); // checked by the oracle
    CHECK(latestMembers(replica(c, leader)).index == change);
    CHECK_NOTHROW(c.settle());
}

TEST_CASE("two leaders never change the same members concurrently", "[consensus]")
{
    // Guards against majorities that share no replica. A leader starts to remove one of four voters and is cut off; the
    // next leader starts to remove another before an entry of its own is committed. Two of the three voters of each set
    // could then agree independently.
    Cluster c(4, 1);
    const size_t old = electLeader(c);
    const size_t out = other(c, { old });
    runOn(c, Op::RemoveReplica, out);
    REQUIRE(runUntil(c, [&] { return latestMembers(replica(c, old)).index.value > 0; }));
    runOn(c, Op::Sync, old);
    c.network.clear();
    c.run({ Op::Partition, bit(old), 0 });
    REQUIRE(runUntil(c, [&] { return c.leader() != old && c.leader() != c.hosts.size(); }));
    const size_t fresh = c.leader();
    c.network.clear();
    runOn(c, Op::RestoreLinks, 0);
    c.run({ Op::Partition, bit(old) | bit(other(c, { old, out, fresh })), 0 });
    runOn(c, Op::RemoveReplica, old);
    run(c, 20);
    propose(c, fresh);
    run(c, 5 * second); // checked by the oracle
    CHECK_NOTHROW(c.settle());
}

TEST_CASE("the new replica of a host that lost its disk becomes a voter by itself, but only once it has caught up", "[consensus]")
{
    Cluster c(3, 1);
    const size_t leader = electLeader(c);
    const size_t lost = other(c, { leader });
    runOn(c, Op::LoseDisk, lost);
    runOn(c, Op::Start, lost);
    c.run({ Op::CutLink, static_cast<uint32_t>(leader), static_cast<uint32_t>(lost) });
    runOn(c, Op::AddReplica, lost);
    run(c, 10 * second);
    const ReplicaId id = c.hosts[lost].id;
    CHECK(findMember(latestMembers(replica(c, leader)), id)->role == Role::Joining);
    CHECK_FALSE(bootAnswer(replica(c, lost)));
    runOn(c, Op::RestoreLinks, 0);
    run(c, second);
    CHECK(findMember(latestMembers(replica(c, leader)), id)->role == Role::Voter);
    CHECK(latestMembers(replica(c, leader)).list.size() == 3); // the lost replica is removed
    CHECK(bootAnswer(replica(c, lost)));
}

TEST_CASE("a voter whose disk hangs is not counted", "[consensus]")
{
    // Guards against counting what is only in memory: a power failure would lose it.
    SECTION("a leader does not count itself")
    {
        Cluster c(3, 1);
        const size_t leader = electLeader(c);
        c.run({ Op::Partition, bit(other(c, { leader })), 0 });
        runOn(c, Op::StallDisk, leader);
        propose(c, leader);
        run(c, 20);
        CHECK(c.oracle.accepted.empty());
        runOn(c, Op::ResumeDisk, leader);
        run(c, 20);
        CHECK(c.oracle.accepted.size() == 1);
    }
    SECTION("a candidate is not elected by the others alone")
    {
        Cluster c(5, 1);
        const auto isCandidate = [&](size_t n) { return replica(c, n).raftRole != RaftRole::Follower; };
        REQUIRE(runUntil(c, [&] { return isCandidate(0) || isCandidate(1) || isCandidate(2) || isCandidate(3) || isCandidate(4); }));
        size_t candidate = 0;
        while (!isCandidate(candidate))
            ++candidate;
        runOn(c, Op::StallDisk, candidate);
        REQUIRE(runUntil(c, [&] { return c.leader() != c.hosts.size(); }));
        CHECK(c.leader() != candidate);
    }
}

TEST_CASE("a vote, response or recorded commit is sent only once it is durable", "[consensus]")
{
    // Guards against a power failure between a response and the write behind it. A vote given twice in a term makes two
    // leaders; an entry that was counted on this replica and is then lost loses an accepted version.
    Durable disk;
    disk.id = { 1 };
    disk.snapshot.meta.members.list = { { { 1 }, { "a" }, Role::Voter, {} }, { { 2 }, { "b" }, Role::Voter, {} }, { { 3 }, { "c" }, Role::Voter, {} } };
    Replica r = make(disk, {});
    const base::Time now { 100 };

    Ready ready = step(r, Received { { { 2 }, { 1 }, { 5 }, VoteRequest { false, {}, {} } } }, now, 1);
    REQUIRE(ready.persist);
    CHECK(ready.messages.empty());
    ready = step(r, Persisted { ready.persist->sequence }, now, 1);
    REQUIRE(ready.messages.size() == 1);
    CHECK(std::get<VoteResponse>(ready.messages[0].body).granted);

    const Entry entry { { 1 }, { 5 }, EntryKind::Data, "x", {} };
    ready = step(r, Received { { { 2 }, { 1 }, { 5 }, AppendEntries { {}, {}, { entry }, {}, {}, 0 } } }, now, 1);
    REQUIRE(ready.persist);
    CHECK(ready.messages.empty());
    const uint64_t sequence = ready.persist->sequence;
    // Received again, the second response waits for the same write.
    ready = step(r, Received { { { 2 }, { 1 }, { 5 }, AppendEntries { {}, {}, { entry }, {}, {}, 0 } } }, now, 1);
    CHECK(ready.messages.empty());
    ready = step(r, Persisted { sequence }, now, 1);
    REQUIRE(ready.messages.size() == 2);
    CHECK(std::get<AppendResponse>(ready.messages[0].body).index == LogIndex { 1 });

    // The commit is recorded before it is reported: nodes rely on a majority's recorded commits for the minimum version
    // at boot.
    ready = step(r, Received { { { 2 }, { 1 }, { 5 }, AppendEntries { { 1 }, { 5 }, {}, { 1 }, {}, 0 } } }, now, 1);
    REQUIRE(ready.persist);
    CHECK(ready.persist->state.commit == LogIndex { 1 });
    CHECK(ready.messages.empty());
    CHECK(bootAnswer(r)->recordedCommit == LogIndex {});
    ready = step(r, Persisted { ready.persist->sequence }, now, 1);
    CHECK(std::get<AppendResponse>(ready.messages.at(0).body).recordedCommit == LogIndex { 1 });
    CHECK(bootAnswer(r)->recordedCommit == LogIndex { 1 });

    // Its own candidacy: if a crash lost it, the replica could lead the same term twice.
    ready = step(r, Tick {}, { 5000 }, 1);
    ready = step(r, Received { { { 2 }, { 1 }, { 6 }, VoteResponse { true, true } } }, { 5000 }, 1);
    REQUIRE(r.raftRole == RaftRole::Candidate);
    CHECK(ready.messages.empty());
}

TEST_CASE("entries replaced by a new leader's log are no longer counted", "[consensus]")
{
    // Guards against counting replaced entries. A follower holds entries that were never accepted; the next leader
    // replaces them, by entries or by a snapshot, and the replacing write is still pending when this replica reports
    // what it holds.
    Durable disk;
    disk.id = { 1 };
    disk.snapshot.meta.members.list = { { { 1 }, { "a" }, Role::Voter, {} }, { { 2 }, { "b" }, Role::Voter, {} }, { { 3 }, { "c" }, Role::Voter, {} } };
    disk.state.term = { 1 };
    for (uint64_t n = 1; n <= 3; ++n)
        disk.entries.push_back({ { n }, { 1 }, EntryKind::Data, "old", {} });
    Replica r = make(disk, {});
    const base::Time now { 100 };
    REQUIRE(r.durableIndex == LogIndex { 3 });

    SECTION("entries")
    {
        const Entry entry { { 2 }, { 2 }, EntryKind::Data, "new", {} };
        const Ready ready = step(r, Received { { { 2 }, { 1 }, { 2 }, AppendEntries { { 1 }, { 1 }, { entry }, { 2 }, {}, 0 } } }, now, 1);
        CHECK(ready.persist->truncateFrom == LogIndex { 2 });
        CHECK(lastIndex(r) == LogIndex { 2 });
        CHECK(r.durableIndex == LogIndex { 1 });
        CHECK(ready.committed.size() == 2);

        // A snapshot taken before the record of its commit is durable leaves unknown what was recorded.
        step(r, SnapshotTaken { { 2 }, std::make_shared<const std::string>("state") }, now, 1);
        CHECK_FALSE(bootAnswer(r));
        step(r, Persisted { r.sequence }, now, 1);
        CHECK(r.durableIndex == LogIndex { 2 });
        CHECK(bootAnswer(r)->recordedCommit == LogIndex { 2 });
    }
    SECTION("a snapshot")
    {
        const SnapshotChunk chunk { { { 2 }, { 2 }, disk.snapshot.meta.members }, 0, 5, "state", 0 };
        const Ready ready = step(r, Received { { { 2 }, { 1 }, { 2 }, chunk } }, now, 1);
        CHECK(ready.persist->truncateFrom == LogIndex { 1 });
        CHECK(lastIndex(r) == LogIndex { 2 });
        CHECK(r.durableIndex == LogIndex {});
        CHECK(*ready.restore->data == "state");
    }
}

TEST_CASE("a newly formatted replica grants no vote and ignores messages to its predecessor", "[consensus]")
{
    // Guards against a second leader, and against counting entries that a replica does not have, after a voter's disk
    // is replaced. The predecessor may have voted in this term, and its messages still arrive.
    Durable blank;
    blank.id = { 9 };
    Replica r = make(blank, {});
    for (const bool pre : { true, false }) {
        const VoteRequest request { pre, { 100 }, { 7 } };
        const Ready ready = step(r, Received { { { 1 }, { 9 }, { 8 }, request } }, { 5000 }, 1);
        CHECK_FALSE(ready.persist);
        for (const Message& it : ready.messages)
            CHECK_FALSE(std::get<VoteResponse>(it.body).granted);
    }
    const Ready ready = step(r, Received { { { 1 }, { 3 }, { 8 }, AppendEntries {} } }, { 5000 }, 1);
    CHECK(ready.messages.empty());
    CHECK_FALSE(ready.persist);
}

TEST_CASE("a leader that fails while it replicates a change of members leaves voters that can elect", "[consensus]")
{
    // Guards against a member set in which no candidate can win. Only the failed leader's log holds the change; it is
    // longer than the others' logs and counts other voters.
    SECTION("a change that removes the leader itself")
    {
        Cluster c(3, 1);
        const size_t leader = electLeader(c);
        runOn(c, Op::RemoveReplica, other(c, { leader }));
        run(c, second);
        const LogIndex before = latestMembers(replica(c, leader)).index;
        REQUIRE(before.value > 0);
        runOn(c, Op::RemoveReplica, leader);
        REQUIRE(runUntil(c, [&] { return latestMembers(replica(c, leader)).index > before; }));
        c.network.clear();
        c.run({ Op::Partition, bit(leader), 0 });
        run(c, 2 * second);
        runOn(c, Op::RestoreLinks, 0);
        run(c, 5 * second);
        CHECK(c.leader() != c.hosts.size());
        CHECK_NOTHROW(c.settle());
    }
    SECTION("a change that makes a repaired host's replica a voter")
    {
        Cluster c(3, 1);
        const size_t leader = electLeader(c);
        const size_t lost = other(c, { leader });
        runOn(c, Op::LoseDisk, lost);
        runOn(c, Op::Start, lost);
        runOn(c, Op::AddReplica, lost);
        const ReplicaId id = c.hosts[lost].id;
        REQUIRE(runUntil(c, [&] {
            const Member* it = findMember(latestMembers(replica(c, leader)), id);
            return it && it->role == Role::Voter;
        }));
        c.network.clear();
        runOn(c, Op::Sync, leader);
        runOn(c, Op::Crash, leader);
        runOn(c, Op::Start, leader);
        run(c, 10 * second);
        CHECK(c.leader() != c.hosts.size());
        CHECK_NOTHROW(c.settle());
    }
}

TEST_CASE("a leader whose followers are slow limits its uncommitted proposals", "[consensus]")
{
    // Guards against a leader whose memory grows without limit while the disks of the other voters hang and operators
    // keep submitting.
    Cluster c(3, 1);
    const size_t leader = electLeader(c);
    replica(c, leader).config.maxPendingEntries = 2;
    c.run({ Op::Partition, bit(leader), 0 });
    for (int n = 0; n < 4; ++n)
        propose(c, leader);
    CHECK(replica(c, leader).proposals.size() == 2);
    runOn(c, Op::RestoreLinks, 0);
    run(c, 20);
    CHECK(c.oracle.accepted.size() == 2);
}

TEST_CASE("a booting node uses the newest members known to any answer", "[consensus]")
{
    // Guards against a majority of outdated members. Two voters were removed without learning of it; together with a
    // stale third they still consider themselves a majority.
    const auto voters = [](uint64_t index, std::initializer_list<uint64_t> ids) {
        Members result { { index }, {} };
        for (const uint64_t id : ids)
            result.list.push_back({ { id }, { "h" }, Role::Voter, {} });
        return result;
    };
    const Members old = voters(0, { 1, 2, 3 });
    const Members fresh = voters(9, { 3, 4, 5 });
    const BootAnswer one { { 1 }, { 4 }, old };
    const BootAnswer two { { 2 }, { 5 }, old };
    const BootAnswer three { { 3 }, { 9 }, fresh };
    const BootAnswer four { { 4 }, { 12 }, fresh };
    struct Row {
        std::vector<BootAnswer> answers;
        std::optional<LogIndex> proven;
        std::optional<LogIndex> released;
    };
    const Row rows[] = { { {}, {}, {} }, { { one }, {}, {} }, { { one, one }, {}, {} }, { { one, two }, LogIndex { 5 }, LogIndex { 4 } },
        { { one, two, three }, {}, {} }, { { one, three, four }, LogIndex { 12 }, LogIndex { 9 } } };
    for (const Row& it : rows) {
        CHECK(minBootIndex(it.answers) == it.proven);
        CHECK(provenReleasedIndex(it.answers) == it.released);
    }
}

TEST_CASE("invalid bytes are rejected when a message is decoded", "[consensus]")
{
    const Message m { { 1 }, { 2 }, { 3 }, AppendEntries { { 4 }, { 3 }, { { { 5 }, { 3 }, EntryKind::Data, std::string("\0\xff", 2), {} } }, { 4 }, { 3 }, 9 } };
    const std::string whole = encode(m);
    REQUIRE(decode(whole));
    CHECK(std::get<AppendEntries>(decode(whole).value().body).entries[0].data == std::string("\0\xff", 2));
    for (size_t n = 0; n < whole.size(); ++n) {
        CHECK_FALSE(decode(whole.substr(0, n)));
        for (const uint8_t byte : { 0x00, 0x7f, 0xff }) {
            std::string changed = whole;
            changed[n] = static_cast<char>(byte);
            (void)decode(changed); // must not crash
        }
    }
}
