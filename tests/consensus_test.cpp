// Hand-made cases of the replicated log, each for a fault that users know, and the recorded traces.
#include "consensus_cluster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

using namespace appletally;
using namespace appletally::consensus;
using namespace appletally::consensus::testing;

static constexpr uint32_t second = 100; // in the units of Run

static void run(Cluster& c, uint32_t units) { c.run({ Do::Run, units, 0 }); }
static uint32_t bit(size_t host) { return 1U << host; }
static Replica& replica(Cluster& c, size_t host) { return c.hosts[host].replica; }

// Message by message, every disk fast, until it holds; false: not within two minutes.
static bool runUntil(Cluster& c, const std::function<bool()>& holds)
{
    for (int n = 0; n < 12000; ++n) {
        c.run({ Do::Pass, 1, 0 });
        for (int k = 0; k < 200; ++k) {
            if (holds())
                return true;
            for (uint32_t host = 0; host < c.hosts.size(); ++host)
                while (!c.hosts[host].writes.empty() && c.hosts[host].up && !c.hosts[host].frozen && !c.hosts[host].slow)
                    c.run({ Do::Sync, host, 0 });
            if (c.network.empty())
                break;
            c.run({ Do::Deliver, 0, 0 });
        }
    }
    return false;
}

static size_t lead(Cluster& c)
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

static void propose(Cluster& c, size_t host) { c.run({ Do::Propose, static_cast<uint32_t>(host), 0 }); }
static void act(Cluster& c, Do what, size_t host) { c.run({ what, static_cast<uint32_t>(host), 0 }); }

TEST_CASE("a second host lost at any moment of a repair or right after it takes nothing with it", "[consensus]")
{
    // A voter's disk dies and its host is set up anew; while it catches up, or just when it is done, the leader's host
    // dies too. Operators would find that versions reported as accepted never were.
    for (uint32_t delay = 0; delay < 60; ++delay) {
        CAPTURE(delay);
        Cluster c(3, delay + 10);
        const size_t first = lead(c);
        for (int n = 0; n < 5; ++n)
            propose(c, first);
        run(c, 20);
        const size_t accepted = c.oracle.accepted.size();
        REQUIRE(accepted == 5);
        const size_t lost = other(c, { first });
        act(c, Do::LoseDisk, lost);
        act(c, Do::Start, lost);
        act(c, Do::Repair, lost);
        run(c, delay);
        const ReplicaId leaderId = c.hosts[first].id;
        act(c, Do::LoseDisk, first); // only a crash while a majority would be gone
        if (delay > 40)
            CHECK(c.folders.at(leaderId).lost);
        act(c, Do::Start, first);
        CHECK_NOTHROW(c.settle());
        CHECK(c.oracle.accepted.size() == accepted + 1);
    }
}

TEST_CASE("a leader cut off in silence for long stops leading at once and comes back without harm", "[consensus]")
{
    // A partition swallows every packet of the leading host and reports nothing. Operators who reach it would wait on a
    // leader that can accept nothing; and when it heals, its high term would depose the healthy leader.
    Cluster c(3, 1);
    const size_t old = lead(c);
    c.run({ Do::Split, bit(old), 0 });
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
    act(c, Do::Heal, 0);
    run(c, 2 * second);
    CHECK(c.leader() == fresh);
    CHECK(replica(c, fresh).state.term == term);
    CHECK_NOTHROW(c.settle());
}

TEST_CASE("a cut in one direction neither stops the log nor unseats a healthy leader", "[consensus]")
{
    // A broken rule in a switch lets packets through one way only. A voter that hears nobody would call for elections
    // again and again, and a leader that hears nobody would keep the others quiet with its heartbeats for ever.
    SECTION("a follower that hears nobody")
    {
        Cluster c(3, 1);
        const size_t leader = lead(c);
        const Term term = replica(c, leader).state.term;
        const size_t deaf = other(c, { leader });
        for (uint32_t n = 0; n < 3; ++n)
            c.run({ Do::Cut, n, static_cast<uint32_t>(deaf) });
        run(c, 10 * second);
        CHECK(c.leader() == leader);
        CHECK(replica(c, leader).state.term == term);
        CHECK_NOTHROW(c.settle());
    }
    SECTION("a follower that hears all but the leader")
    {
        Cluster c(3, 1);
        const size_t leader = lead(c);
        const Term term = replica(c, leader).state.term;
        c.run({ Do::Cut, static_cast<uint32_t>(leader), static_cast<uint32_t>(other(c, { leader })) });
        run(c, 10 * second);
        CHECK(c.leader() == leader);
        CHECK(replica(c, leader).state.term == term);
    }
    SECTION("a leader that hears nobody")
    {
        Cluster c(3, 1);
        const size_t leader = lead(c);
        for (uint32_t n = 0; n < 3; ++n)
            c.run({ Do::Cut, n, static_cast<uint32_t>(leader) });
        run(c, 5 * second);
        REQUIRE(c.leader() != c.hosts.size());
        CHECK(c.leader() != leader);
        propose(c, c.leader());
        run(c, second);
        CHECK(c.oracle.accepted.size() == 1);
    }
}

