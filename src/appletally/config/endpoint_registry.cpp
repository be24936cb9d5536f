// The registry: one writer for each record, later records win, changes are numbered in the order of their arrival.
#include "appletally/config/endpoint_registry.h"

#include <algorithm>
#include <utility>

namespace appletally::config {

namespace {

    std::pair<base::Incarnation, base::Sequence> revision(const Endpoint& it) { return { it.incarnation, it.sequence }; }

    void markChanged(EndpointRegistry& registry, RegistryEntry& entry)
    {
        registry.byChange.erase(entry.change);
        entry.change = ++registry.lastChange;
        registry.byChange[entry.change] = entry.endpoint.host;
    }

    bool isGone(const RegistryEntry& it) { return it.expired || it.endpoint.state == EndpointState::Gone; }

    bool isRelevant(const RegistryEntry& entry, const std::set<base::ServiceName>* services)
    {
        if (!services || services->contains(entry.endpoint.service))
            return true;
        return std::any_of(entry.previousServices.begin(), entry.previousServices.end(), [&](const base::ServiceName& it) { return services->contains(it); });
    }

    void dropOldTombstones(EndpointRegistry& registry, base::Time now)
    {
        for (auto it = registry.entries.begin(); it != registry.entries.end();) {
            const RegistryEntry& entry = it->second;
            const bool old = now - entry.renewed >= tombstoneLifetime;
            if (!isGone(entry) || !old) {
                ++it;
                continue;
            }
            registry.lastDroppedChange = std::max(registry.lastDroppedChange, entry.change);
            registry.byChange.erase(entry.change);
            it = registry.entries.erase(it);
        }
    }

    bool keepLaterLeaving(EndpointRegistry& registry, RegistryEntry& entry, const Endpoint& older)
    {
        const auto leaving = laterLeaving(entry.endpoint.leaving, older.leaving);
        if (leaving == entry.endpoint.leaving)
            return false;
        entry.endpoint.leaving = leaving;
        markChanged(registry, entry);
        return true;
    }

    bool applyHeartbeat(EndpointRegistry& registry, RegistryEntry& entry, uint64_t heartbeat, base::Time now)
    {
        if (heartbeat <= entry.heartbeat || entry.endpoint.state == EndpointState::Gone)
            return false;
        entry.heartbeat = heartbeat;
        entry.renewed = now;
        if (entry.expired) {
            entry.expired = false;
            markChanged(registry, entry);
        }
        return true;
    }

} // namespace

bool expiryIsPaused(int64_t candidates, int64_t live) { return candidates > std::max(maxExpiredInSmallMesh, live * maxExpiredPercent / 100); }

bool put(EndpointRegistry& registry, const Endpoint& endpoint, uint64_t heartbeat, base::Time now)
{
    auto [it, isNew] = registry.entries.try_emplace(endpoint.host);
    RegistryEntry& entry = it->second;
    if (!isNew && revision(endpoint) < revision(entry.endpoint))
        return keepLaterLeaving(registry, entry, endpoint);
    if (!isNew && revision(endpoint) == revision(entry.endpoint))
        return applyHeartbeat(registry, entry, heartbeat, now);
    if (!isNew && entry.endpoint.service != endpoint.service)
        entry.previousServices.insert(entry.endpoint.service);
    const auto leaving = laterLeaving(entry.endpoint.leaving, endpoint.leaving);
    entry.endpoint = endpoint;
    entry.endpoint.leaving = leaving;
    entry.heartbeat = heartbeat;
    entry.renewed = now;
    entry.expired = false;
    markChanged(registry, entry);
    return true;
}

bool renew(EndpointRegistry& registry, const EndpointRenewal& renewal, base::Time now)
{
    const auto it = registry.entries.find(renewal.host);
    if (it == registry.entries.end())
        return false;
    const std::pair renewed(renewal.incarnation, renewal.sequence);
    if (renewed > revision(it->second.endpoint))
        return false;
    if (renewed == revision(it->second.endpoint))
        applyHeartbeat(registry, it->second, renewal.heartbeat, now);
    return true;
}

std::vector<EndpointRenewal> renewalsSince(const EndpointRegistry& registry, base::Time since)
{
    std::vector<EndpointRenewal> out;
    for (const auto& [host, entry] : registry.entries) {
        if (entry.renewed > since && !isGone(entry))
            out.push_back({ host, entry.endpoint.incarnation, entry.endpoint.sequence, entry.heartbeat });
    }
    return out;
}

size_t expire(EndpointRegistry& registry, base::Time now)
{
    std::vector<RegistryEntry*> candidates;
    int64_t live = 0;
    for (auto& [host, entry] : registry.entries) {
        if (isGone(entry))
            continue;
        ++live;
        if (now - entry.renewed >= endpointLifetime)
            candidates.push_back(&entry);
    }
    const bool paused = expiryIsPaused(static_cast<int64_t>(candidates.size()), live);
    size_t out = 0;
    for (RegistryEntry* entry : candidates) {
        if (paused && now - entry->renewed < maxExpiryPause)
            continue;
        entry->expired = true;
        entry->renewed = now;
        markChanged(registry, *entry);
        ++out;
    }
    dropOldTombstones(registry, now);
    return out;
}

static bool isReady(const RegistryEntry& it) { return !it.expired && it.endpoint.state == EndpointState::Ready; }

std::map<base::ServiceName, ReadyByVersion> readyUpstreams(const EndpointRegistry& registry)
{
    std::map<base::ServiceName, ReadyByVersion> out;
    for (const auto& [host, it] : registry.entries) {
        if (isReady(it))
            ++out[it.endpoint.service][it.endpoint.version];
    }
    return out;
}

ReadyByVersion readyUpstreams(const EndpointRegistry& registry, const base::ServiceName& service)
{
    ReadyByVersion out;
    for (const auto& [host, it] : registry.entries) {
        if (isReady(it) && it.endpoint.service == service)
            ++out[it.endpoint.version];
    }
    return out;
}

EndpointsDelta changesSince(const EndpointRegistry& registry, EndpointCursor cursor, const std::set<base::ServiceName>* services, size_t maxEndpoints)
{
    EndpointsDelta out;
    out.from = cursor;
    const bool missedTombstone = std::max(cursor.change, cursor.since) < registry.lastDroppedChange;
    out.restartsList = cursor.registry != registry.id || cursor.change == 0 || missedTombstone;
    uint64_t reached = out.restartsList ? 0 : cursor.change;
    for (auto it = registry.byChange.upper_bound(reached); it != registry.byChange.end(); ++it) {
        const RegistryEntry& entry = registry.entries.at(it->second);
        const bool relevant = isRelevant(entry, services);
        if (relevant && out.endpoints.size() == maxEndpoints) {
            out.more = true;
            break;
        }
        if (relevant) {
            out.endpoints.push_back(entry.endpoint);
            if (entry.expired)
                out.endpoints.back().state = EndpointState::Gone;
        }
        reached = it->first;
    }
    // At the end of the list, the changes of dropped tombstones count as read too.
    out.to = { registry.id, out.more ? reached : registry.lastChange, out.restartsList ? registry.lastChange : cursor.since };
    return out;
}

} // namespace appletally::config
