// What the parts of the step function share. Nothing outside consensus/ includes it.
#pragma once

#include "appletally/consensus/replica.h"

namespace appletally::consensus::core {

// One call of step().
struct Context {
    Replica& replica;
    base::Time now;
    uint64_t random = 0;
    Ready& ready;
    std::vector<Message> held; // of this step; they wait for its Persist
};

// --- The log in memory (log_window.cpp) ---

LogIndex firstIndex(const Replica&); // the oldest entry still here; last + 1 if none is
std::optional<Term> termAt(const Replica&, LogIndex); // empty: not here, or already in the snapshot
void append(Context&, Entry);
void cutFrom(Context&, LogIndex); // forgets this entry and all after it; never a committed one
void rebuildMembers(Replica&);
Members membersAt(const Replica&, LogIndex); // not before the snapshot
void setCommit(Context&, LogIndex);

// --- Sending ---

void send(Context&, ReplicaId to, decltype(Message::body)); // at once
void sendOnceDurable(Context&, ReplicaId to, decltype(Message::body)); // after all that was written up to this step

// --- Standing (election.cpp) ---

bool isVoter(const Members&, ReplicaId);
bool mayStand(const Replica&);
size_t majority(const Members&);
void resetElection(Context&);
void startElectionClock(Context&); // of a replica that has heard no leader since it started
void becomeFollower(Context&, Term, ReplicaId leader);
void standForElection(Context&); // pre-vote first
void receive(Context&, const Message&, const VoteAsk&);
void receive(Context&, const Message&, const VoteAnswer&);

// --- Follower (follower.cpp) ---

void receive(Context&, const Message&, const AppendEntries&);
void receive(Context&, const Message&, const SnapshotChunk&);

// --- Leader (leader.cpp) ---

void becomeLeader(Context&);
void syncProgress(Context&);
void sendNews(Context&); // to each member what it lacks
void sendHeartbeats(Context&);
bool majorityHeard(const Context&, const Members&);
void afterProgress(Context&); // commit, release, reads, repair, then news
void receive(Context&, const Message&, const AppendAnswer&);
void receive(Context&, const Message&, const SnapshotAnswer&);
void receive(Context&, const ReadIndex&);

// --- Members (membership.cpp) ---

void receive(Context&, const AddMembers&);
void receive(Context&, const RemoveMember&);
void continueChange(Context&); // that waits for its voters
void continueRepair(Context&);

} // namespace appletally::consensus::core
