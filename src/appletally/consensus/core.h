// Functions shared by the files of the step function. Internal to consensus/.
#pragma once

#include "appletally/consensus/replica.h"

namespace appletally::consensus::core {

// State of one call of step().
struct Context {
    Replica& replica;
    base::Time now;
    uint64_t random = 0;
    Ready& ready;
    std::vector<Message> heldMessages; // sent once this step's Persist is durable
};

// --- The log in memory (log_window.cpp) ---

LogIndex firstIndex(const Replica&); // oldest entry in memory; last + 1 if there is none
std::optional<Term> termAt(const Replica&, LogIndex); // empty: not in the log, or compacted into the snapshot
void append(Context&, Entry);
void truncateFrom(Context&, LogIndex); // discards this entry and all after it; never a committed one
void rebuildMembers(Replica&);
Members membersAt(const Replica&, LogIndex); // index must not be before the snapshot
void setCommit(Context&, LogIndex);

// --- Sending ---

void send(Context&, ReplicaId to, decltype(Message::body)); // immediately
void sendAfterPersist(Context&, ReplicaId to, decltype(Message::body)); // once everything written up to this step is durable

// --- Elections (election.cpp) ---

bool isVoter(const Members&, ReplicaId);
bool mayCampaign(const Replica&);
size_t majority(const Members&);
void resetElectionTimeout(Context&);
void startFirstElectionTimeout(Context&); // of a replica that has heard no leader since it started
void becomeFollower(Context&, Term, ReplicaId leader);
void startPreVote(Context&); // a successful pre-vote starts the election
void receive(Context&, const Message&, const VoteRequest&);
void receive(Context&, const Message&, const VoteResponse&);

// --- Follower (follower.cpp) ---

void receive(Context&, const Message&, const AppendEntries&);
void receive(Context&, const Message&, const SnapshotChunk&);

// --- Leader (leader.cpp) ---

void becomeLeader(Context&);
void syncProgress(Context&);
void sendUpdates(Context&); // to each member the entries and indexes that it lacks
void sendHeartbeats(Context&);
bool majorityResponds(const Context&, const Members&);
void processProgress(Context&); // advances commit, release, reads, changes and repair, then sends updates
void receive(Context&, const Message&, const AppendResponse&);
void receive(Context&, const Message&, const SnapshotResponse&);
void receive(Context&, const ReadIndex&);

// --- Members (membership.cpp) ---

void receive(Context&, const AddMembers&);
void receive(Context&, const RemoveMember&);
void advanceChange(Context&); // starts the pending change once its voters have responded
void advanceRepair(Context&);

} // namespace appletally::consensus::core
