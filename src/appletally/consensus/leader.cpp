// The leader's side: spreading entries and snapshots, and what may be concluded from the answers.
#include "appletally/consensus/core.h"

#include <algorithm>

namespace appletally::consensus::core {

// The highest value that a majority of the voters has reached.
template <typename Of>
static auto reachedByMajority(const Replica& r, Of of)
{
    const Members& members = latestMembers(r);
    std::vector<decltype(of(ReplicaId {}))> values;
    for (const Member& it : members.list)
        if (it.role == Role::Voter)
            values.push_back(of(it.id));
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
        p.next = { lastIndex(r).value + 1 };
        p.heard = c.now;
        p.sent = c.now;
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
    append(c, { r.termStart, r.state.term, EntryKind::Nothing, {}, {} });
    sendHeartbeats(c);
}

// A lease by the leader's own clock: without it a leader behind a silent cut would go on taking proposals that nobody
// accepts, and its callers would wait instead of asking the others.
bool majorityHeard(const Context& c, const Members& members)
{
    const Replica& r = c.replica;
    size_t heard = 0;
    for (const Member& it : members.list) {
        if (it.role != Role::Voter)
            continue;
        const auto progress = r.progress.find(it.id);
        heard += it.id == r.id || (progress != r.progress.end() && c.now - progress->second.heard < r.config.electionTimeout);
    }
    return heard >= majority(members);
}

static AppendEntries emptyAppend(const Replica& r, LogIndex previous)
{
    // An index that is no longer here can only lie in the committed part, where 0 fits as well.
    const std::optional<Term> term = termAt(r, previous);
    return { term ? previous : LogIndex {}, term.value_or(Term {}), {}, r.commit, r.released, r.round };
}

static void sendChunk(Context& c, ReplicaId to, Progress& p)
{
    const Replica& r = c.replica;
    const Snapshot& snapshot = *r.snapshot;
    if (p.snapshot != snapshot.meta.index) {
        p.snapshot = snapshot.meta.index;
        p.offset = 0;
    }
    const std::string none;
    const std::string& bytes = snapshot.data ? *snapshot.data : none;
    p.offset = std::min<uint64_t>(p.offset, bytes.size());
    p.waiting = true;
    p.sent = c.now;
    send(c, to, SnapshotChunk { snapshot.meta, p.offset, bytes.size(), bytes.substr(p.offset, r.config.chunkBytes), r.round });
}

static void sendEntries(Context& c, ReplicaId to, Progress& p)
{
    const Replica& r = c.replica;
    AppendEntries body = emptyAppend(r, { p.next.value - 1 });
    size_t bytes = 0;
    const LogIndex first = firstIndex(r);
    for (size_t n = p.next.value - first.value; n < r.entries.size() && bytes < r.config.appendBytes; ++n) {
        body.entries.push_back(r.entries[n]);
        bytes += r.entries[n].data.size();
    }
    if (!body.entries.empty()) {
        p.waiting = true;
        p.sent = c.now;
    }
    p.sentCommit = r.commit;
    p.sentReleased = r.released;
    send(c, to, std::move(body));
}

static void sendWhatItLacks(Context& c, ReplicaId to, Progress& p)
{
    const bool here = p.next >= firstIndex(c.replica) && termAt(c.replica, { p.next.value - 1 });
    if (here)
        sendEntries(c, to, p);
    else
        sendChunk(c, to, p);
}

void sendNews(Context& c)
{
    Replica& r = c.replica;
    for (auto& [id, p] : r.progress) {
        const bool news = p.next <= lastIndex(r) || p.sentCommit < r.commit || p.sentReleased < r.released;
        if (news && !p.waiting)
            sendWhatItLacks(c, id, p);
    }
}

void sendHeartbeats(Context& c)
{
    Replica& r = c.replica;
    r.heartbeatAt = c.now + r.config.heartbeat;
    for (auto& [id, p] : r.progress) {
        const bool votes = isVoter(latestMembers(r), id);
        if (!votes && c.now < p.heartbeatAt)
            continue;
        p.heartbeatAt = c.now + r.config.heartbeat * r.config.nonVoterHeartbeatPeriod;
        if (p.waiting && c.now - p.sent >= r.config.heartbeat * 4)
            p.waiting = false; // lost, or its answer was: send it again
        if (p.waiting)
            send(c, id, emptyAppend(r, p.match));
        else
            sendWhatItLacks(c, id, p);
    }
}

// Only an entry of its own term shows a leader what is committed: one of an older term on a majority may still be
// replaced by a leader that never saw it.
static void advanceCommit(Context& c)
{
    Replica& r = c.replica;
    const LogIndex reached = reachedByMajority(r, [&](ReplicaId id) { return id == r.id ? r.durableIndex : progressOf(r, id).match; });
    if (reached > r.commit && termAt(r, reached) == r.state.term)
        setCommit(c, reached);
}

static void advanceReleased(Context& c)
{
    Replica& r = c.replica;
    const LogIndex reached = reachedByMajority(r, [&](ReplicaId id) { return id == r.id ? r.recordedCommit : progressOf(r, id).recordedCommit; });
    r.released = std::max(r.released, reached);
}

// A read is safe once a majority has answered a round that began after it: no other leader had been elected by then,
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

void afterProgress(Context& c)
{
    advanceCommit(c);
    advanceReleased(c);
    confirmReads(c);
    continueChange(c);
    continueRepair(c);
    sendNews(c);
}

void receive(Context& c, const ReadIndex& input)
{
    Replica& r = c.replica;
    r.round++;
    // Before its first entry is committed the leader does not know how far its predecessors had committed.
    r.reads.push_back({ input.id, std::max(r.commit, r.termStart), r.round });
    sendHeartbeats(c);
    confirmReads(c);
}

// Null: not for this leader, or from nobody that it knows.
static Progress* heardFrom(Context& c, const Message& m, uint64_t round)
{
    Replica& r = c.replica;
    if (m.term > r.state.term)
        becomeFollower(c, m.term, {});
    const auto it = r.progress.find(m.from);
    if (m.term != r.state.term || !isLeader(r) || it == r.progress.end())
        return nullptr;
    it->second.heard = c.now;
    it->second.heardExtended = false;
    it->second.answered = true;
    it->second.round = std::max(it->second.round, round);
    return &it->second;
}

void receive(Context& c, const Message& m, const AppendAnswer& answer)
{
    Progress* p = heardFrom(c, m, answer.round);
    if (!p)
        return;
    p->recordedCommit = std::max(p->recordedCommit, answer.recordedCommit);
    if (answer.matched) {
        if (answer.index > p->match) {
            p->match = answer.index;
            p->waiting = false;
        }
        p->next = std::max(p->next, LogIndex { p->match.value + 1 });
        if (p->snapshot <= p->match)
            p->snapshot = {};
    } else if (answer.index >= p->match) {
        p->next = std::max(LogIndex { p->match.value + 1 }, std::min(LogIndex { answer.index.value + 1 }, LogIndex { p->next.value - 1 }));
        p->waiting = false;
    }
    afterProgress(c);
}

void receive(Context& c, const Message& m, const SnapshotAnswer& answer)
{
    Progress* p = heardFrom(c, m, answer.round);
    if (!p)
        return;
    if (p->snapshot == answer.index && answer.index.value != 0) {
        p->offset = answer.offset;
        p->waiting = false;
    }
    afterProgress(c);
}

} // namespace appletally::consensus::core
