// Simulated network, disks and oracle for the tests of the replicated log.
#include "consensus_cluster.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace appletally::consensus::testing {

// Names of the commands in traces, in the order of Op.
static constexpr std::array<const char*, static_cast<size_t>(Op::Count)> opNames { "run", "pass", "propose", "read", "deliver",
    "drop", "twice", "sync", "crash", "start", "lose-disk", "freeze", "thaw", "cut", "heal", "repair", "remove", "compact", "slow", "fast", "split", "noise", "strike", "outage",
    "return", "calm" };

std::string toString(const Action& it)
{
    return std::string(opNames[static_cast<size_t>(it.what)]) + " " + std::to_string(it.a) + " " + std::to_string(it.b);
}

Action parseAction(const std::string& line)
{
    std::istringstream in(line);
    std::string name;
    Action result;
    in >> name >> result.a >> result.b;
    const auto* it = std::find(opNames.begin(), opNames.end(), name);
    if (it == opNames.end())
        throw InvariantViolation("unknown command: " + line);
    result.what = static_cast<Op>(it - opNames.begin());
    return result;
}

static void expect(bool holds, const std::string& what)
{
    if (!holds)
        throw InvariantViolation(what);
}

static uint64_t nextRandom(Cluster& c)
{
    c.random = c.random * 6364136223846793005U + 1442695040888963407U;
    return c.random >> 20;
}

static base::HostId hostName(size_t n) { return { "h" + std::to_string(n) }; }

// Ids increase with each format, unlike real random ids, to keep a shrunk run readable.
static void format(Cluster& c, size_t host, ReplicaId id, std::vector<Member> members)
{
    Folder& folder = c.folders[id];
    folder.durable.id = id;
    folder.durable.host = hostName(host);
    folder.durable.snapshot.meta.members.list = std::move(members);
    c.hostOf[id] = host;
    c.hosts[host].id = id;
}

static void start(Cluster& c, size_t n)
{
    Host& host = c.hosts[n];
    if (host.up)
        return;
    host.up = true;
    host.frozen = false;
    host.replica = make(c.folders[host.id].durable, c.config);
    host.state.clear();
    host.applied = {};
    c.stepHost(n, Tick {});
}

Cluster::Cluster(size_t hostCount, uint64_t seed, base::Duration electionTimeout, bool oneReplicaPerHost, size_t maxVoters)
    : random(seed)
    , hosts(hostCount)
{
    config.electionTimeout = electionTimeout;
    config.heartbeat = electionTimeout / 10;
    config.retainedEntries = 3;
    config.maxChunkBytes = 16;
    config.maxAppendBytes = 24;
    config.oneReplicaPerHost = oneReplicaPerHost;
    config.maxVoters = maxVoters;
    std::vector<Member> members;
    for (size_t n = 0; n < hostCount; ++n)
        members.push_back({ { n + 1 }, hostName(n), maxVoters == 0 || n < maxVoters ? Role::Voter : Role::Joining, {} });
    for (size_t n = 0; n < hostCount; ++n)
        format(*this, n, { n + 1 }, members);
    // Leases depend on clocks; safety has to hold with inaccurate clocks as well.
    for (size_t n = 0; n < hostCount; ++n) {
        hosts[n].clockPercent = seed < 4 ? 100 : 60 + static_cast<int64_t>(nextRandom(*this) % 80);
        start(*this, n);
    }
}

// --- Disk ---

void applyPersist(Durable& disk, const Persist& p)
{
    if (p.snapshot) {
        disk.snapshot = *p.snapshot;
        std::erase_if(disk.entries, [&](const Entry& it) { return it.index < p.retainFrom; });
    }
    if (p.truncateFrom.value)
        std::erase_if(disk.entries, [&](const Entry& it) { return it.index >= p.truncateFrom; });
    disk.entries.insert(disk.entries.end(), p.entries.begin(), p.entries.end());
    disk.state = p.state;
}

static void sync(Cluster& c, size_t n)
{
    Host& host = c.hosts[n];
    if (host.writes.empty())
        return;
    const uint64_t sequence = host.writes.front().sequence;
    applyPersist(c.folders[host.id].durable, host.writes.front());
    host.writes.erase(host.writes.begin());
    if (host.up && !host.frozen)
        c.stepHost(n, Persisted { sequence });
}

