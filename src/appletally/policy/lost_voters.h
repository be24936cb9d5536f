// Which voter of the replicated log is given up for lost.
//
// Load pattern: a control host is gone for good and an empty one comes at another address; soon after, a second one goes.
// Without it every lost host stays a member, so that the log needs a majority that counts the dead: of three hosts and one
// replacement all three that live are needed, and the next loss stops every change.
//
// Of an even number of voters one that is down can be taken out at no cost: of four with one dead none may go, of the three
// that remain one may. Of an odd number it can as soon as a standby is there to take the place. One that comes back after
// all is let in again, with its log.
#pragma once

#include "appletally/consensus/replica.h"

#include <map>
#include <optional>
#include <set>

namespace appletally::policy {

// Longer than a restart, a freeze or a short cut takes; until then the host comes back and nothing has to be copied.
constexpr base::Duration lostAfter { 8000 };

// The same where taking it out costs nothing. The replaced host and the next one may be lost seconds apart.
constexpr base::Duration replacedAfter { 2000 };

// Two voters tolerate no loss, so nothing would be won without a standby.
constexpr size_t leastVoters = 3;

struct LostVoters {
    std::map<base::ReplicaId, base::Time> silentSince; // voters that do not answer the leader
};

// `responding`: voters that answer the leader, itself among them. `standby`: a replica waits to become a voter and has
// everything. Call at intervals; empty: nobody.
std::optional<base::ReplicaId> nextLostVoter(LostVoters&, const consensus::Members&, const std::set<base::ReplicaId>& responding, bool standby, base::Time now);

} // namespace appletally::policy
