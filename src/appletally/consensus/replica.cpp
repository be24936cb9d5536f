// Entry point of the step function: checks timeouts, handles the input, then collects the output.
#include "appletally/consensus/replica.h"

#include "appletally/consensus/core.h"

#include <algorithm>
#include <utility>

namespace appletally::consensus {

using core::Context;

namespace core {

    void send(Context& c, ReplicaId to, decltype(Message::body) body)
    {
        c.ready.messages.push_back({ c.replica.id, to, c.replica.state.term, std::move(body) });
    }

    void sendAfterPersist(Context& c, ReplicaId to, decltype(Message::body) body)
    {
        c.heldMessages.push_back({ c.replica.id, to, c.replica.state.term, std::move(body) });
    }

} // namespace core

Replica make(const Durable& durable, const Config& config)
{
    Replica r;
    r.config = config;
    r.id = durable.id;
    r.host = durable.host;
    r.state = durable.state;
    r.snapshot = std::make_shared<const Snapshot>(durable.snapshot);
    r.entries = durable.entries;
    r.applied = durable.snapshot.meta.index;
    r.commit = std::max(r.state.commit, r.applied);
    r.state.commit = r.commit;
    r.recordedCommit = r.commit;
    r.durableIndex = lastIndex(r);
    core::rebuildMembers(r);
    return r;
}

// After a pause of this process (a long computation, an overloaded processor, a freeze), messages from other replicas
// may still be unread in its sockets. Replicas heard within an election timeout before the pause get a grace period
// before they count as unresponsive, once until they are heard again, and a follower starts no election during its
// leader's. A pause of two election timeouts or more gets no grace period: by then the others are expected to have
// elected another leader.
static void extendTimeoutsAfterPause(Context& c)
{
    Replica& r = c.replica;
    const base::Duration grace = r.config.heartbeat * 2;
    const base::Duration timeout = r.config.electionTimeout;
    const base::Time lastStep = std::exchange(r.lastStep, c.now);
    if (c.now - lastStep < grace || c.now - lastStep >= timeout * 2)
        return;
    const auto extend = [&](base::Time& lastContact, bool& extended) {
        if (extended || lastStep - lastContact >= timeout)
            return false;
        lastContact = std::max(lastContact, c.now - timeout + grace);
        return extended = true;
    };
    if (!isLeader(r)) {
        if (extend(r.lastLeaderContact, r.leaderContactExtended))
            r.electionDeadline = std::max(r.electionDeadline, c.now + grace);
        return;
    }
    for (auto& [id, it] : r.progress)
        extend(it.lastContact, it.contactExtended);
}

// The process may have been frozen for any time before this step. Lease and election timeout are checked before the
// input, so that a leader resumed after its lease expired steps down before it accepts a proposal.
static void checkTimeouts(Context& c)
{
    Replica& r = c.replica;
    extendTimeoutsAfterPause(c);
    if (isLeader(r) && !core::majorityResponds(c, latestMembers(r)))
        core::becomeFollower(c, r.state.term, {});
    if (isLeader(r)) {
        core::advanceChange(c);
        if (c.now >= r.nextHeartbeat)
            core::sendHeartbeats(c);
        return;
    }
    if (c.now < r.electionDeadline)
        return;
    if (core::mayCampaign(r))
        core::startPreVote(c);
    else
        core::resetElectionTimeout(c);
}

static Refused notLeader(const Replica& r, uint64_t id)
{
    Refused result { id, base::Code::NotLeader, r.leader, {} };
    if (const Member* it = findMember(latestMembers(r), r.leader))
        result.leaderHost = it->host;
    return result;
}

static void handle(Context&, const Tick&) { }

static void deliver(Context& c, const Message& m)
{
    Replica& r = c.replica;
    // A message for the replica that this host had before its disk was lost is not meant for this one.
    if (m.to != r.id)
        return;
    std::visit([&](const auto& body) { core::receive(c, m, body); }, m.body);
}

static void handle(Context& c, const Received& input) { deliver(c, input.message); }

static void handle(Context& c, const Propose& input)
{
    Replica& r = c.replica;
    if (!isLeader(r)) {
        c.ready.refused.push_back(notLeader(r, input.id));
        return;
    }
    if (lastIndex(r).value - r.commit.value >= r.config.maxPendingEntries) {
        c.ready.refused.push_back({ input.id, base::Code::Overloaded, r.id, r.host });
        return;
    }
    const LogIndex index { lastIndex(r).value + 1 };
    r.proposals[index.value] = { r.state.term, input.id };
    core::append(c, { index, r.state.term, EntryKind::Data, input.data, {} });
    core::sendUpdates(c);
}

template <typename Input>
static void handleOnLeader(Context& c, const Input& input)
{
    if (isLeader(c.replica))
        core::receive(c, input);
    else
        c.ready.refused.push_back(notLeader(c.replica, input.id));
}

static void handle(Context& c, const ReadIndex& input) { handleOnLeader(c, input); }
static void handle(Context& c, const AddMembers& input) { handleOnLeader(c, input); }
static void handle(Context& c, const RemoveMember& input) { handleOnLeader(c, input); }

static void handle(Context& c, const Persisted& input)
{
    Replica& r = c.replica;
    r.persisted = std::max(r.persisted, input.sequence);
    while (!r.pendingPersists.empty() && r.pendingPersists.begin()->first <= r.persisted) {
        const auto [last, commit] = r.pendingPersists.begin()->second;
        r.durableIndex = std::max(r.durableIndex, last);
        r.recordedCommit = std::max(r.recordedCommit, commit);
        r.pendingPersists.erase(r.pendingPersists.begin());
    }
    std::vector<HeldMessage> unsent;
    std::swap(unsent, r.heldMessages);
    for (HeldMessage& it : unsent) {
        if (it.sequence > r.persisted)
            r.heldMessages.push_back(std::move(it));
        else if (it.message.to == r.id)
            deliver(c, it.message); // this replica's own vote
        else
            c.ready.messages.push_back(std::move(it.message));
    }
    if (isLeader(r))
        core::processProgress(c);
}

static void handle(Context& c, const SnapshotTaken& input)
{
    Replica& r = c.replica;
    if (input.index <= r.snapshot->meta.index || input.index > r.applied)
        return;
    Snapshot taken { { input.index, *core::termAt(r, input.index), core::membersAt(r, input.index) }, input.data };
    const uint64_t first = core::firstIndex(r).value;
    const uint64_t retainStart = input.index.value + 1 > r.config.retainedEntries ? input.index.value + 1 - r.config.retainedEntries : 1;
    const uint64_t retainFrom = std::max(first, retainStart);
    r.entries.erase(r.entries.begin(), r.entries.begin() + static_cast<int64_t>(retainFrom - first));
    r.snapshot = std::make_shared<const Snapshot>(std::move(taken));
    r.persist.snapshot = r.snapshot;
    r.persist.retainFrom = { retainFrom };
}

static void collectCommitted(Context& c)
{
    Replica& r = c.replica;
    while (r.applied < r.commit) {
        r.applied.value++;
        const Entry& entry = r.entries[r.applied.value - core::firstIndex(r).value];
        c.ready.committed.push_back(entry);
        if (entry.kind == EntryKind::MemberChange)
            c.ready.membersChanged = true;
        const auto it = r.proposals.find(entry.index.value);
        if (it == r.proposals.end())
            continue;
        if (it->second.first == entry.term)
            c.ready.accepted.push_back({ it->second.second, entry.index });
        else
            c.ready.unknown.push_back({ it->second.second });
        r.proposals.erase(it);
    }
    // A removed leader continues to lead until its removal is committed, so that the entry does get committed.
    if (isLeader(r) && !core::isVoter(latestMembers(r), r.id) && latestMembers(r).index <= r.commit)
        core::becomeFollower(c, r.state.term, {});
}

static void collectPersist(Context& c)
{
    Replica& r = c.replica;
    Persist& p = r.persist;
    if (p.snapshot || p.truncateFrom.value || !p.entries.empty() || p.stateChanged) {
        p.sequence = ++r.sequence;
        p.state = r.state;
        r.pendingPersists[p.sequence] = { lastIndex(r), r.state.commit };
        c.ready.persist = std::move(p);
        r.persist = {};
    }
    for (Message& it : c.heldMessages) {
        if (r.sequence > r.persisted)
            r.heldMessages.push_back({ r.sequence, std::move(it) });
        else
            c.ready.messages.push_back(std::move(it));
    }
}

Ready step(Replica& r, Input input, base::Time now, uint64_t random)
{
    Ready ready;
    Context c { r, now, random, ready, {} };
    if (!r.started) {
        r.started = true;
        r.lastStep = now;
        core::startFirstElectionTimeout(c);
        if (r.snapshot->data)
            ready.restore = r.snapshot;
    }
    checkTimeouts(c);
    std::visit([&](const auto& it) { handle(c, it); }, input);
    collectCommitted(c);
    collectPersist(c);
    return ready;
}

const Members& latestMembers(const Replica& r) { return r.members.back(); }

const Members& committedMembers(const Replica& r) { return r.members.front(); }

const Member* findMember(const Members& members, ReplicaId id)
{
    const auto it = std::find_if(members.list.begin(), members.list.end(), [&](const Member& m) { return m.id == id; });
    return it == members.list.end() ? nullptr : &*it;
}

LogIndex lastIndex(const Replica& r) { return r.entries.empty() ? r.snapshot->meta.index : r.entries.back().index; }

} // namespace appletally::consensus