TEST_CASE("a frozen leader that thaws takes no proposal and answers no read from before", "[consensus]")
{
    // The leading host is stopped for seconds (SIGSTOP, a virtual machine that moves) and goes on as if no time had
    // passed. A read answered then would show an operator a state without what was accepted meanwhile.
    Cluster c(3, 1);
    const size_t old = lead(c);
    act(c, Do::Freeze, old);
    run(c, 3 * second);
    const size_t fresh = c.leader();
    REQUIRE(fresh != c.hosts.size());
    propose(c, fresh);
    run(c, 20);
    REQUIRE(c.oracle.accepted.size() == 1);
    c.network.clear();
    act(c, Do::Thaw, old);
    act(c, Do::Read, old);
    CHECK_FALSE(isLeader(replica(c, old)));
    propose(c, old);
    run(c, second);
    CHECK(c.oracle.readsAnswered == 0);
    CHECK(c.oracle.accepted.size() == 1);
    CHECK_NOTHROW(c.settle());
}

TEST_CASE("a cut-off leader with a slow clock answers no read", "[consensus]")
{
    // Its lease runs long by a bad clock while the others have elected and accepted; only a round of answers that began
    // after the read shows that it still leads.
    Cluster c(3, 1);
    const size_t old = lead(c);
    c.hosts[old].clockPercent = 100;
    c.run({ Do::Split, bit(old), 0 });
    c.hosts[old].frozen = true; // stands for a clock that stands still
    run(c, 2 * second);
    const size_t fresh = c.leader();
    propose(c, fresh);
    run(c, 20);
    REQUIRE(c.oracle.accepted.size() == 1);
    c.hosts[old].frozen = false;
    c.hosts[old].clockPercent = 0;
    for (auto& [id, progress] : replica(c, old).progress)
        progress.heard = {};
    REQUIRE(isLeader(replica(c, old)));
    act(c, Do::Read, old);
    CHECK(isLeader(replica(c, old)));
    CHECK(c.oracle.readsAnswered == 0);
}

TEST_CASE("a new leader answers no read before it knows what was accepted under the old one", "[consensus]")
{
    // The old leader reported a version as accepted and was cut off before it could say so to the others. The next
    // leader has it in its log but does not know that it counts.
    Cluster c(3, 1);
    const size_t old = lead(c);
    const size_t cut = other(c, { old });
    c.run({ Do::Split, bit(cut), 0 });
    propose(c, old);
    REQUIRE(runUntil(c, [&] { return c.oracle.accepted.size() == 1; }));
    c.network.clear();
    act(c, Do::Heal, 0);
    c.run({ Do::Split, bit(old), 0 });
    REQUIRE(runUntil(c, [&] { return c.leader() != old && c.leader() != c.hosts.size(); }));
    c.network.clear(); // its first entry is lost, its heartbeats are not
    act(c, Do::Read, c.leader());
    CHECK(runUntil(c, [&] { return c.oracle.readsAnswered == 1; })); // judged by the oracle
}