static void crash(Cluster& c, size_t n, size_t reached)
{
    Host& host = c.hosts[n];
    if (!host.up)
        return;
    host.up = false;
    host.frozen = false;
    host.crashAfterSteps = 0;
    for (size_t w = 0; w < host.writes.size() && w < reached; ++w)
        applyPersist(c.folders[host.id].durable, host.writes[w]);
    host.writes.clear();
}

static LogIndex recorded(const Folder& folder)
{
    return std::max(folder.durable.state.commit, folder.durable.snapshot.meta.index);
}

// --- Oracle ---

static std::string stateAt(const Oracle& oracle, LogIndex index)
{
    std::string result;
    for (const auto& [at, entry] : oracle.applied)
        if (at <= index && entry.kind == EntryKind::Data)
            result += entry.data + " ";
    return result;
}

static void checkApplied(Cluster& c, Host& host, const Ready& ready)
{
    if (ready.restore) {
        host.applied = ready.restore->meta.index;
        host.state = *ready.restore->data;
        expect(host.state == stateAt(c.oracle, host.applied), "a snapshot differs from the state applied elsewhere");
    }
    for (const Entry& it : ready.committed) {
        expect(it.index.value == host.applied.value + 1, "an entry was applied out of order");
        const auto [known, isNew] = c.oracle.applied.emplace(it.index, it);
        expect(isNew || known->second == it, "two different entries were applied at index " + std::to_string(it.index.value));
        host.applied = it.index;
        if (it.kind == EntryKind::Data)
            host.state += it.data + " ";
    }
}

static void checkResults(Cluster& c, const Ready& ready)
{
    Oracle& oracle = c.oracle;
    for (const Accepted& it : ready.accepted) {
        if (!oracle.proposed.contains(it.id))
            continue; // a change of members
        expect(oracle.applied.contains(it.index) && oracle.applied.at(it.index).data == oracle.proposed[it.id], "accepted, but the log has another entry at its index");
        oracle.accepted[it.index] = oracle.proposed[it.id];
        oracle.proposed.erase(it.id);
    }
    for (const Refused& it : ready.refused)
        if (oracle.proposed.contains(it.id))
            for (const auto& [index, entry] : oracle.applied)
                expect(entry.data != oracle.proposed[it.id], "refused, but it was applied");
    oracle.proposalsUnknown += ready.unknown.size();
    for (const ReadReady& it : ready.reads) {
        expect(it.index >= oracle.reads[it.id], "a read would miss an entry accepted before the request");
        oracle.readsAnswered++;
    }
}

static bool recordedByMajority(Cluster& c, const Members& members, LogIndex index)
{
    size_t voters = 0;
    size_t recorders = 0;
    for (const Member& it : members.list) {
        if (it.role != Role::Voter)
            continue;
        voters++;
        recorders += recorded(c.folders[it.id]) >= index;
    }
    return recorders * 2 > voters;
}

// A step may release an index and then start a change of members, so the members that apply are those before the step
// for an index before the change, and those after the step otherwise.
static void checkReleased(Cluster& c, const Members& before, const Replica& r)
{
    if (releasedIndex(r) <= c.oracle.released)
        return;
    c.oracle.released = releasedIndex(r);
    const Members& after = latestMembers(r);
    const bool beforeChange = after.index > before.index && c.oracle.released < after.index;
    expect(recordedByMajority(c, beforeChange ? before : after, c.oracle.released), "released, but no majority has recorded it as committed");
}

static void checkBootAnswers(Cluster& c)
{
    std::vector<BootAnswer> all;
    for (const Host& it : c.hosts)
        if (it.up)
            if (const auto answer = bootAnswer(it.replica))
                all.push_back(*answer);
    LogIndex released; // proven by any of the answers: a source distributes it from now on
    for (size_t mask = 1; mask < (size_t { 1 } << all.size()); ++mask) {
        std::vector<BootAnswer> some;
        for (size_t n = 0; n < all.size(); ++n)
            if (mask >> n & 1)
                some.push_back(all[n]);
        const auto proven = minBootIndex(some);
        expect(!proven || *proven >= c.oracle.released, "a booting node would start below what was released");
        released = std::max(released, provenReleasedIndex(some).value_or(LogIndex {}));
    }
    c.oracle.released = std::max(c.oracle.released, released);
}

