// One replica of the log as a step function: no socket, no file, no clock. Raft with pre-vote, check-quorum,
// read-index, snapshots, learners and one change of members at a time.
//
// A task drives it like this, and needs nothing else:
//
//     Replica replica = make(durable, config);
//     for each input (a Tick at least every heartbeat / 2, Received, Propose, ...):
//         Ready ready = step(replica, input, now, random);
//         send(ready.messages);              // may all go at once: none of them depends on a write still to come
//         if (ready.restore) load state;     // before the entries below
//         apply(ready.committed);            // in order, each index once in a process's life
//         answer accepted, refused, unknown, reads
//         if (ready.persist) { write it, sync it, then step with Persisted { ready.persist->sequence } }
//
// A write or sync that fails ends the replica: step it no more. What depended on the write is still held inside and is
// never sent, so a full or failing disk looks to the others like a replica that went silent.
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
    uint64_t id = 0; // the task's own, to tell answers apart
    std::string data;
};
struct ReadIndex {
    uint64_t id = 0;
};
// Adds learners or joining replicas (which may name the ones that they replace) in a single configuration change; none of
// them votes yet. The leader then promotes joining replicas that have caught up to voters, within the voter limit, and
// removes the ones that they replace. Idempotent.
struct AddMembers {
    uint64_t id = 0;
    std::vector<Member> members; // roles Learner or Joining
};
struct RemoveMember {
    uint64_t id = 0;
    ReplicaId replica;
};
struct Persisted {
    uint64_t sequence = 0; // this Persist and all before it are durable
};
// The state machine's bytes after all entries up to `index` were applied.
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
// Certainly not in the log and never will be. NotLeader: ask `leader`, if known. NoQuorum: a change of members that
// is not safe now (another one is under way, or too few voters would be reachable); try again later. Overloaded: too
// much waits for a majority already; try again later.
struct Refused {
    uint64_t id = 0;
    base::Code code = base::Code::NotLeader;
    ReplicaId leader; // 0: unknown
    base::HostId leaderHost; // empty: unknown
};
// In the log of a leader that lost its leadership: it may or may not be committed. Resend to learn it.
struct OutcomeUnknown {
    uint64_t id = 0;
};
struct ReadReady {
    uint64_t id = 0;
    LogIndex index; // a state with all entries up to here applied holds all that was accepted before the read was asked
};

struct Ready {
    std::optional<Persist> persist;
    std::vector<Message> messages;
    std::shared_ptr<const Snapshot> restore; // the state machine starts over from these bytes; null: no
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

// What the leader knows of another member.
struct Progress {
    LogIndex match; // durable there and equal to the leader's
    LogIndex next; // first entry to send
    LogIndex recordedCommit; // durable there
    LogIndex sentCommit; // the highest commit told
    LogIndex sentReleased;
    uint64_t round = 0; // the highest round answered
    base::Time heard; // last answer, or when this replica began to lead
    bool heardExtended = false; // as leaderHeardExtended
    bool answered = false; // since this replica leads
    base::Time sent; // last message with entries or a chunk
    base::Time heartbeatAt; // next heartbeat due; used for replicas without a vote
    bool waiting = false; // one message with entries or a chunk is on its way
    uint64_t offset = 0; // of the snapshot, next byte to send
    LogIndex snapshot; // being sent; 0: none
};

struct PendingRead {
    uint64_t id = 0;
    LogIndex index;
    uint64_t round = 0; // confirmed once a majority answered this round
};

// A change of members that waits for a majority of its voters to answer a round that began after it was asked for.
struct PendingChange {
    std::vector<Member> list;
    std::optional<uint64_t> id; // of the task that asked; empty: a step of a repair
    uint64_t round = 0;
    base::Time giveUpAt;
};

struct HeldMessage {
    uint64_t sequence = 0; // leaves once this Persist is durable
    Message message;
};

struct Replica {
    Config config;
    ReplicaId id;
    base::HostId host;

    // The log. entries[0].index is firstIndex; everything before is only in the snapshot.
    HardState state; // as it will be once all persists are durable
    std::shared_ptr<const Snapshot> snapshot;
    std::vector<Entry> entries;
    LogIndex commit; // known here to be committed; state.commit follows it
    LogIndex applied; // handed out in Ready
    std::vector<Members> members; // oldest first: the last one committed or of the snapshot, then newer ones in the log

    // What is durable.
    uint64_t sequence = 0; // of the last Persist handed out
    uint64_t persisted = 0; // of the last one known durable
    LogIndex durableIndex; // entries up to here are durable
    LogIndex recordedCommit; // durable
    std::vector<HeldMessage> held;
    std::map<uint64_t, std::pair<LogIndex, LogIndex>> marks; // per Persist not yet durable: last entry and commit in it

    base::Time lastStep; // time passed to the most recent step()

    // Standing.
    RaftRole raftRole = RaftRole::Follower;
    ReplicaId leader; // of this term; 0: unknown
    base::Time leaderHeard; // last message of the leader
    bool leaderHeardExtended = false; // by a grace period after a pause; since the last message
    bool leaderEverHeard = false;
    base::Time electionAt; // when to stand, unless a leader is heard
    std::set<ReplicaId> votes;
    LogIndex released; // highest index known to be released

    // Leader only.
    std::map<ReplicaId, Progress> progress; // without itself
    LogIndex termStart; // this leader's first entry; nothing is committed, read or changed before it is
    uint64_t round = 0;
    base::Time heartbeatAt;
    std::map<uint64_t, std::pair<Term, uint64_t>> proposals; // by index: term and the task's id
    std::vector<PendingRead> reads;
    std::optional<PendingChange> change; // at most one

    // Follower only: a snapshot that is arriving.
    SnapshotMeta incoming;
    std::string incomingData;

    Persist persist; // being gathered in this step
    bool started = false;
};

Replica make(const Durable&, const Config&);
Ready step(Replica&, Input, base::Time now, uint64_t random);

// --- Questions ---

const Members& latestMembers(const Replica&); // in force here
const Members& committedMembers(const Replica&); // the newest whose index is in the recorded commit
const Member* findMember(const Members&, ReplicaId);
LogIndex lastIndex(const Replica&);

// Both only on a leader.
std::set<ReplicaId> respondingVoters(const Replica&, base::Time now); // answered within an election timeout; itself among them
bool hasStandby(const Replica&, base::Time now); // a joining replica that replaces nobody has all that is committed

// True for a voter, and for a replica without a vote that has caught up at least to the commit of the change that added it.
bool hasCaughtUp(const Replica&);
inline bool isLeader(const Replica& it) { return it.raftRole == RaftRole::Leader; }

} // namespace appletally::consensus
