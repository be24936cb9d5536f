// Changes of members, one at a time, and the repair that the leader performs on its own.
//
// A repair has three changes: the new replica joins as a non-voter; once caught up it becomes a voter; then the lost
// replica is removed. In this order there are never fewer replicas that hold accepted entries than before the loss. Any
// later leader can continue a repair, since the remaining steps follow from the members.
//
// Where a host's new replica proves that the previous one is lost (Config::oneReplicaPerHost), the last two are one
// change. Majorities before and after it need not share a replica, but those that can still act do: the lost replica
// does not respond. Its earlier votes and records no longer count either, since joining was released by a majority
// without it.
#include "appletally/consensus/core.h"

#include <algorithm>

namespace appletally::consensus::core {

// A change may start only when the previous one is released and this leader has committed an entry of its own. The
// first condition makes a booting node's majority overlap with every earlier one (released.h). Without the second, two
// leaders that each started a change from the same members could have majorities that share no replica.
static bool changeAllowed(const Replica& r)
{
    return !r.change && r.commit >= r.termStart && r.released >= latestMembers(r).index && r.commit >= latestMembers(r).index;
}

static void refuseChange(Context& c, uint64_t id)
{
    const Replica& r = c.replica;
    c.ready.refused.push_back({ id, base::Code::NoQuorum, r.id, r.host });
}

// A change is applied as soon as it is in the log, and one whose voters are unreachable would stop the log permanently,
// for example when a voter's host fails and an operator who is unaware of it removes a healthy one. Responses from
// before the request prove nothing about that, so a majority of the new voters has to respond once more.
static void beginChange(Context& c, std::optional<uint64_t> id, std::vector<Member> list)
{
    Replica& r = c.replica;
    std::sort(list.begin(), list.end(), [](const Member& a, const Member& b) { return a.id < b.id; });
    r.round++;
    r.change = PendingChange { std::move(list), id, r.round, c.now + r.config.electionTimeout };
    sendHeartbeats(c);
    advanceChange(c);
}

static bool votersAnswered(const Replica& r, const PendingChange& change)
{
    const Members newMembers { {}, change.list };
    size_t answered = 0;
    for (const Member& it : change.list) {
        const auto progress = r.progress.find(it.id);
        const bool confirmed = it.id == r.id || (progress != r.progress.end() && progress->second.round >= change.round);
        answered += it.role == Role::Voter && confirmed;
    }
    return answered >= majority(newMembers);
}

void advanceChange(Context& c)
{
    Replica& r = c.replica;
    if (!r.change)
        return;
    if (votersAnswered(r, *r.change)) {
        const LogIndex index { lastIndex(r).value + 1 };
        if (r.change->id)
            r.proposals[index.value] = { r.state.term, *r.change->id };
        append(c, { index, r.state.term, EntryKind::MemberChange, {}, std::move(r.change->list) });
        r.change.reset();
        syncProgress(c);
        sendUpdates(c);
    } else if (c.now >= r.change->deadline) {
        if (r.change->id)
            refuseChange(c, *r.change->id);
        r.change.reset();
    }
}

static bool hasVoters(const std::vector<Member>& list)
{
    return std::any_of(list.begin(), list.end(), [](const Member& it) { return it.role == Role::Voter; });
}

static std::vector<Member> without(std::vector<Member> list, ReplicaId id)
{
    std::erase_if(list, [&](const Member& it) { return it.id == id; });
    for (Member& it : list)
        if (it.replaces == id)
            it.replaces = {};
    return list;
}

static std::vector<Member> withAdded(std::vector<Member> list, Member added)
{
    if (added.role == Role::Voter)
        added.role = Role::Joining;
    for (const Member& it : std::vector<Member>(list)) {
        if (it.host != added.host)
            continue;
        // A host has a single data folder, so its previous replica is lost.
        if (it.role != Role::Voter)
            list = without(std::move(list), it.id);
        else if (added.role == Role::Joining)
            added.replaces = it.id;
    }
    list.push_back(std::move(added));
    return list;
}

void receive(Context& c, const AddMembers& input)
{
    const Replica& r = c.replica;
    const Members& members = latestMembers(r);
    const auto isMember = [&](const Member& it) { return findMember(members, it.id) != nullptr; };
    if (std::all_of(input.members.begin(), input.members.end(), isMember)) {
        c.ready.accepted.push_back({ input.id, members.index });
        return;
    }
    const bool haveIds = std::all_of(input.members.begin(), input.members.end(), [](const Member& it) { return it.id.value != 0; });
    if (!changeAllowed(r) || !haveIds) {
        refuseChange(c, input.id);
        return;
    }
    std::vector<Member> list = members.list;
    for (const Member& it : input.members) {
        if (!findMember({ {}, list }, it.id))
            list = withAdded(std::move(list), it);
    }
    beginChange(c, input.id, std::move(list));
}

void receive(Context& c, const RemoveMember& input)
{
    const Replica& r = c.replica;
    const Members& members = latestMembers(r);
    if (!findMember(members, input.replica)) {
        c.ready.accepted.push_back({ input.id, members.index });
        return;
    }
    std::vector<Member> list = without(members.list, input.replica);
    if (!changeAllowed(r) || !hasVoters(list)) {
        refuseChange(c, input.id);
        return;
    }
    beginChange(c, input.id, std::move(list));
}

// A voter that has replaced another replica that is still a member.
static const Member* completedReplacement(const Members& members)
{
    for (const Member& it : members.list)
        if (it.role == Role::Voter && findMember(members, it.replaces))
            return &it;
    return nullptr;
}

static bool responds(const Replica& r, ReplicaId id, base::Time now)
{
    const auto progress = r.progress.find(id);
    return id == r.id || (progress != r.progress.end() && progress->second.hasResponded && now - progress->second.lastContact < r.config.electionTimeout);
}

// Joining, and holds everything that is committed. Promoted earlier, it would count for a majority while it still
// copies the log, and the loss of one more host would stop the log for that time.
static bool isCaughtUp(const Replica& r, const Members& members, const Member& member, base::Time now)
{
    if (member.role != Role::Joining || !responds(r, member.id, now))
        return false;
    const Progress& p = r.progress.at(member.id);
    return p.matchIndex >= r.commit && p.recordedCommit >= members.index;
}

// A further voter makes an odd number even, which raises the majority but not the number of tolerated losses. With a
// voter down at that moment no further loss would be tolerated, so the replica stays on standby until that voter
// responds or is removed. A replica that replaces a member is promoted regardless: the member's removal follows.
static bool mayBecomeVoter(const Replica& r, const Members& members, const Member& joining, base::Time now)
{
    size_t voters = 0;
    bool allRespond = true;
    for (const Member& it : members.list) {
        if (it.role != Role::Voter)
            continue;
        voters++;
        allRespond &= responds(r, it.id, now);
    }
    if (findMember(members, joining.replaces))
        return true;
    const bool belowLimit = r.config.maxVoters == 0 || voters < r.config.maxVoters;
    return belowLimit && (voters % 2 == 0 || allRespond);
}

static const Member* nextVoterToPromote(const Replica& r, const Members& members, base::Time now)
{
    for (const Member& it : members.list) {
        if (isCaughtUp(r, members, it, now) && mayBecomeVoter(r, members, it, now))
            return &it;
    }
    return nullptr;
}

static bool provesReplicaLost(const Replica& r, const Members& members, const Member& joining)
{
    const Member* replaced = findMember(members, joining.replaces);
    return r.config.oneReplicaPerHost && replaced && replaced->host == joining.host;
}

void advanceRepair(Context& c)
{
    const Replica& r = c.replica;
    if (!isLeader(r) || !changeAllowed(r))
        return;
    const Members& members = latestMembers(r);
    std::vector<Member> list = members.list;
    if (const Member* it = completedReplacement(members)) {
        list = without(std::move(list), it->replaces);
    } else if (const Member* joining = nextVoterToPromote(r, members, c.now)) {
        const ReplicaId id = joining->id;
        std::find_if(list.begin(), list.end(), [&](const Member& m) { return m.id == id; })->role = Role::Voter;
        if (provesReplicaLost(r, members, *joining))
            list = without(std::move(list), joining->replaces);
    } else {
        return;
    }
    beginChange(c, {}, std::move(list));
}

} // namespace appletally::consensus::core

namespace appletally::consensus {

std::set<ReplicaId> respondingVoters(const Replica& r, base::Time now)
{
    std::set<ReplicaId> out;
    for (const Member& it : latestMembers(r).list) {
        if (it.role == Role::Voter && core::responds(r, it.id, now))
            out.insert(it.id);
    }
    return out;
}

bool hasCaughtUp(const Replica& r)
{
    return core::isVoter(latestMembers(r), r.id) || findMember(committedMembers(r), r.id);
}

bool hasStandby(const Replica& r, base::Time now)
{
    const Members& members = latestMembers(r);
    return isLeader(r) && std::any_of(members.list.begin(), members.list.end(), [&](const Member& it) {
        return core::isCaughtUp(r, members, it, now) && !findMember(members, it.replaces);
    });
}

} // namespace appletally::consensus
