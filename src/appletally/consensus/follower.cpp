// A follower's side: entries and snapshots of the leader, checked against what is here and made durable before the
// answer that says so.
#include "appletally/consensus/core.h"

#include <algorithm>

namespace appletally::consensus::core {

// False: a message of an older leader, answered with the newer term so that it steps down.
static bool followSender(Context& c, const Message& m)
{
    Replica& r = c.replica;
    if (m.term < r.state.term) {
        send(c, m.from, AppendAnswer {});
        return false;
    }
    if (m.term == r.state.term && isLeader(r))
        return false; // cannot be: a term has one leader
    if (m.term > r.state.term || r.raftRole != RaftRole::Follower)
        becomeFollower(c, m.term, m.from);
    r.leader = m.from;
    r.leaderHeard = c.now;
    r.leaderHeardExtended = false;
    r.leaderEverHeard = true;
    resetElection(c);
    return true;
}

static bool withoutGaps(const AppendEntries& append)
{
    uint64_t index = append.previousIndex.value;
    for (const Entry& it : append.entries)
        if (it.index.value != ++index)
            return false;
    return true;
}

// Where the leader should try next: before all entries of the term that does not fit.
static LogIndex hint(const Replica& r, LogIndex previous)
{
    if (lastIndex(r) < previous)
        return lastIndex(r);
    const std::optional<Term> term = termAt(r, previous);
    LogIndex index { previous.value - 1 };
    while (index > r.commit && termAt(r, index) == term)
        index.value--;
    return index;
}

static void takeEntries(Context& c, const AppendEntries& body)
{
    Replica& r = c.replica;
    for (const Entry& it : body.entries) {
        if (it.index <= r.commit)
            continue;
        const std::optional<Term> here = termAt(r, it.index);
        if (here == it.term)
            continue;
        if (here)
            cutFrom(c, it.index);
        append(c, it);
    }
}

void receive(Context& c, const Message& m, const AppendEntries& body)
{
    Replica& r = c.replica;
    if (!withoutGaps(body) || !followSender(c, m))
        return;
    r.released = std::max(r.released, body.released);
    // Up to the commit everything equals the leader's, whoever leads.
    const bool fits = body.previousIndex <= r.commit || termAt(r, body.previousIndex) == body.previousTerm;
    if (!fits) {
        sendOnceDurable(c, m.from, AppendAnswer { false, hint(r, body.previousIndex), r.state.commit, body.round });
        return;
    }
    takeEntries(c, body);
    const LogIndex matched { body.previousIndex.value + body.entries.size() };
    const LogIndex commit = std::min(body.commit, matched);
    if (commit > r.commit)
        setCommit(c, commit);
    sendOnceDurable(c, m.from, AppendAnswer { true, matched, r.state.commit, body.round });
}

static void install(Context& c, const SnapshotChunk& chunk)
{
    Replica& r = c.replica;
    const bool continues = termAt(r, chunk.meta.index) == chunk.meta.term;
    if (!continues)
        cutFrom(c, firstIndex(r));
    r.snapshot = std::make_shared<const Snapshot>(
        Snapshot { chunk.meta, std::make_shared<const std::string>(std::move(r.incomingData)) });
    r.incomingData = {};
    r.incoming = {};
    r.entries.erase(r.entries.begin(),
        std::find_if(r.entries.begin(), r.entries.end(), [&](const Entry& it) { return it.index > chunk.meta.index; }));
    r.persist.snapshot = r.snapshot;
    r.persist.keepFrom = { chunk.meta.index.value + 1 };
    r.applied = chunk.meta.index;
    setCommit(c, chunk.meta.index);
    rebuildMembers(r);
    c.ready.restore = r.snapshot;
    c.ready.membersChanged = true;
}

void receive(Context& c, const Message& m, const SnapshotChunk& chunk)
{
    Replica& r = c.replica;
    if (!followSender(c, m))
        return;
    if (chunk.meta.index <= r.commit) {
        sendOnceDurable(c, m.from, AppendAnswer { true, r.commit, r.state.commit, chunk.round });
        return;
    }
    if (r.incoming != chunk.meta) {
        r.incoming = chunk.meta;
        r.incomingData.clear();
    }
    if (chunk.offset == r.incomingData.size())
        r.incomingData += chunk.data;
    if (r.incomingData.size() < chunk.total || chunk.offset > r.incomingData.size()) {
        send(c, m.from, SnapshotAnswer { chunk.meta.index, r.incomingData.size(), chunk.round });
        return;
    }
    install(c, chunk);
    sendOnceDurable(c, m.from, AppendAnswer { true, chunk.meta.index, r.state.commit, chunk.round });
}

} // namespace appletally::consensus::core
