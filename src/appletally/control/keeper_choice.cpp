// Selects claim keepers, spread over the availability zones; see the header.
#include "appletally/control/keeper_choice.h"

#include <algorithm>
#include <map>

namespace appletally::control {

namespace {

    using Hosts = std::map<base::HostId, config::Keeper>;

    bool same(const config::Keeper& a, const config::Keeper& b) { return a.host == b.host && a.inner == b.inner; }

    bool same(const std::vector<config::Keeper>& a, const std::vector<config::Keeper>& b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) { return same(x, y); });
    }

    std::map<base::ZoneName, Hosts> readyByZone(const config::EndpointRegistry& endpoints)
    {
        std::map<base::ZoneName, Hosts> out;
        for (const auto& [host, it] : endpoints.entries) {
            if (!it.expired && it.endpoint.state == config::EndpointState::Ready)
                out[it.endpoint.zone][host] = { host, it.endpoint.inner };
        }
        return out;
    }

    // Members that are still ready stay; free places go to the availability zones with the fewest keepers.
    std::vector<config::Keeper> selectKeepers(const config::KeeperSet& agreed, std::map<base::ZoneName, Hosts> ready)
    {
        Hosts chosen;
        std::map<base::ZoneName, size_t> perZone;
        for (auto& [zone, hosts] : ready) {
            for (const config::Keeper& it : agreed.members) {
                if (auto found = hosts.find(it.host); found != hosts.end()) {
                    chosen.insert(hosts.extract(found));
                    ++perZone[zone];
                }
            }
        }
        while (chosen.size() < maxKeepers) {
            auto best = ready.end();
            for (auto it = ready.begin(); it != ready.end(); ++it) {
                if (!it->second.empty() && (best == ready.end() || perZone[it->first] < perZone[best->first]))
                    best = it;
            }
            if (best == ready.end())
                break;
            chosen.insert(best->second.extract(best->second.begin()));
            ++perZone[best->first];
        }
        std::vector<config::Keeper> out;
        for (const auto& [host, it] : chosen)
            out.push_back(it);
        return out;
    }

} // namespace

std::optional<std::vector<config::Keeper>> chooseKeepers(KeeperChoice& choice, const config::KeeperSet& agreed, const config::EndpointRegistry& endpoints, base::Time now)
{
    std::vector<config::Keeper> candidates = selectKeepers(agreed, readyByZone(endpoints));
    if (!same(candidates, choice.candidates))
        choice = { std::move(candidates), now };
    const base::Duration wait = agreed.members.empty() ? firstKeepersDelay : keeperReplacementDelay;
    const bool useful = choice.candidates.size() >= minKeepers && !same(choice.candidates, agreed.members) && agreed.previous.empty();
    if (!useful || now - choice.unchangedSince < wait)
        return std::nullopt;
    return choice.candidates;
}

bool mayProposeFirstSet(const std::vector<config::Keeper>& members, const Convergence& convergence)
{
    return std::all_of(members.begin(), members.end(), [&](const config::Keeper& it) {
        const auto node = convergence.nodes.find(it.host);
        return node != convergence.nodes.end() && node->second.version.value > 0;
    });
}

} // namespace appletally::control