TEST_CASE("an entry of an older term on a majority is not yet accepted", "[consensus]")
{
    // A leader comes back, spreads an old entry to a majority and dies; another that never saw it wins and replaces it.
    // Counted as accepted in between, it would be in force on some nodes and vanish.
    Cluster c(5, 1);
    const size_t a = lead(c);
    const size_t b = other(c, { a });
    c.run({ Do::Split, bit(a) | bit(b), 0 });
    propose(c, a);
    const LogIndex index = lastIndex(replica(c, a));
    REQUIRE(runUntil(c, [&] { return lastIndex(replica(c, b)) == index && c.hosts[a].writes.empty() && c.hosts[b].writes.empty(); }));
    act(c, Do::Crash, a);
    act(c, Do::Crash, b);
    act(c, Do::Heal, 0);

    // One of the others wins, and its first entry reaches only its own disk.
    REQUIRE(runUntil(c, [&] { return c.leader() != c.hosts.size(); }));
    const size_t e = c.leader();
    c.network.clear();
    while (!c.hosts[e].writes.empty())
        act(c, Do::Sync, e);
    act(c, Do::Crash, e);
    c.network.clear();

    // The first leader or its companion is back and spreads the entry to a third host.
    const size_t third = other(c, { a, b, e });
    const size_t fourth = other(c, { a, b, e, third });
    act(c, Do::Crash, fourth);
    act(c, Do::Start, a);
    act(c, Do::Start, b);
    REQUIRE(runUntil(c, [&] { return c.leader() != c.hosts.size(); }));
    const size_t back = c.leader();
    const LogIndex start = replica(c, back).termStart;
    REQUIRE(runUntil(c, [&] {
        const auto it = replica(c, back).progress.find(c.hosts[third].id);
        return it != replica(c, back).progress.end() && it->second.match >= index && it->second.match < start;
    }));
    CHECK(replica(c, back).commit < index);
    act(c, Do::Crash, a);
    act(c, Do::Crash, b);
    c.network.clear();
    act(c, Do::Start, fourth);
    act(c, Do::Start, e);
    run(c, 10 * second);
    CHECK_NOTHROW(c.settle());
}

TEST_CASE("a change of members waits until the one before is recorded as committed by a majority", "[consensus]")
{
    // Two voters are taken out one after the other while one of them has not heard that the first removal counts. A node
    // that boots and asks them and a stale third would be told a version below what others already enforce.
    Cluster c(5, 1);
    const size_t leader = lead(c);
    const size_t a = other(c, { leader });
    const size_t e = other(c, { leader, a });
    const size_t b = other(c, { leader, a, e });
    c.run({ Do::Split, bit(a) | bit(e), 0 });
    act(c, Do::Remove, a);
    REQUIRE(runUntil(c, [&] { return latestMembers(replica(c, b)).index.value > 0; }));
    const LogIndex change = latestMembers(replica(c, b)).index;
    c.run({ Do::Sync, static_cast<uint32_t>(b), 0 });
    for (uint32_t n = 0; n < 5; ++n)
        c.run({ Do::Cut, n, static_cast<uint32_t>(b) }); // its answer is on its way, it hears nothing more
    REQUIRE(runUntil(c, [&] { return replica(c, leader).commit >= change; }));
    act(c, Do::Remove, b);
    propose(c, leader);
    run(c, 30); // judged by the oracle
    CHECK(latestMembers(replica(c, leader)).index == change);
    CHECK_NOTHROW(c.settle());
}

TEST_CASE("two leaders never change the same members at once", "[consensus]")
{
    // A leader begins to take one voter out and is cut off; the next one, before anything of its own is accepted, begins
    // to take out another. Of three voters each, two may then agree without the other two.
    Cluster c(4, 1);
    const size_t old = lead(c);
    const size_t out = other(c, { old });
    act(c, Do::Remove, out);
    REQUIRE(runUntil(c, [&] { return latestMembers(replica(c, old)).index.value > 0; }));
    act(c, Do::Sync, old);
    c.network.clear();
    c.run({ Do::Split, bit(old), 0 });
    REQUIRE(runUntil(c, [&] { return c.leader() != old && c.leader() != c.hosts.size(); }));
    const size_t fresh = c.leader();
    c.network.clear();
    act(c, Do::Heal, 0);
    c.run({ Do::Split, bit(old) | bit(other(c, { old, out, fresh })), 0 });
    act(c, Do::Remove, old);
    run(c, 20);
    propose(c, fresh);
    run(c, 5 * second); // judged by the oracle
    CHECK_NOTHROW(c.settle());
}

TEST_CASE("a lost disk's host is let in only once it has caught up, without being asked to", "[consensus]")
{
    Cluster c(3, 1);
    const size_t leader = lead(c);
    const size_t lost = other(c, { leader });
    act(c, Do::LoseDisk, lost);
    act(c, Do::Start, lost);
    c.run({ Do::Cut, static_cast<uint32_t>(leader), static_cast<uint32_t>(lost) });
    act(c, Do::Repair, lost);
    run(c, 10 * second);
    const ReplicaId id = c.hosts[lost].id;
    CHECK(findMember(latestMembers(replica(c, leader)), id)->role == Role::Joining);
    CHECK_FALSE(bootAnswer(replica(c, lost)));
    act(c, Do::Heal, 0);
    run(c, second);
    CHECK(findMember(latestMembers(replica(c, leader)), id)->role == Role::Voter);
    CHECK(latestMembers(replica(c, leader)).list.size() == 3); // the lost one is out
    CHECK(bootAnswer(replica(c, lost)));
}

