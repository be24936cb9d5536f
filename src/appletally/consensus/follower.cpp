// Follower: receives entries and snapshots from the leader, checks them against the local log and makes them durable
// before responding.
#include "appletally/consensus/core.h"

#include <algorithm>

namespace appletally::consensus::core {

// Returns false for a message of an older leader; the response carries the newer term so that it steps down.
static bool followLeader(Context& c, const Message& m)
{
    Replica& r = c.replica;
    if (m.term < r.state.term) {
        send(c, m.from, AppendResponse {});
        return false;
    }
    if (m.term == r.state.term && isLeader(r))
        return false; // impossible: a term has one leader
    if (m.term > r.state.term || r.raftRole != RaftRole::Follower)
        becomeFollower(c, m.term, m.from);
    r.leader = m.from;
    r.lastLeaderContact = c.now;
    r.leaderContactExtended = false;
    r.hasHeardLeader = true;
    resetElectionTimeout(c);
    return true;
}

static bool isContiguous(const AppendEntries& append)
{
    uint64_t index = append.previousIndex.value;
    for (const Entry& it : append.entries)
        if (it.index.value != ++index)
            return false;
    return true;
}

// Where the leader probes next: before all entries of the conflicting term.
static LogIndex conflictHint(const Replica& r, LogIndex previous)
{
    if (lastIndex(r) < previous)
        return lastIndex(r);
    const std::optional<Term> term = termAt(r, previous);
    LogIndex index { previous.value - 1 };
    while (index > r.commit && termAt(r, index) == term)
        index.value--;
    return index;
}

static void storeEntries(Context& c, const AppendEntries& body)
{
    Replica& r = c.replica;
    for (const Entry& it : body.entries) {
        if (it.index <= r.commit)
            continue;
        const std::optional<Term> storedTerm = termAt(r, it.index);
        if (storedTerm == it.term)
            continue;
        if (storedTerm)
            truncateFrom(c, it.index);
        append(c, it);
    }
}

void receive(Context& c, const Message& m, const AppendEntries& body)
{
    Replica& r = c.replica;
    if (!isContiguous(body) || !followLeader(c, m))
        return;
    r.released = std::max(r.released, body.released);
    // Up to the commit the local log equals that of any leader.
    const bool matches = body.previousIndex <= r.commit || termAt(r, body.previousIndex) == body.previousTerm;
    if (!matches) {
        sendAfterPersist(c, m.from, AppendResponse { false, conflictHint(r, body.previousIndex), r.state.commit, body.round });
        return;
    }
    storeEntries(c, body);
    const LogIndex matched { body.previousIndex.value + body.entries.size() };
    const LogIndex commit = std::min(body.commit, matched);
    if (commit > r.commit)
        setCommit(c, commit);
    sendAfterPersist(c, m.from, AppendResponse { true, matched, r.state.commit, body.round });
}

static void installSnapshot(Context& c, const SnapshotChunk& chunk)
{
    Replica& r = c.replica;
    const bool continues = termAt(r, chunk.meta.index) == chunk.meta.term;
    if (!continues)
        truncateFrom(c, firstIndex(r));
    r.snapshot = std::make_shared<const Snapshot>(
        Snapshot { chunk.meta, std::make_shared<const std::string>(std::move(r.incomingSnapshotData)) });
    r.incomingSnapshotData = {};
    r.incomingSnapshot = {};
    r.entries.erase(r.entries.begin(),
        std::find_if(r.entries.begin(), r.entries.end(), [&](const Entry& it) { return it.index > chunk.meta.index; }));
    r.persist.snapshot = r.snapshot;
    r.persist.retainFrom = { chunk.meta.index.value + 1 };
    r.applied = chunk.meta.index;
    setCommit(c, chunk.meta.index);
    rebuildMembers(r);
    c.ready.restore = r.snapshot;
    c.ready.membersChanged = true;
}

void receive(Context& c, const Message& m, const SnapshotChunk& chunk)
{
    Replica& r = c.replica;
    if (!followLeader(c, m))
        return;
    if (chunk.meta.index <= r.commit) {
        sendAfterPersist(c, m.from, AppendResponse { true, r.commit, r.state.commit, chunk.round });
        return;
    }
    if (r.incomingSnapshot != chunk.meta) {
        r.incomingSnapshot = chunk.meta;
        r.incomingSnapshotData.clear();
    }
    if (chunk.offset == r.incomingSnapshotData.size())
        r.incomingSnapshotData += chunk.data;
    if (r.incomingSnapshotData.size() < chunk.total || chunk.offset > r.incomingSnapshotData.size()) {
        send(c, m.from, SnapshotResponse { chunk.meta.index, r.incomingSnapshotData.size(), chunk.round });
        return;
    }
    installSnapshot(c, chunk);
    sendAfterPersist(c, m.from, AppendResponse { true, chunk.meta.index, r.state.commit, chunk.round });
}

} // namespace appletally::consensus::core
