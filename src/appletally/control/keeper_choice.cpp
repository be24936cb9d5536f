// Choosing claim keepers, spread over the availability zones.
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

    // Members that are still there stay; the rest is filled from the zones that have the fewest.
    std::vector<config::Keeper> want(const config::KeeperSet& agreed, std::map<base::ZoneName, Hosts> ready)
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
        while (chosen.size() < mostKeepers) {
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
    std::vector<config::Keeper> wanted = want(agreed, readyByZone(endpoints));
    if (!same(wanted, choice.wanted))
        choice = { std::move(wanted), now };
    const base::Duration wait = agreed.members.empty() ? firstKeepersWait : keeperGoneFor;
    const bool useful = choice.wanted.size() >= leastKeepers && !same(choice.wanted, agreed.members) && agreed.previous.empty();
    if (!useful || now - choice.since < wait)
        return std::nullopt;
    return choice.wanted;
}

bool firstSetMayForm(const std::vector<config::Keeper>& members, const Convergence& convergence)
{
    return std::all_of(members.begin(), members.end(), [&](const config::Keeper& it) {
        const auto node = convergence.nodes.find(it.host);
        return node != convergence.nodes.end() && node->second.version.value > 0;
    });
}

} // namespace appletally::control