TEST_CASE("a voter whose disk hangs counts for nothing", "[consensus]")
{
    // The disk of one host stops finishing its writes. What only its memory holds is gone with the next power cut.
    SECTION("a leader does not count itself")
    {
        Cluster c(3, 1);
        const size_t leader = lead(c);
        c.run({ Do::Split, bit(other(c, { leader })), 0 });
        act(c, Do::Slow, leader);
        propose(c, leader);
        run(c, 20);
        CHECK(c.oracle.accepted.empty());
        act(c, Do::Fast, leader);
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
        act(c, Do::Slow, candidate);
        REQUIRE(runUntil(c, [&] { return c.leader() != c.hosts.size(); }));
        CHECK(c.leader() != candidate);
    }
}

TEST_CASE("a promise leaves a replica only once it is on the disk", "[consensus]")
{
    // The power goes between an answer and the write behind it. A vote given twice in a term makes two leaders; an entry
    // counted on this replica and gone takes an accepted version with it.
    Durable disk;
    disk.id = { 1 };
    disk.snapshot.meta.members.list = { { { 1 }, { "a" }, Role::Voter, {} }, { { 2 }, { "b" }, Role::Voter, {} }, { { 3 }, { "c" }, Role::Voter, {} } };
    Replica r = make(disk, {});
    const base::Time now { 100 };

    Ready ready = step(r, Received { { { 2 }, { 1 }, { 5 }, VoteAsk { false, {}, {} } } }, now, 1);
    REQUIRE(ready.persist);
    CHECK(ready.messages.empty());
    ready = step(r, Persisted { ready.persist->sequence }, now, 1);
    REQUIRE(ready.messages.size() == 1);
    CHECK(std::get<VoteAnswer>(ready.messages[0].body).granted);

    const Entry entry { { 1 }, { 5 }, EntryKind::Data, "x", {} };
    ready = step(r, Received { { { 2 }, { 1 }, { 5 }, AppendEntries { {}, {}, { entry }, {}, {}, 0 } } }, now, 1);
    REQUIRE(ready.persist);
    CHECK(ready.messages.empty());
    const uint64_t sequence = ready.persist->sequence;
    // Told twice, the second answer waits for the same write.
    ready = step(r, Received { { { 2 }, { 1 }, { 5 }, AppendEntries { {}, {}, { entry }, {}, {}, 0 } } }, now, 1);
    CHECK(ready.messages.empty());
    ready = step(r, Persisted { sequence }, now, 1);
    REQUIRE(ready.messages.size() == 2);
    CHECK(std::get<AppendAnswer>(ready.messages[0].body).index == LogIndex { 1 });

    // The commit that it learns is promised too: nodes start no lower because a majority has recorded it.
    ready = step(r, Received { { { 2 }, { 1 }, { 5 }, AppendEntries { { 1 }, { 5 }, {}, { 1 }, {}, 0 } } }, now, 1);
    REQUIRE(ready.persist);
    CHECK(ready.persist->state.commit == LogIndex { 1 });
    CHECK(ready.messages.empty());
    CHECK(bootAnswer(r)->recordedCommit == LogIndex {});
    ready = step(r, Persisted { ready.persist->sequence }, now, 1);
    CHECK(std::get<AppendAnswer>(ready.messages.at(0).body).recordedCommit == LogIndex { 1 });
    CHECK(bootAnswer(r)->recordedCommit == LogIndex { 1 });

    // Its own candidacy: forgotten by a crash, it could lead the same term twice.
    ready = step(r, Tick {}, { 5000 }, 1);
    ready = step(r, Received { { { 2 }, { 1 }, { 6 }, VoteAnswer { true, true } } }, { 5000 }, 1);
    REQUIRE(r.raftRole == RaftRole::Candidate);
    CHECK(ready.messages.empty());
}

