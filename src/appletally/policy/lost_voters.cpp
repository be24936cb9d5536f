// Silence by voter, and the one that has been silent longest.
#include "appletally/policy/lost_voters.h"

#include <algorithm>

namespace appletally::policy {

std::optional<base::ReplicaId> nextLost(LostVoters& it, const consensus::Members& members, const std::set<base::ReplicaId>& reached, base::Time now)
{
    std::map<base::ReplicaId, base::Time> silent;
    size_t voters = 0;
    for (const consensus::Member& member : members.list) {
        if (member.role != consensus::Role::Voter)
            continue;
        ++voters;
        if (reached.contains(member.id))
            continue;
        const auto known = it.silentSince.find(member.id);
        silent[member.id] = known == it.silentSince.end() ? now : known->second;
    }
    it.silentSince = std::move(silent);
    if (voters <= leastVoters || it.silentSince.empty())
        return std::nullopt;
    const auto longest = std::min_element(it.silentSince.begin(), it.silentSince.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    if (now - longest->second < lostAfter)
        return std::nullopt;
    return longest->first;
}

} // namespace appletally::policy
