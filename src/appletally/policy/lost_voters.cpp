// Tracks silent voters and returns the one that has been silent longest.
#include "appletally/policy/lost_voters.h"

#include <algorithm>

namespace appletally::policy {

std::optional<base::ReplicaId> nextLostVoter(LostVoters& it, const consensus::Members& members, const std::set<base::ReplicaId>& responding, bool standby, base::Time now)
{
    std::map<base::ReplicaId, base::Time> silent;
    size_t voters = 0;
    for (const consensus::Member& member : members.list) {
        if (member.role != consensus::Role::Voter)
            continue;
        ++voters;
        if (responding.contains(member.id))
            continue;
        const auto known = it.silentSince.find(member.id);
        silent[member.id] = known == it.silentSince.end() ? now : known->second;
    }
    it.silentSince = std::move(silent);
    if (it.silentSince.empty() || (voters <= minVoters && !standby))
        return std::nullopt;
    const auto longest = std::min_element(it.silentSince.begin(), it.silentSince.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    const bool costsNothing = standby || voters % 2 == 0;
    if (now - longest->second < (costsNothing ? costFreeRemovalTimeout : lostVoterTimeout))
        return std::nullopt;
    return longest->first;
}

} // namespace appletally::policy