void Cluster::stepHost(size_t n, Input input)
{
    Host& host = hosts[n];
    steps++;
    const Members before = latestMembers(host.replica);
    Ready ready = step(host.replica, std::move(input), { now.ms * host.clockPercent / 100 }, nextRandom(*this));
    if (ready.persist)
        host.writes.push_back(std::move(*ready.persist));
    if (ready.becameLeader) {
        const auto [known, isNew] = oracle.leaders.emplace(host.replica.state.term, host.id);
        expect(isNew, "two leaders in one term");
    }
    for (Message& it : ready.messages) {
        Message copy = decode(encode(it)).value();
        if (hostOf.contains(it.to) && !cuts.contains({ n, hostOf[it.to] }))
            network.push_back({ std::move(copy), hostOf[it.to] });
    }
    checkApplied(*this, host, ready);
    checkResults(*this, ready);
    checkReleased(*this, before, host.replica);
    if (host.crashAfterSteps > 0 && --host.crashAfterSteps == 0)
        crash(*this, n, 0);
}

// --- Commands ---

size_t Cluster::leader() const
{
    size_t best = hosts.size();
    for (size_t n = 0; n < hosts.size(); ++n)
        if (hosts[n].up && !hosts[n].frozen && isLeader(hosts[n].replica)
            && (best == hosts.size() || hosts[best].replica.state.term < hosts[n].replica.state.term))
            best = n;
    return best;
}

static void deliver(Cluster& c, size_t n, bool keep)
{
    if (c.network.empty())
        return;
    n %= c.network.size();
    const InFlightMessage it = c.network[n];
    Host& host = c.hosts[it.to];
    if (host.up && host.frozen)
        return; // stays in its socket
    if (!keep)
        c.network.erase(c.network.begin() + static_cast<int64_t>(n));
    if (host.up && !c.cuts.contains({ c.hostOf[it.message.from], it.to }))
        c.stepHost(it.to, Received { it.message });
}

static bool injectsFault(Cluster& c) { return c.noise > 0 && nextRandom(c) % 100 < c.noise; }

static void syncAll(Cluster& c)
{
    for (size_t n = 0; n < c.hosts.size(); ++n)
        while (!c.hosts[n].frozen && !c.hosts[n].diskStalled && !c.hosts[n].writes.empty() && !injectsFault(c))
            sync(c, n);
}

static void deliverAll(Cluster& c)
{
    for (int round = 0; round < 6; ++round) {
        syncAll(c);
        size_t at = 0;
        for (size_t count = c.network.size(); count > 0 && at < c.network.size(); --count) {
            const Host& host = c.hosts[c.network[at].to];
            const uint64_t fate = injectsFault(c) ? nextRandom(c) % 3 : 3;
            if ((host.up && host.frozen) || fate == 0)
                at++;
            else if (fate == 1)
                c.network.erase(c.network.begin() + static_cast<int64_t>(at));
            else
                deliver(c, at, fate == 2);
        }
    }
}

static void tickAll(Cluster& c)
{
    c.now = c.now + base::Duration { 10 };
    for (size_t n = 0; n < c.hosts.size(); ++n)
        if (c.hosts[n].up && !c.hosts[n].frozen)
            c.stepHost(n, Tick {});
}

// The log guarantees nothing once a majority of the voters' disks is lost, so the test loses only a minority: of the
// newest committed members, and of all newer ones in any log.
static bool isLossTolerable(const Cluster& c, ReplicaId id)
{
    LogIndex newest;
    for (const auto& [index, entry] : c.oracle.applied)
        if (entry.kind == EntryKind::MemberChange)
            newest = index;
    for (const auto& [other, folder] : c.folders) {
        if (folder.lost)
            continue;
        const Host& host = c.hosts[c.hostOf.at(other)];
        const Replica replica = host.up ? host.replica : make(folder.durable, c.config);
        std::vector<Members> all = replica.members;
        if (replica.change)
            all.push_back({ lastIndex(replica), replica.change->list });
        for (const Members& members : all) {
            if (members.index < newest)
                continue;
            size_t voters = 0;
            size_t lost = 0;
            for (const Member& it : members.list) {
                voters += it.role == Role::Voter;
                lost += it.role == Role::Voter && (it.id == id || c.folders.at(it.id).lost);
            }
            if (lost * 2 >= voters && voters > 0)
                return false;
        }
    }
    return true;
}

