// Plain data of the replicated log: entries, members, snapshots, and the state that a replica reads from disk at start.
//
// A replica is one formatted data folder and is identified by the random id drawn by the format. A host that lost its
// disk returns as a new replica, so no vote or record that was lost with the old disk is ever counted.
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
    Learner = 1, // replicates the log without counting for a majority; a relay that replicates the log stays a learner
    Joining = 2, // a learner that the leader promotes to voter as soon as it has caught up
    Voter = 3,
};

struct Member {
    ReplicaId id;
    base::HostId host;
    Role role = Role::Learner;
    ReplicaId replaces; // removed by the leader once this replica is a voter; 0: none
    bool operator==(const Member&) const = default;
};

// The members of the log as set by an entry or snapshot. Applied from the moment it is in a replica's log.
struct Members {
    LogIndex index; // of the entry that set the members; 0: set by the format
    std::vector<Member> list; // sorted by id, ids are unique
    bool operator==(const Members&) const = default;
};

enum class EntryKind : uint8_t {
    NoOp = 1, // first entry of a new leader; committing it commits all entries of earlier terms
    Data = 2,
    MemberChange = 3, // change of members
};

struct Entry {
    LogIndex index; // starts at 1, without gaps
    Term term;
    EntryKind kind = EntryKind::NoOp;
    std::string data; // Data: the proposed bytes
    std::vector<Member> members; // MemberChange: all members from this entry on
    bool operator==(const Entry&) const = default;
};

struct SnapshotMeta {
    LogIndex index; // last entry included in the snapshot; 0: none, only the members set by the format
    Term term;
    Members members;
    bool operator==(const SnapshotMeta&) const = default;
};

struct Snapshot {
    SnapshotMeta meta;
    std::shared_ptr<const std::string> data; // serialized state machine; null while index is 0
};

// State that a replica must not lose. Each field only grows; `vote` changes within a term only from 0.
struct HardState {
    Term term;
    ReplicaId vote; // in this term; 0: none
    LogIndex commit; // recorded commit: the highest index that this replica knows to be committed
    bool operator==(const HardState&) const = default;
};

// Everything that a restart reads from disk.
struct Durable {
    ReplicaId id;
    base::HostId host;
    HardState state;
    Snapshot snapshot;
    std::vector<Entry> entries; // without gaps; starts at or before snapshot index + 1
};

// The writes of one step, to be made durable in this order: snapshot, truncation, entries, state.
struct Persist {
    uint64_t sequence = 0; // to be repeated in Persisted
    std::shared_ptr<const Snapshot> snapshot; // null: none. Entries up to its index may be discarded, see `retainFrom`
    LogIndex retainFrom; // with a snapshot: older entries are no longer needed
    LogIndex truncateFrom; // entries from this index on are replaced; 0: none
    std::vector<Entry> entries;
    bool stateChanged = false;
    HardState state; // always the latest
};

struct Config {
    // An election timeout of ten heartbeats covers the TCP retransmission of a lost packet (200 ms) without an
    // election.
    base::Duration heartbeat { 50 };
    base::Duration electionTimeout { 500 }; // minimum; each timeout is random between one and two of these
    // As electionTimeout, for the pre-votes of a replica that has heard no leader since it started. When all replicas
    // start at once there is no leader, and nodes wait for one to learn which version they may apply; where a leader
    // exists, pre-votes do not disturb it.
    base::Duration firstElectionTimeout { 150 };
    size_t maxAppendBytes = 256 * 1024; // entries in one AppendEntries; at least one entry is sent
    size_t maxChunkBytes = 256 * 1024; // snapshot data in one message
    uint64_t maxPendingEntries = 1000; // uncommitted entries; further proposals are refused, so that a slow majority does not grow memory without limit
    // A new replica on a host proves that the host's previous replica is permanently lost; it takes the previous one's
    // place in a single change.
    bool oneReplicaPerHost = false;
    // Maximum number of voters; 0: no limit. Further replicas stay joining: they replicate the log and replace removed
    // voters.
    size_t maxVoters = 0;
    // In heartbeats, for non-voters. Must be shorter than the election timeout, otherwise non-voters count as not
    // responding.
    int64_t nonVoterHeartbeatPeriod = 4;
    uint64_t retainedEntries = 1000; // entries kept behind a snapshot, so that a replica slightly behind does not need the snapshot
};

} // namespace appletally::consensus
