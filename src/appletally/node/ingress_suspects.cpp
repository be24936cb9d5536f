// What the ingress does with suspect requests: no version that they are blocked on gets them.
#include "appletally/node/active_request.h"

#include <algorithm>

namespace appletally::node {

using base::Code;
using base::Duration;

std::vector<base::HostId> Ingress::blockedHosts(const ActiveRequest& it) const
{
    std::vector<base::HostId> out;
    const auto router = m_routers.find(it.call.service);
    if (!m_suspectRequests->knows(it.digest) || router == m_routers.end())
        return out;
    for (const auto& [host, target] : router->second.targets) {
        if (m_suspectRequests->suspicionOf({ it.digest, target.endpoint.version }) == policy::Suspicion::Blocked)
            out.push_back(host);
    }
    return out;
}

bool Ingress::isSuspect(const ActiveRequest& it) const
{
    const auto router = m_routers.find(it.call.service);
    if (!m_suspectRequests->knows(it.digest) || router == m_routers.end())
        return false;
    const auto& targets = router->second.targets;
    return std::any_of(targets.begin(), targets.end(), [&](const auto& target) { return m_suspectRequests->suspicionOf({ it.digest, target.second.endpoint.version }) != policy::Suspicion::None; });
}

std::optional<base::Error> Ingress::findBlock(const ActiveRequest& it) const
{
    const auto router = m_routers.find(it.call.service);
    if (!m_suspectRequests->knows(it.digest) || router == m_routers.end() || router->second.targets.empty())
        return {};
    std::optional<Duration> least;
    for (const auto& [host, target] : router->second.targets) {
        const Duration left = m_suspectRequests->blockedFor({ it.digest, target.endpoint.version });
        if (left <= Duration {})
            return {};
        least = std::min(least.value_or(left), left);
    }
    return base::fail(Code::RequestBlocked, "upstreams of " + it.call.service.text + " ended under this request", *least);
}

} // namespace appletally::node
