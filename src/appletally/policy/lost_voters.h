// Decides which voter of the replicated log is considered lost and removed.
//
// Load pattern: a control host is permanently lost and an empty one starts at another address; soon after, a second
// host is lost. Without removal every lost host stays a member, so that the log needs a majority that includes dead
// hosts: of three hosts and one replacement all three live ones are needed, and the next loss blocks every change.
//
// An unavailable voter of an even number can be removed at no cost: of four voters with one dead no other may fail, of
// the remaining three one may. With an odd number it can be removed as soon as a standby is available to replace it. A
// removed voter that returns is added again, with its log.
#pragma once

#include "appletally/consensus/replica.h"

#include <map>
#include <optional>
#include <set>

namespace appletally::policy {

// Longer than a restart, a freeze or a short network partition takes; within it the host returns and nothing has to be
// copied.
constexpr base::Duration lostVoterTimeout { 8000 };

// The same where the removal costs nothing. Shorter, because the replaced host and the next one may be lost seconds
// apart.
constexpr base::Duration costFreeRemovalTimeout { 2000 };

// Two voters tolerate no loss, so removing one of three gains nothing without a standby.
constexpr size_t minVoters = 3;

struct LostVoters {
    std::map<base::ReplicaId, base::Time> silentSince; // voters that do not answer the leader
};

// `responding`: voters that answer the leader, including itself. `standby`: a replica is waiting to become a voter and
// has the whole log. Call at intervals. Returns none if no voter is to be removed.
std::optional<base::ReplicaId> nextLostVoter(LostVoters&, const consensus::Members&, const std::set<base::ReplicaId>& responding, bool standby, base::Time now);

} // namespace appletally::policy