void Cluster::replaceDisk(size_t host)
{
    crash(*this, host, 0);
    folders[hosts[host].id].lost = true;
    format(*this, host, { folders.rbegin()->first.value + 1 }, {});
}

size_t Cluster::addHost()
{
    hosts.emplace_back();
    format(*this, hosts.size() - 1, { folders.rbegin()->first.value + 1 }, {});
    return hosts.size() - 1;
}

static void loseDisk(Cluster& c, size_t n)
{
    crash(c, n, 0);
    if (isLossTolerable(c, c.hosts[n].id))
        c.replaceDisk(n);
}

static void propose(Cluster& c, size_t n)
{
    const uint64_t id = ++c.lastId;
    // Long enough that each entry is sent in its own message.
    const std::string name = "p" + std::to_string(id);
    c.oracle.proposed[id] = name + std::string(c.config.maxAppendBytes - name.size(), '.');
    c.stepHost(n, Propose { id, c.oracle.proposed[id] });
}

static void read(Cluster& c, size_t n)
{
    const uint64_t id = ++c.lastId;
    c.oracle.reads[id] = c.oracle.accepted.empty() ? LogIndex {} : c.oracle.accepted.rbegin()->first;
    c.stepHost(n, ReadIndex { id });
}

static void repair(Cluster& c, size_t n)
{
    const size_t leader = c.leader();
    if (leader != c.hosts.size())
        c.stepHost(leader, AddMembers { ++c.lastId, { { c.hosts[n].id, hostName(n), Role::Joining, {} } } });
}

static bool isUp(const Cluster& c, size_t n) { return n < c.hosts.size() && c.hosts[n].up && !c.hosts[n].frozen; }

static void split(Cluster& c, uint32_t mask)
{
    for (size_t a = 0; a < c.hosts.size(); ++a)
        for (size_t b = 0; b < c.hosts.size(); ++b)
            if ((mask >> a & 1) != (mask >> b & 1))
                c.cuts.insert({ a, b });
}

void Cluster::run(const Action& action)
{
    const size_t a = action.a % hosts.size();
    const size_t b = action.b % hosts.size();
    const bool runs = isUp(*this, a);
    const size_t chosen = action.a < hosts.size() ? action.a : leader();
    switch (action.what) {
    case Op::Run:
        for (uint32_t n = 0; n < action.a; ++n) {
            tickAll(*this);
            deliverAll(*this);
        }
        break;
    case Op::AdvanceClock:
        for (uint32_t n = 0; n < action.a; ++n)
            tickAll(*this);
        break;
    case Op::Propose:
        if (isUp(*this, chosen))
            propose(*this, chosen);
        break;
    case Op::Read:
        if (isUp(*this, chosen))
            read(*this, chosen);
        break;
    case Op::Deliver:
        deliver(*this, action.a, false);
        break;
    case Op::Duplicate:
        deliver(*this, action.a, true);
        break;
    case Op::Drop:
        if (!network.empty())
            network.erase(network.begin() + action.a % network.size());
        break;
    case Op::Sync:
        sync(*this, a);
        break;
    case Op::Crash:
        crash(*this, a, action.b);
        break;
    case Op::Start:
        start(*this, a);
        break;
    case Op::LoseDisk:
        loseDisk(*this, a);
        break;
    case Op::Freeze:
        hosts[a].frozen = hosts[a].up;
        break;
    case Op::Thaw:
        hosts[a].frozen = false;
        break;
    case Op::CutLink:
        cuts.insert({ a, b });
        break;
    case Op::RestoreLinks:
        cuts.clear();
        break;
    case Op::AddReplica:
        repair(*this, a);
        break;
    case Op::RemoveReplica:
        if (leader() != hosts.size())
            stepHost(leader(), RemoveMember { ++lastId, hosts[a].id });
        break;
    case Op::TakeSnapshot:
        if (runs)
            stepHost(a, SnapshotTaken { hosts[a].applied, std::make_shared<const std::string>(hosts[a].state) });
        break;
    case Op::StallDisk:
        hosts[a].diskStalled = true;
        break;
    case Op::ResumeDisk:
        hosts[a].diskStalled = false;
        break;
    case Op::Partition:
        split(*this, action.a);
        break;
    case Op::Noise:
        noise = action.a % 100;
        break;
    case Op::CrashAfter:
        hosts[a].crashAfterSteps = runs ? action.b + 1 : 0;
        break;
    case Op::Outage:
        for (size_t n = 0; n < hosts.size(); ++n)
            if (action.a >> n & 1)
                crash(*this, n, 0);
        break;
    case Op::StartAll:
        for (size_t n = 0; n < hosts.size(); ++n)
            start(*this, n);
        break;
    case Op::ClearFaults:
        clearFaults();
        break;
    case Op::Count:
        break;
    }
    checkBootAnswers(*this);
}

