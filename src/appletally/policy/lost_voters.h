// Which voter of the replicated log is given up for lost.
//
// Load pattern: a control host is gone for good and an empty one comes at another address; months later a second one goes.
// Without it every lost host stays a member, so that the log needs a majority that counts the dead: of three hosts and one
// replacement all three that live are needed, and the next loss stops every change.
//
// Taking out a voter that cannot be reached never lowers how many more may be lost, as long as three are left: of four with
// one dead none may go, of the three that remain one may. One that comes back after all is let in again, with its log.
#pragma once

#include "appletally/consensus/replica.h"

#include <map>
#include <optional>
#include <set>

namespace appletally::policy {

// Longer than a restart, a freeze or a short cut takes; until then the host comes back and nothing has to be copied.
constexpr base::Duration lostAfter { 8000 };

// Two voters tolerate no loss, so nothing would be won.
constexpr size_t leastVoters = 3;

struct LostVoters {
    std::map<base::ReplicaId, base::Time> silentSince; // voters that the leader does not reach
};

// `reached`: replicas that the leader has a working link to, itself among them. Call at intervals; empty: nobody.
std::optional<base::ReplicaId> nextLost(LostVoters&, const consensus::Members&, const std::set<base::ReplicaId>& reached, base::Time now);

} // namespace appletally::policy
