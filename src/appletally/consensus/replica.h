// One replica of the log as a step function, without sockets, files or clocks. Raft with pre-vote, check-quorum,
// read-index, snapshots, learners and one change of members at a time.
//
// Complete usage:
//
//     Replica replica = make(durable, config);
//     for each input (a Tick at least every heartbeat / 2, Received, Propose, ...):
//         Ready ready = step(replica, input, now, random);
//         send(ready.messages);              // immediately: none of them depends on a pending write
//         if (ready.restore) load state;     // before the entries below
//         apply(ready.committed);            // in order, each index once per process
//         report accepted, refused, unknown, reads
//         if (ready.persist) { write it, sync it, then step with Persisted { ready.persist->sequence } }
//
// After a failed write or sync the replica must not be stepped again. Messages that depend on the write are held inside
// and never sent, so a full or failing disk looks like an unresponsive replica to the others.
#pragma once

#include "appletally/consensus/message.h"
#include "appletally/consensus/types.h"

#include <map>
#include <optional>
#include <set>
#include <variant>

namespace appletally::consensus {

// --- Inputs ---

struct Tick { };
struct Received {
    Message message;
};
struct Propose {
    uint64_t id = 0; // chosen by the caller to match results to requests
    std::string data;
};
struct ReadIndex {
    uint64_t id = 0;
};
// Adds learners or joining replicas (which may name the replicas that they replace) in a single configuration change;
// none of them votes yet. The leader then promotes joining replicas that have caught up to voters, within the voter
// limit, and removes the replicas that they replace. Idempotent.
struct AddMembers {
    uint64_t id = 0;
    std::vector<Member> members; // roles Learner or Joining
};
struct RemoveMember {
    uint64_t id = 0;
    ReplicaId replica;
};
struct Persisted {
    uint64_t sequence = 0; // this Persist and all earlier ones are durable
};
// The serialized state machine after all entries up to `index` were applied.
struct SnapshotTaken {
    LogIndex index;
    std::shared_ptr<const std::string> data;
};
using Input = std::variant<Tick, Received, Propose, ReadIndex, AddMembers, RemoveMember, Persisted, SnapshotTaken>;

// --- Outputs ---

struct Accepted {
    uint64_t id = 0;
    LogIndex index; // at which it was committed
};
// Certainly not in the log, now or later. NotLeader: send the request to `leader`, if known. NoQuorum: a change of
// members that is not safe now (another change is in progress, or too few voters would be reachable); retry later.
// Overloaded: too many entries wait for a majority; retry later.
struct Refused {
    uint64_t id = 0;
    base::Code code = base::Code::NotLeader;
    ReplicaId leader; // 0: unknown
    base::HostId leaderHost; // empty: unknown
};
// In the log of a leader that lost its leadership: may or may not be committed. Resend the proposal to find out.
struct OutcomeUnknown {
    uint64_t id = 0;
};
struct ReadReady {
    uint64_t id = 0;
    LogIndex index; // a state with all entries up to here applied includes everything accepted before the read was requested
};

struct Ready {
    std::optional<Persist> persist;
    std::vector<Message> messages;
    std::shared_ptr<const Snapshot> restore; // reset the state machine to this snapshot; null: no reset
    std::vector<Entry> committed;
    std::vector<Accepted> accepted;
    std::vector<Refused> refused;
    std::vector<OutcomeUnknown> unknown;
    std::vector<ReadReady> reads;
    bool becameLeader = false;
    bool lostLeadership = false;
    bool membersChanged = false; // a change of members was committed
};

// --- State; public for dumps and tests, changed only by step() ---

enum class RaftRole : uint8_t { Follower,
    PreCandidate,
    Candidate,
    Leader };

// The leader's state of another member.
struct Progress {
    LogIndex matchIndex; // durable there and equal to the leader's log
    LogIndex nextIndex; // first entry to send
    LogIndex recordedCommit; // durable there
    LogIndex sentCommit; // the highest commit sent
    LogIndex sentReleased;
    uint64_t round = 0; // the highest round in a response
    base::Time lastContact; // last response, or the time when this replica became leader
    bool contactExtended = false; // see Replica::leaderContactExtended
    bool hasResponded = false; // since this replica became leader
    base::Time lastSent; // last message with entries or a snapshot chunk
    base::Time nextHeartbeat; // next heartbeat due; only for non-voters
    bool awaitingResponse = false; // a message with entries or a snapshot chunk is in flight
    uint64_t snapshotOffset = 0; // next byte of the snapshot to send
    LogIndex snapshotIndex; // snapshot in transfer; 0: none
};

struct PendingRead {
    uint64_t id = 0;
    LogIndex index;
    uint64_t round = 0; // confirmed once a majority responded to this round
};

// A change of members that waits until a majority of its voters has responded to a round started after the request.
struct PendingChange {
    std::vector<Member> list;
    std::optional<uint64_t> id; // of the request; empty: a step of a repair
    uint64_t round = 0;
    base::Time deadline;
};

struct HeldMessage {
    uint64_t sequence = 0; // sent once this Persist is durable
    Message message;
};

struct Replica {
    Config config;
    ReplicaId id;
    base::HostId host;

