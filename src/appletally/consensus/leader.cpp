// Leader: replicates entries and snapshots, and advances commit, release and reads from the responses.
#include "appletally/consensus/core.h"

#include <algorithm>

namespace appletally::consensus::core {

// The highest value that a majority of the voters has reached.
template <typename ValueOf>
static auto reachedByMajority(const Replica& r, ValueOf valueOf)
{
    const Members& members = latestMembers(r);
    std::vector<decltype(valueOf(ReplicaId {}))> values;
    for (const Member& it : members.list)
        if (it.role == Role::Voter)
            values.push_back(valueOf(it.id));
    std::sort(values.begin(), values.end(), std::greater<> {});
    return values[majority(members) - 1];
}

static const Progress& progressOf(const Replica& r, ReplicaId id) { return r.progress.at(id); }

void syncProgress(Context& c)
{
    Replica& r = c.replica;
    const Members& members = latestMembers(r);
    std::erase_if(r.progress, [&](const auto& it) { return !findMember(members, it.first); });
    for (const Member& it : members.list) {
        if (it.id == r.id || r.progress.contains(it.id))
            continue;
        Progress& p = r.progress[it.id];
        p.nextIndex = { lastIndex(r).value + 1 };
        p.lastContact = c.now;
        p.lastSent = c.now;
    }
}

void becomeLeader(Context& c)
{
    Replica& r = c.replica;
    r.raftRole = RaftRole::Leader;
    r.leader = r.id;
    r.votes.clear();
    r.progress.clear();
    c.ready.becameLeader = true;
    syncProgress(c);
    r.termStart = { lastIndex(r).value + 1 };
    append(c, { r.termStart, r.state.term, EntryKind::NoOp, {}, {} });
    sendHeartbeats(c);
}

// Leader lease, by the leader's own clock: without it a leader behind a partition that drops packets silently would
// keep accepting proposals that cannot be committed, and its clients would wait instead of contacting other replicas.
bool majorityResponds(const Context& c, const Members& members)
{
    const Replica& r = c.replica;
    size_t responding = 0;
    for (const Member& it : members.list) {
        if (it.role != Role::Voter)
            continue;
        const auto progress = r.progress.find(it.id);
        responding += it.id == r.id || (progress != r.progress.end() && c.now - progress->second.lastContact < r.config.electionTimeout);
    }
    return responding >= majority(members);
}

static AppendEntries emptyAppend(const Replica& r, LogIndex previous)
{
    // An index that is no longer in memory can only be committed, where 0 matches as well.
    const std::optional<Term> term = termAt(r, previous);
    return { term ? previous : LogIndex {}, term.value_or(Term {}), {}, r.commit, r.released, r.round };
}

static void sendSnapshotChunk(Context& c, ReplicaId to, Progress& p)
{
    const Replica& r = c.replica;
    const Snapshot& snapshot = *r.snapshot;
    if (p.snapshotIndex != snapshot.meta.index) {
        p.snapshotIndex = snapshot.meta.index;
        p.snapshotOffset = 0;
    }
    const std::string none;
    const std::string& bytes = snapshot.data ? *snapshot.data : none;
    p.snapshotOffset = std::min<uint64_t>(p.snapshotOffset, bytes.size());
    p.awaitingResponse = true;
    p.lastSent = c.now;
    send(c, to, SnapshotChunk { snapshot.meta, p.snapshotOffset, bytes.size(), bytes.substr(p.snapshotOffset, r.config.maxChunkBytes), r.round });
}

static void sendEntries(Context& c, ReplicaId to, Progress& p)
{
    const Replica& r = c.replica;
    AppendEntries body = emptyAppend(r, { p.nextIndex.value - 1 });
    size_t bytes = 0;
    const LogIndex first = firstIndex(r);
    for (size_t n = p.nextIndex.value - first.value; n < r.entries.size() && bytes < r.config.maxAppendBytes; ++n) {
        body.entries.push_back(r.entries[n]);
        bytes += r.entries[n].data.size();
    }
    if (!body.entries.empty()) {
        p.awaitingResponse = true;
        p.lastSent = c.now;
    }
    p.sentCommit = r.commit;
    p.sentReleased = r.released;
    send(c, to, std::move(body));
}

static void sendMissing(Context& c, ReplicaId to, Progress& p)
{
    const bool inLog = p.nextIndex >= firstIndex(c.replica) && termAt(c.replica, { p.nextIndex.value - 1 });
    if (inLog)
        sendEntries(c, to, p);
    else
        sendSnapshotChunk(c, to, p);
}

void sendUpdates(Context& c)
{
    Replica& r = c.replica;
    for (auto& [id, p] : r.progress) {
        const bool hasUpdates = p.nextIndex <= lastIndex(r) || p.sentCommit < r.commit || p.sentReleased < r.released;
        if (hasUpdates && !p.awaitingResponse)
            sendMissing(c, id, p);
    }
}

void sendHeartbeats(Context& c)
{
    Replica& r = c.replica;
    r.nextHeartbeat = c.now + r.config.heartbeat;
    for (auto& [id, p] : r.progress) {
        const bool votes = isVoter(latestMembers(r), id);
        if (!votes && c.now < p.nextHeartbeat)
            continue;
        p.nextHeartbeat = c.now + r.config.heartbeat * r.config.nonVoterHeartbeatPeriod;
        if (p.awaitingResponse && c.now - p.lastSent >= r.config.heartbeat * 4)
            p.awaitingResponse = false; // the message or its response was lost: resend
        if (p.awaitingResponse)
            send(c, id, emptyAppend(r, p.matchIndex));
        else
            sendMissing(c, id, p);
    }
}

// Only entries of the leader's own term are committed by counting replicas: an entry of an older term on a majority may
// still be replaced by a leader that does not have it.
static void advanceCommit(Context& c)
{
    Replica& r = c.replica;
    const LogIndex reached = reachedByMajority(r, [&](ReplicaId id) { return id == r.id ? r.durableIndex : progressOf(r, id).matchIndex; });
    if (reached > r.commit && termAt(r, reached) == r.state.term)
        setCommit(c, reached);
}

static void advanceReleased(Context& c)
{
    Replica& r = c.replica;
    const LogIndex reached = reachedByMajority(r, [&](ReplicaId id) { return id == r.id ? r.recordedCommit : progressOf(r, id).recordedCommit; });
    r.released = std::max(r.released, reached);
}

// A read is safe once a majority has responded to a round started after the read: no other leader was elected by then,
// so nothing can have been accepted elsewhere that this leader lacks.
static void confirmReads(Context& c)
{
    Replica& r = c.replica;
    const uint64_t confirmed = reachedByMajority(r, [&](ReplicaId id) { return id == r.id ? r.round : progressOf(r, id).round; });
    std::erase_if(r.reads, [&](const PendingRead& it) {
        if (it.round > confirmed || it.index > r.commit)
            return false;
        c.ready.reads.push_back({ it.id, it.index });
        return true;
    });
}

void processProgress(Context& c)
{
    advanceCommit(c);
    advanceReleased(c);
    confirmReads(c);
    advanceChange(c);
    advanceRepair(c);
    sendUpdates(c);
}

void receive(Context& c, const ReadIndex& input)
{
    Replica& r = c.replica;
    r.round++;
    // Before its first entry is committed, the leader does not know how far its predecessors had committed.
    r.reads.push_back({ input.id, std::max(r.commit, r.termStart), r.round });
    sendHeartbeats(c);
    confirmReads(c);
}

// Returns null if the response is not for this leader or the sender is not a member.
static Progress* recordResponse(Context& c, const Message& m, uint64_t round)
{
    Replica& r = c.replica;
    if (m.term > r.state.term)
        becomeFollower(c, m.term, {});
    const auto it = r.progress.find(m.from);
    if (m.term != r.state.term || !isLeader(r) || it == r.progress.end())
        return nullptr;
    it->second.lastContact = c.now;
    it->second.contactExtended = false;
    it->second.hasResponded = true;
    it->second.round = std::max(it->second.round, round);
    return &it->second;
}

void receive(Context& c, const Message& m, const AppendResponse& response)
{
    Progress* p = recordResponse(c, m, response.round);
    if (!p)
        return;
    p->recordedCommit = std::max(p->recordedCommit, response.recordedCommit);
    if (response.matched) {
        if (response.index > p->matchIndex) {
            p->matchIndex = response.index;
            p->awaitingResponse = false;
        }
        p->nextIndex = std::max(p->nextIndex, LogIndex { p->matchIndex.value + 1 });
        if (p->snapshotIndex <= p->matchIndex)
            p->snapshotIndex = {};
    } else if (response.index >= p->matchIndex) {
        p->nextIndex = std::max(LogIndex { p->matchIndex.value + 1 }, std::min(LogIndex { response.index.value + 1 }, LogIndex { p->nextIndex.value - 1 }));
        p->awaitingResponse = false;
    }
    processProgress(c);
}

void receive(Context& c, const Message& m, const SnapshotResponse& response)
{
    Progress* p = recordResponse(c, m, response.round);
    if (!p)
        return;
    if (p->snapshotIndex == response.index && response.index.value != 0) {
        p->snapshotOffset = response.offset;
        p->awaitingResponse = false;
    }
    processProgress(c);
}

} // namespace appletally::consensus::core
