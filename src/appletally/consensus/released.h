// Which versions nodes may have, and where a node that has forgotten everything may start.
//
// An index is released once a majority of the voters has durably recorded it as committed. A booting node asks a
// majority of the voters for their recorded commits and starts at no less than the highest: the two majorities share a
// replica, so no boot is below anything that any node ever applied. No clock is in it and no leader is needed.
//
// Members change under it, so a majority means: of the newest members that any of the answers knows to be committed.
// It stays true along a chain of changes because the leader begins a change only once the change before it is itself
// released: whoever asks a majority of older members then meets one that knows of the newer ones.
#pragma once

#include "appletally/consensus/replica.h"

#include <optional>
#include <span>

namespace appletally::consensus {

// The highest index known here to be released; on the leader from the voters' answers, elsewhere as the leader said.
LogIndex releasedIndex(const Replica&);

// A voter's answer to a booting node. All of it is durable.
struct BootAnswer {
    ReplicaId from;
    LogIndex recordedCommit;
    Members members; // the newest committed ones
};

// Empty on a replica that was never let in as a voter, or knows that it was taken out: it must not answer.
std::optional<BootAnswer> bootAnswer(const Replica&);

// The lowest version at which the asking node may start; empty: not yet a majority. One answer per replica counts.
std::optional<LogIndex> minBootIndex(std::span<const BootAnswer>);

// The highest index that the same answers show to be released; empty: not yet a majority. Where all have started again it is
// known before there is a leader, who would only say the same.
std::optional<LogIndex> provenReleasedIndex(std::span<const BootAnswer>);

} // namespace appletally::consensus
