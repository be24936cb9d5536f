// Plain data of the replicated log: entries, members, snapshots, and what a replica must find on its disk again.
//
// A replica is a formatted data folder, named by the random id that the format drew. A host that lost its disk comes
// back as another replica, so that nothing ever counts on a vote or a record that went with the old disk.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

#include <memory>
#include <string>
#include <vector>

namespace appletally::consensus {

using base::LogIndex;
using base::ReplicaId;
using base::Term;

enum class Role : uint8_t {
    Learner = 1, // gets the log, counts for nothing; a relay that wants the log stays one
    Joining = 2, // a learner that the leader makes a voter as soon as it has caught up
    Voter = 3,
};

struct Member {
    ReplicaId id;
    base::HostId host;
    Role role = Role::Learner;
    ReplicaId replaces; // taken out by the leader once this one votes; 0: nobody
    bool operator==(const Member&) const = default;
};

// Who belongs to the log, as an entry or snapshot agreed on it. In force from the moment it is in a replica's log.
struct Members {
    LogIndex index; // of the entry that agreed on it; 0: as formatted
    std::vector<Member> list; // by id, each id once
    bool operator==(const Members&) const = default;
};

enum class EntryKind : uint8_t {
    Nothing = 1, // a new leader's first entry: only its commit shows what earlier terms committed
    Data = 2,
    Change = 3, // of members
};

struct Entry {
    LogIndex index; // counts from 1 without gaps
    Term term;
    EntryKind kind = EntryKind::Nothing;
    std::string data; // Data: the bytes proposed
    std::vector<Member> members; // Change: all members from here on
    bool operator==(const Entry&) const = default;
};

struct SnapshotMeta {
    LogIndex index; // the last entry that it stands for; 0: none, only the members of the format
    Term term;
    Members members;
    bool operator==(const SnapshotMeta&) const = default;
};

struct Snapshot {
    SnapshotMeta meta;
    std::shared_ptr<const std::string> data; // the state machine's bytes; null while index is 0
};

// What a replica promised. Each field only grows, `vote` within its term only from 0.
struct HardState {
    Term term;
    ReplicaId vote; // in this term; 0: none
    LogIndex commit; // recorded commit: the highest index that this replica knows to be committed
    bool operator==(const HardState&) const = default;
};

// All that a restart finds on the disk.
struct Durable {
    ReplicaId id;
    base::HostId host;
    HardState state;
    Snapshot snapshot;
    std::vector<Entry> entries; // without gaps; begins at or before snapshot index + 1
};

// One step's writes, to be made durable in this order: snapshot, cut, entries, state.
struct Persist {
    uint64_t sequence = 0; // to be repeated in Persisted
    std::shared_ptr<const Snapshot> snapshot; // null: none. Entries up to its index may go, see `keepFrom`
    LogIndex keepFrom; // with a snapshot: older entries are no longer needed
    LogIndex cutFrom; // entries from here on are replaced; 0: none
    std::vector<Entry> entries;
    bool stateChanged = false;
    HardState state; // always the newest
};

struct Config {
    // An election timeout of ten heartbeats rides out a lost packet's TCP retransmission (200 ms) without an election.
    base::Duration heartbeat { 50 };
    base::Duration electionTimeout { 500 }; // least; each wait is random between one and two of these
    // The same for the pre-votes of a replica that has heard no leader since it started. When all start again at once nobody
    // leads, and nodes wait for a leader to learn which version they may have; where somebody leads, pre-votes disturb nothing.
    base::Duration firstElection { 150 };
    size_t appendBytes = 256 * 1024; // entries in one Append; at least one entry goes
    size_t chunkBytes = 256 * 1024; // of a snapshot in one message
    uint64_t pendingEntries = 1000; // not committed yet; more proposals are refused, so that a slow majority costs no memory
    // A host's new replica proves that the one before it is gone for good: the new one takes its place in a single change.
    bool oneReplicaPerHost = false;
    // Limit on the number of voters; 0: none. Other replicas stay joining: they replicate the log and replace removed voters.
    size_t maxVoters = 0;
    // In heartbeats, for replicas without a vote. Must be shorter than the election timeout, or they count as not responding.
    int64_t nonVoterHeartbeatPeriod = 4;
    uint64_t keepEntries = 1000; // behind a snapshot, so that a replica a little behind needs no snapshot
};

} // namespace appletally::consensus