// --- Settling ---

static bool hasExpectedMembers(const Cluster& c)
{
    const size_t leader = c.leader();
    if (leader == c.hosts.size())
        return false;
    const Members& members = committedMembers(c.hosts[leader].replica);
    if (members.list.size() != c.hosts.size())
        return false;
    const auto isMember = [&](const Host& it) { return findMember(members, it.id) != nullptr; };
    const auto voters = std::count_if(members.list.begin(), members.list.end(), [](const Member& it) { return it.role == Role::Voter; });
    const size_t expectedVoters = c.config.maxVoters == 0 ? c.hosts.size() : std::min(c.config.maxVoters, c.hosts.size());
    return std::all_of(c.hosts.begin(), c.hosts.end(), isMember) && static_cast<size_t>(voters) == expectedVoters;
}

static std::string describeMembers(const Cluster& c)
{
    static constexpr std::array<const char*, 4> roleNames { "", "learner", "joining", "voter" };
    const size_t leader = c.leader();
    if (leader == c.hosts.size())
        return ": no leader";
    std::string out = ":";
    for (const Member& it : committedMembers(c.hosts[leader].replica).list)
        out += " " + it.host.text + " (replica " + std::to_string(it.id.value) + ", " + roleNames[static_cast<size_t>(it.role)] + ", replaces " + std::to_string(it.replaces.value) + ")";
    return out;
}

// A host that was permanently removed gets a newly formatted folder, as an operator would do.
static void reformatRemoved(Cluster& c)
{
    const size_t leader = c.leader();
    if (leader == c.hosts.size())
        return;
    for (size_t n = 0; n < c.hosts.size(); ++n) {
        const ReplicaId id = c.hosts[n].id;
        if (findMember(latestMembers(c.hosts[leader].replica), id))
            continue;
        if (!committedMembers(c.hosts[n].replica).list.empty() && isLossTolerable(c, id)) {
            loseDisk(c, n);
            start(c, n);
        }
        repair(c, n);
    }
}

void Cluster::clearFaults()
{
    cuts.clear();
    noise = 0;
    for (size_t n = 0; n < hosts.size(); ++n) {
        hosts[n].crashAfterSteps = 0;
        hosts[n].frozen = false;
        hosts[n].diskStalled = false;
        start(*this, n);
    }
}

void Cluster::settle()
{
    clearFaults();
    constexpr uint32_t second = 100;
    run({ Op::Run, static_cast<uint32_t>(config.electionTimeout.ms * 6 / 10), 0 }); // lets pending operations end
    for (int n = 0; n < 30 && !hasExpectedMembers(*this); ++n) {
        run({ Op::Run, second, 0 });
        reformatRemoved(*this);
    }
    expect(hasExpectedMembers(*this), "30 s after the last fault the set of members is not complete" + describeMembers(*this));
    const size_t before = oracle.accepted.size();
    propose(*this, leader());
    run({ Op::Run, second, 0 });
    expect(oracle.accepted.size() == before + 1, "a proposal to a healthy cluster was not accepted within 1 s");
    expect(oracle.released == oracle.applied.rbegin()->first, "an entry accepted by a healthy cluster was not released within 1 s");
    const std::string all = stateAt(oracle, oracle.applied.rbegin()->first);
    for (const Host& it : hosts)
        expect(it.state == all, "replica " + std::to_string(it.id.value) + " of a healthy cluster has state '" + it.state + "' instead of '" + all + "'");
    for (const auto& [index, data] : oracle.accepted)
        expect(oracle.applied.at(index).data == data, "an accepted entry is lost");
}

} // namespace appletally::consensus::testing
