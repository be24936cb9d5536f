// Who leads: pre-vote, vote, and when a replica stands.
//
// Pre-vote answers a replica that was cut off and comes back: it would raise its term with every vain election and
// depose a healthy leader on its return. It asks first, and nobody who hears a leader says yes.
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

void resetElection(Context& c)
{
    const int64_t least = c.replica.config.electionTimeout.ms;
    c.replica.electionAt = c.now + base::Duration { least + static_cast<int64_t>(c.random % static_cast<uint64_t>(least)) };
}

void startElectionClock(Context& c)
{
    const int64_t least = c.replica.config.firstElection.ms;
    c.replica.electionAt = c.now + base::Duration { least + static_cast<int64_t>(c.random % static_cast<uint64_t>(least)) };
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
        r.incoming = {};
        r.incomingData.clear();
    }
    if (r.raftRole != RaftRole::Follower)
        resetElection(c);
    r.raftRole = RaftRole::Follower;
    r.leader = leader;
    r.votes.clear();
}

static bool logAtLeastAsNew(const Replica& r, const VoteAsk& ask)
{
    const LogIndex last = lastIndex(r);
    const Term lastTerm = *termAt(r, last);
    return ask.lastTerm > lastTerm || (ask.lastTerm == lastTerm && ask.lastIndex >= last);
}

// A leader was heard within its lease. Voting now would depose a leader that a majority still follows, which is what
// a replica with a cut in one direction would otherwise bring about again and again.
static bool leaderInLease(const Context& c)
{
    const Replica& r = c.replica;
    return isLeader(r) || (r.leaderEverHeard && c.now - r.leaderHeard < r.config.electionTimeout);
}

// Only a replica that has caught up can have been let in, so one that knows of no members has not been: it is freshly
// formatted. A learner does vote when asked: the candidate has a change in its log that lets it in and counts its vote
// by that; were it to refuse until it has that change itself, a leader that died while spreading the change would leave
// a set of members in which nobody can win.
static bool mayVote(const Replica& r) { return !latestMembers(r).list.empty(); }

// Also a voter whose own log takes it out, until that is committed: it may hold the only copy of that entry, and then
// nobody with a shorter log can win against it.
bool mayStand(const Replica& r) { return isVoter(latestMembers(r), r.id) || isVoter(committedMembers(r), r.id); }

static void askForVotes(Context& c, bool pre)
{
    Replica& r = c.replica;
    const LogIndex last = lastIndex(r);
    const VoteAsk ask { pre, last, *termAt(r, last) };
    for (const Member& it : latestMembers(r).list) {
        if (it.role != Role::Voter || it.id == r.id)
            continue;
        if (pre)
            c.ready.messages.push_back({ r.id, it.id, { r.state.term.value + 1 }, ask });
        else
            sendOnceDurable(c, it.id, ask); // forgotten by a crash, the same term could be led twice
    }
}

static void standForVotes(Context& c)
{
    Replica& r = c.replica;
    r.raftRole = RaftRole::Candidate;
    r.leader = {};
    r.votes.clear();
    r.state.term.value++;
    r.state.vote = r.id;
    r.persist.stateChanged = true;
    r.incoming = {};
    r.incomingData.clear();
    resetElection(c);
    askForVotes(c, false);
    sendOnceDurable(c, r.id, VoteAnswer { false, true });
}

void standForElection(Context& c)
{
    Replica& r = c.replica;
    r.raftRole = RaftRole::PreCandidate;
    r.leader = {};
    r.votes.clear();
    if (isVoter(latestMembers(r), r.id))
        r.votes.insert(r.id);
    // Where all have just started, the first question goes out before the links stand. Asked again only after a whole
    // election timeout, nobody led for 0.7 s more, and nodes that had started again served nobody meanwhile.
    if (r.leaderEverHeard)
        resetElection(c);
    else
        startElectionClock(c);
    if (r.votes.size() >= majority(latestMembers(r)))
        standForVotes(c);
    else
        askForVotes(c, true);
}

static void answerPreVote(Context& c, const Message& m, const VoteAsk& ask)
{
    Replica& r = c.replica;
    const bool granted = mayVote(r) && m.term > r.state.term && !leaderInLease(c) && logAtLeastAsNew(r, ask);
    c.ready.messages.push_back({ r.id, m.from, granted ? m.term : r.state.term, VoteAnswer { true, granted } });
}

void receive(Context& c, const Message& m, const VoteAsk& ask)
{
    Replica& r = c.replica;
    if (ask.pre) {
        answerPreVote(c, m, ask);
        return;
    }
    if (m.term < r.state.term || !mayVote(r)) {
        send(c, m.from, VoteAnswer { false, false });
        return;
    }
    if (leaderInLease(c))
        return;
    if (m.term > r.state.term)
        becomeFollower(c, m.term, {});
    const bool free = r.state.vote == m.from || (r.state.vote.value == 0 && r.leader.value == 0);
    if (!free || !logAtLeastAsNew(r, ask)) {
        send(c, m.from, VoteAnswer { false, false });
        return;
    }
    if (r.state.vote != m.from) {
        r.state.vote = m.from;
        r.persist.stateChanged = true;
    }
    resetElection(c);
    sendOnceDurable(c, m.from, VoteAnswer { false, true });
}

void receive(Context& c, const Message& m, const VoteAnswer& answer)
{
    Replica& r = c.replica;
    if (!answer.granted) {
        if (m.term > r.state.term)
            becomeFollower(c, m.term, {});
        return;
    }
    const RaftRole asked = answer.pre ? RaftRole::PreCandidate : RaftRole::Candidate;
    const Term wanted { r.state.term.value + (answer.pre ? 1 : 0) };
    if (r.raftRole != asked || m.term != wanted || !isVoter(latestMembers(r), m.from))
        return;
    r.votes.insert(m.from);
    if (r.votes.size() < majority(latestMembers(r)))
        return;
    if (answer.pre)
        standForVotes(c);
    else
        becomeLeader(c);
}

} // namespace appletally::consensus::core
