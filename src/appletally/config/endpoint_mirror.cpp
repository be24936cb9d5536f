// A node's copy of the endpoints: later records win; a record that is missing from a new list is not removed at once.
#include "appletally/config/endpoint_mirror.h"

#include <algorithm>
#include <utility>

namespace appletally::config {

using base::Code;

namespace {

    std::pair<base::Incarnation, base::Sequence> revision(const Endpoint& it) { return { it.incarnation, it.sequence }; }

    bool isGone(const MirrorEntry& it) { return it.endpoint.state == EndpointState::Gone; }

    base::Result<void> checkPosition(const EndpointMirror& mirror, const EndpointsDelta& delta)
    {
        // A restarted list begins at the first change again, so the start of the list is compared first.
        const auto position = [](const EndpointCursor& it) { return std::pair(it.since, it.change); };
        const bool sameRegistry = delta.to.registry == mirror.cursor.registry;
        if (sameRegistry && position(delta.to) <= position(mirror.cursor))
            return base::fail(Code::VersionTooOld, "endpoints already read up to change " + std::to_string(mirror.cursor.change));
        if (!delta.restartsList && !(delta.from == mirror.cursor))
            return base::fail(Code::DeltaMismatch, "endpoints from change " + std::to_string(delta.from.change) + " do not match: change " + std::to_string(mirror.cursor.change) + " was read last");
        return base::success();
    }

    void markAllUnconfirmed(EndpointMirror& mirror, base::Time now)
    {
        for (auto& [host, entry] : mirror.entries) {
            if (!isGone(entry))
                entry.unconfirmedSince = now;
        }
    }

    // Returns whether the entry changed.
    bool updateEntry(EndpointMirror& mirror, const Endpoint& endpoint, base::Time now)
    {
        auto [it, isNew] = mirror.entries.try_emplace(endpoint.host);
        MirrorEntry& entry = it->second;
        const auto leaving = laterLeaving(entry.endpoint.leaving, endpoint.leaving);
        const bool leavingChanged = leaving != std::exchange(entry.endpoint.leaving, leaving);
        // An older record comes from a source that lags: the source still knows the host, but not its current state.
        if (!isNew && revision(endpoint) < revision(entry.endpoint))
            return leavingChanged;
        const bool changed = isNew || leavingChanged || revision(endpoint) != revision(entry.endpoint) || endpoint.state != entry.endpoint.state;
        entry.endpoint = endpoint;
        entry.endpoint.leaving = leaving;
        entry.unconfirmedSince.reset();
        entry.removedAt = now;
        return changed;
    }

} // namespace

base::Result<std::vector<Endpoint>> applyEndpoints(EndpointMirror& mirror, const EndpointsDelta& delta, base::Time now)
{
    if (auto checked = checkPosition(mirror, delta); !checked)
        return checked.error();
    if (delta.restartsList)
        markAllUnconfirmed(mirror, now);
    std::vector<Endpoint> changed;
    for (const Endpoint& it : delta.endpoints) {
        if (updateEntry(mirror, it, now))
            changed.push_back(mirror.entries.at(it.host).endpoint);
    }
    mirror.cursor = delta.to;
    return changed;
}

std::vector<Endpoint> expireUnconfirmed(EndpointMirror& mirror, base::Time linkedSince, base::Time now)
{
    std::vector<MirrorEntry*> candidates;
    int64_t live = 0;
    for (auto it = mirror.entries.begin(); it != mirror.entries.end();) {
        MirrorEntry& entry = it->second;
        if (isGone(entry)) {
            it = now - entry.removedAt >= tombstoneLifetime ? mirror.entries.erase(it) : std::next(it);
            continue;
        }
        ++live;
        if (entry.unconfirmedSince && now - std::max(*entry.unconfirmedSince, linkedSince) >= endpointLifetime)
            candidates.push_back(&entry);
        ++it;
    }
    const bool paused = expiryIsPaused(static_cast<int64_t>(candidates.size()), live);
    std::vector<Endpoint> out;
    for (MirrorEntry* entry : candidates) {
        if (paused && now - std::max(*entry->unconfirmedSince, linkedSince) < maxExpiryPause)
            continue;
        entry->endpoint.state = EndpointState::Gone;
        entry->unconfirmedSince.reset();
        entry->removedAt = now;
        out.push_back(entry->endpoint);
    }
    return out;
}

} // namespace appletally::config
