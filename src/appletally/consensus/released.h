// The release rule: which versions nodes may apply, and the minimum version at which a node without any state may
// start.
//
// An index is released once a majority of the voters has durably recorded it as committed. A booting node requests the
// recorded commits of a majority of the voters and starts at the highest of them or above: the two majorities share a
// replica, so no node boots below a version that any node ever applied. The rule depends on neither clocks nor a
// leader.
//
// Members may change meanwhile, so a majority is counted among the newest members that any of the answers knows to be
// committed. This holds along a chain of changes because the leader starts a change only once the previous change is
// itself released: a node that queries a majority of older members then reaches one that knows the newer members.
#pragma once

#include "appletally/consensus/replica.h"

#include <optional>
#include <span>

namespace appletally::consensus {

// The highest index known here to be released: on the leader from the voters' responses, elsewhere as sent by the
// leader.
LogIndex releasedIndex(const Replica&);

// A voter's answer to a booting node. All fields are durable.
struct BootAnswer {
    ReplicaId from;
    LogIndex recordedCommit;
    Members members; // newest committed members
};

// Empty on a replica that was never added as a voter, or that knows of its removal: it must not answer.
std::optional<BootAnswer> bootAnswer(const Replica&);

// The minimum version at which the requesting node may start; empty: no majority yet. One answer per replica counts.
std::optional<LogIndex> minBootIndex(std::span<const BootAnswer>);

// The highest index that the same answers prove to be released; empty: no majority yet. When all replicas have
// restarted, it is known before a leader is elected, which would report the same.
std::optional<LogIndex> provenReleasedIndex(std::span<const BootAnswer>);

} // namespace appletally::consensus