    // The log. entries[0].index is firstIndex; earlier entries are only in the snapshot.
    HardState state; // including writes that are not durable yet
    std::shared_ptr<const Snapshot> snapshot;
    std::vector<Entry> entries;
    LogIndex commit; // highest index known to be committed; state.commit follows it
    LogIndex applied; // returned in Ready::committed
    std::vector<Members> members; // oldest first: the last committed set or that of the snapshot, then newer ones in the log

    // What is durable.
    uint64_t sequence = 0; // of the last Persist returned
    uint64_t persisted = 0; // of the last Persist known to be durable
    LogIndex durableIndex; // entries up to here are durable
    LogIndex recordedCommit; // durable
    std::vector<HeldMessage> heldMessages;
    std::map<uint64_t, std::pair<LogIndex, LogIndex>> pendingPersists; // for each Persist not yet durable: its last entry and commit

    base::Time lastStep; // time passed to the most recent step()

    // Election.
    RaftRole raftRole = RaftRole::Follower;
    ReplicaId leader; // of this term; 0: unknown
    base::Time lastLeaderContact; // last message from the leader
    bool leaderContactExtended = false; // by a grace period after a pause, since the last message
    bool hasHeardLeader = false;
    base::Time electionDeadline; // time to start a pre-vote unless a leader is heard
    std::set<ReplicaId> votes;
    LogIndex released; // highest index known to be released

    // Leader only.
    std::map<ReplicaId, Progress> progress; // without this replica
    LogIndex termStart; // first entry of this leader; before it is committed, nothing is committed, no read is answered and no member is changed
    uint64_t round = 0;
    base::Time nextHeartbeat;
    std::map<uint64_t, std::pair<Term, uint64_t>> proposals; // by index: term and request id
    std::vector<PendingRead> reads;
    std::optional<PendingChange> change; // at most one at a time

    // Follower only: the snapshot being received.
    SnapshotMeta incomingSnapshot;
    std::string incomingSnapshotData;

    Persist persist; // collected during this step
    bool started = false;
};

Replica make(const Durable&, const Config&);
Ready step(Replica&, Input, base::Time now, uint64_t random);

// --- Queries ---

const Members& latestMembers(const Replica&); // applied on this replica
const Members& committedMembers(const Replica&); // the latest whose index is in the recorded commit
const Member* findMember(const Members&, ReplicaId);
LogIndex lastIndex(const Replica&);

// Both only on a leader.
std::set<ReplicaId> respondingVoters(const Replica&, base::Time now); // responded within an election timeout; includes this replica
bool hasStandby(const Replica&, base::Time now); // a joining replica that replaces no member holds everything that is committed

// True for a voter, and for a non-voter that has caught up at least to the commit of the change that added it.
bool hasCaughtUp(const Replica&);
inline bool isLeader(const Replica& it) { return it.raftRole == RaftRole::Leader; }

} // namespace appletally::consensus
