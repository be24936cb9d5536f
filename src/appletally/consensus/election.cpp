// Leader election: pre-vote, vote and election timeouts.
//
// Pre-vote is for a replica that returns after it was cut off: it would increment its term with every failed election
// and depose a healthy leader on its return. It requests pre-votes first, and a replica that hears a leader does not
// grant one.
#include "appletally/consensus/core.h"

namespace appletally::consensus::core {

bool isVoter(const Members& members, ReplicaId id)
{
    const Member* it = findMember(members, id);
    return it && it->role == Role::Voter;
}

size_t majority(const Members& members)
{
    size_t voters = 0;
    for (const Member& it : members.list)
        voters += it.role == Role::Voter;
    return voters / 2 + 1;
}

void resetElectionTimeout(Context& c)
{
    const int64_t minTimeout = c.replica.config.electionTimeout.ms;
    c.replica.electionDeadline = c.now + base::Duration { minTimeout + static_cast<int64_t>(c.random % static_cast<uint64_t>(minTimeout)) };
}

void startFirstElectionTimeout(Context& c)
{
    const int64_t minTimeout = c.replica.config.firstElectionTimeout.ms;
    c.replica.electionDeadline = c.now + base::Duration { minTimeout + static_cast<int64_t>(c.random % static_cast<uint64_t>(minTimeout)) };
}

void becomeFollower(Context& c, Term term, ReplicaId leader)
{
    Replica& r = c.replica;
    if (isLeader(r)) {
        c.ready.lostLeadership = true;
        for (const auto& [index, proposal] : r.proposals)
            c.ready.unknown.push_back({ proposal.second });
        for (const PendingRead& it : r.reads)
            c.ready.refused.push_back({ it.id, base::Code::NotLeader, leader, {} });
        if (r.change && r.change->id)
            c.ready.refused.push_back({ *r.change->id, base::Code::NotLeader, leader, {} });
        r.change.reset();
        r.proposals.clear();
        r.reads.clear();
        r.progress.clear();
    }
    if (term > r.state.term) {
        r.state.term = term;
        r.state.vote = {};
        r.persist.stateChanged = true;
        r.incomingSnapshot = {};
        r.incomingSnapshotData.clear();
    }
    if (r.raftRole != RaftRole::Follower)
        resetElectionTimeout(c);
    r.raftRole = RaftRole::Follower;
    r.leader = leader;
    r.votes.clear();
}

static bool isLogUpToDate(const Replica& r, const VoteRequest& request)
{
    const LogIndex last = lastIndex(r);
    const Term lastTerm = *termAt(r, last);
    return request.lastTerm > lastTerm || (request.lastTerm == lastTerm && request.lastIndex >= last);
}

// A leader was heard within its lease. Granting a vote now would depose a leader that a majority still follows, which a
// replica cut off in one direction would otherwise cause repeatedly.
static bool leaderInLease(const Context& c)
{
    const Replica& r = c.replica;
    return isLeader(r) || (r.hasHeardLeader && c.now - r.lastLeaderContact < r.config.electionTimeout);
}

// Only a replica that has caught up can have been promoted, so one that knows no members has not been: it is newly
// formatted. A learner does grant votes: the candidate has a change in its log that makes the learner a voter and
// counts its vote on that basis. If learners refused until they had the change themselves, a leader that failed while
// replicating the change could leave a member set in which no candidate can win.
static bool mayVote(const Replica& r) { return !latestMembers(r).list.empty(); }

// Includes a voter that its own log removes, until the removal is committed: it may hold the only copy of that entry,
// and then no replica with a shorter log can win against it.
bool mayCampaign(const Replica& r) { return isVoter(latestMembers(r), r.id) || isVoter(committedMembers(r), r.id); }

static void requestVotes(Context& c, bool pre)
{
    Replica& r = c.replica;
    const LogIndex last = lastIndex(r);
    const VoteRequest request { pre, last, *termAt(r, last) };
    for (const Member& it : latestMembers(r).list) {
        if (it.role != Role::Voter || it.id == r.id)
            continue;
        if (pre)
            c.ready.messages.push_back({ r.id, it.id, { r.state.term.value + 1 }, request });
        else
            sendAfterPersist(c, it.id, request); // if a crash lost the vote, the same term could get two leaders
    }
}

static void startElection(Context& c)
{
    Replica& r = c.replica;
    r.raftRole = RaftRole::Candidate;
    r.leader = {};
    r.votes.clear();
    r.state.term.value++;
    r.state.vote = r.id;
    r.persist.stateChanged = true;
    r.incomingSnapshot = {};
    r.incomingSnapshotData.clear();
    resetElectionTimeout(c);
    requestVotes(c, false);
    sendAfterPersist(c, r.id, VoteResponse { false, true });
}

void startPreVote(Context& c)
{
    Replica& r = c.replica;
    r.raftRole = RaftRole::PreCandidate;
    r.leader = {};
    r.votes.clear();
    if (isVoter(latestMembers(r), r.id))
        r.votes.insert(r.id);
    // When all replicas have just started, the first requests are sent before the links are up. Repeating them only
    // after a full election timeout left the cluster without a leader for 0.7 s longer, and restarted nodes served no
    // requests meanwhile.
    if (r.hasHeardLeader)
        resetElectionTimeout(c);
    else
        startFirstElectionTimeout(c);
    if (r.votes.size() >= majority(latestMembers(r)))
        startElection(c);
    else
        requestVotes(c, true);
}

static void respondToPreVote(Context& c, const Message& m, const VoteRequest& request)
{
    Replica& r = c.replica;
    const bool granted = mayVote(r) && m.term > r.state.term && !leaderInLease(c) && isLogUpToDate(r, request);
    c.ready.messages.push_back({ r.id, m.from, granted ? m.term : r.state.term, VoteResponse { true, granted } });
}

void receive(Context& c, const Message& m, const VoteRequest& request)
{
    Replica& r = c.replica;
    if (request.pre) {
        respondToPreVote(c, m, request);
        return;
    }
    if (m.term < r.state.term || !mayVote(r)) {
        send(c, m.from, VoteResponse { false, false });
        return;
    }
    if (leaderInLease(c))
        return;
    if (m.term > r.state.term)
        becomeFollower(c, m.term, {});
    const bool mayGrant = r.state.vote == m.from || (r.state.vote.value == 0 && r.leader.value == 0);
    if (!mayGrant || !isLogUpToDate(r, request)) {
        send(c, m.from, VoteResponse { false, false });
        return;
    }
    if (r.state.vote != m.from) {
        r.state.vote = m.from;
        r.persist.stateChanged = true;
    }
    resetElectionTimeout(c);
    sendAfterPersist(c, m.from, VoteResponse { false, true });
}

void receive(Context& c, const Message& m, const VoteResponse& response)
{
    Replica& r = c.replica;
    if (!response.granted) {
        if (m.term > r.state.term)
            becomeFollower(c, m.term, {});
        return;
    }
    const RaftRole expectedRole = response.pre ? RaftRole::PreCandidate : RaftRole::Candidate;
    const Term expectedTerm { r.state.term.value + (response.pre ? 1 : 0) };
    if (r.raftRole != expectedRole || m.term != expectedTerm || !isVoter(latestMembers(r), m.from))
        return;
    r.votes.insert(m.from);
    if (r.votes.size() < majority(latestMembers(r)))
        return;
    if (response.pre)
        startElection(c);
    else
        becomeLeader(c);
}

} // namespace appletally::consensus::core