TEST_CASE("what a new leader's log replaces counts for nothing any more", "[consensus]")
{
    // A follower holds entries that were never accepted. The next leader replaces them, by entries or by a snapshot, and
    // the write that does so is still under way when this replica has to say what it holds.
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
        CHECK(ready.persist->cutFrom == LogIndex { 2 });
        CHECK(lastIndex(r) == LogIndex { 2 });
        CHECK(r.durableIndex == LogIndex { 1 });
        CHECK(ready.committed.size() == 2);

        // A snapshot of it, taken before the record of its commit is durable, hides what was recorded.
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
        CHECK(ready.persist->cutFrom == LogIndex { 1 });
        CHECK(lastIndex(r) == LogIndex { 2 });
        CHECK(r.durableIndex == LogIndex {});
        CHECK(*ready.restore->data == "state");
    }
}

TEST_CASE("a freshly formatted replica gives no vote and hears nothing meant for the one before", "[consensus]")
{
    // A voter's disk is replaced. The one before may have voted in this term; a vote of the fresh one could make a
    // second leader, and answers in its place would count for entries that it does not have.
    Durable blank;
    blank.id = { 9 };
    Replica r = make(blank, {});
    for (const bool pre : { true, false }) {
        const VoteAsk ask { pre, { 100 }, { 7 } };
        const Ready ready = step(r, Received { { { 1 }, { 9 }, { 8 }, ask } }, { 5000 }, 1);
        CHECK_FALSE(ready.persist);
        for (const Message& it : ready.messages)
            CHECK_FALSE(std::get<VoteAnswer>(it.body).granted);
    }
    const Ready ready = step(r, Received { { { 1 }, { 3 }, { 8 }, AppendEntries {} } }, { 5000 }, 1);
    CHECK(ready.messages.empty());
    CHECK_FALSE(ready.persist);
}

TEST_CASE("a leader that dies while a change of members spreads leaves voters that can elect", "[consensus]")
{
    // The change stands only in the dead leader's log, which is longer than the others' and which counts other voters.
    SECTION("a change that takes the leader itself out")
    {
        Cluster c(3, 1);
        const size_t leader = lead(c);
        act(c, Do::Remove, other(c, { leader }));
        run(c, second);
        const LogIndex before = latestMembers(replica(c, leader)).index;
        REQUIRE(before.value > 0);
        act(c, Do::Remove, leader);
        REQUIRE(runUntil(c, [&] { return latestMembers(replica(c, leader)).index > before; }));
        c.network.clear();
        c.run({ Do::Split, bit(leader), 0 });
        run(c, 2 * second);
        act(c, Do::Heal, 0);
        run(c, 5 * second);
        CHECK(c.leader() != c.hosts.size());
        CHECK_NOTHROW(c.settle());
    }
    SECTION("a change that lets a repaired host in")
    {
        Cluster c(3, 1);
        const size_t leader = lead(c);
        const size_t lost = other(c, { leader });
        act(c, Do::LoseDisk, lost);
        act(c, Do::Start, lost);
        act(c, Do::Repair, lost);
        const ReplicaId id = c.hosts[lost].id;
        REQUIRE(runUntil(c, [&] {
            const Member* it = findMember(latestMembers(replica(c, leader)), id);
            return it && it->role == Role::Voter;
        }));
        c.network.clear();
        act(c, Do::Sync, leader);
        act(c, Do::Crash, leader);
        act(c, Do::Start, leader);
        run(c, 10 * second);
        CHECK(c.leader() != c.hosts.size());
        CHECK_NOTHROW(c.settle());
    }
}

TEST_CASE("a leader whose followers are slow refuses what it could only hoard", "[consensus]")
{
    // The disks of the other voters hang while operators go on submitting. Without a bound the leader's memory fills.
    Cluster c(3, 1);
    const size_t leader = lead(c);
    replica(c, leader).config.pendingEntries = 2;
    c.run({ Do::Split, bit(leader), 0 });
    for (int n = 0; n < 4; ++n)
        propose(c, leader);
    CHECK(replica(c, leader).proposals.size() == 2);
    act(c, Do::Heal, 0);
    run(c, 20);
    CHECK(c.oracle.accepted.size() == 2);
}

TEST_CASE("a booting node believes the newest members that any answer knows", "[consensus]")
{
    // Two voters were taken out long ago and were never told; they and a stale third still call themselves a majority.
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

TEST_CASE("foreign bytes are no message", "[consensus]")
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
            (void)decode(changed); // anything but a crash
        }
    }
}
