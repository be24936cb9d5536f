// A node's copy of the endpoints: later records win, and silence of a new source is no proof.
#include "appletally/config/endpoint_mirror.h"

#include <algorithm>
#include <utility>

namespace appletally::config {

using base::Code;

namespace {

    std::pair<base::Incarnation, base::Sequence> age(const Endpoint& it) { return { it.incarnation, it.sequence }; }

    bool isGone(const MirrorEntry& it) { return it.endpoint.state == EndpointState::Gone; }

    base::Result<void> checkFits(const EndpointMirror& mirror, const EndpointsDelta& delta)
    {
        // A list that is started anew goes back to the first change, so the start of the list is compared first.
        const auto place = [](const EndpointCursor& it) { return std::pair(it.since, it.change); };
        const bool sameRegistry = delta.to.registry == mirror.cursor.registry;
        if (sameRegistry && place(delta.to) <= place(mirror.cursor))
            return base::fail(Code::VersionTooOld, "endpoints were read up to " + std::to_string(mirror.cursor.change));
        if (!delta.whole && !(delta.from == mirror.cursor))
            return base::fail(Code::DeltaMismatch, "endpoints from " + std::to_string(delta.from.change) + " where " + std::to_string(mirror.cursor.change) + " was read");
        return base::success();
    }

    void doubtAll(EndpointMirror& mirror, base::Time now)
    {
        for (auto& [host, entry] : mirror.entries) {
            if (!isGone(entry))
                entry.doubted = now;
        }
    }

    // Whether it was news.
    bool take(EndpointMirror& mirror, const Endpoint& endpoint, base::Time now)
    {
        auto [it, isNew] = mirror.entries.try_emplace(endpoint.host);
        MirrorEntry& entry = it->second;
        // Older: from a source that lags. It says at least that the host is not forgotten there, yet not what it is now.
        if (!isNew && age(endpoint) < age(entry.endpoint))
            return false;
        const bool news = isNew || age(endpoint) != age(entry.endpoint) || endpoint.state != entry.endpoint.state;
        entry.endpoint = endpoint;
        entry.doubted.reset();
        entry.goneAt = now;
        return news;
    }

} // namespace

base::Result<std::vector<Endpoint>> applyEndpoints(EndpointMirror& mirror, const EndpointsDelta& delta, base::Time now)
{
    if (auto fits = checkFits(mirror, delta); !fits)
        return fits.error();
    if (delta.whole)
        doubtAll(mirror, now);
    std::vector<Endpoint> news;
    for (const Endpoint& it : delta.endpoints) {
        if (take(mirror, it, now))
            news.push_back(it);
    }
    mirror.cursor = delta.to;
    return news;
}

std::vector<Endpoint> dropDoubted(EndpointMirror& mirror, base::Time linkedSince, base::Time now)
{
    std::vector<MirrorEntry*> runOut;
    int64_t live = 0;
    for (auto it = mirror.entries.begin(); it != mirror.entries.end();) {
        MirrorEntry& entry = it->second;
        if (isGone(entry)) {
            it = now - entry.goneAt >= tombstoneLifetime ? mirror.entries.erase(it) : std::next(it);
            continue;
        }
        ++live;
        if (entry.doubted && now - std::max(*entry.doubted, linkedSince) >= endpointLifetime)
            runOut.push_back(&entry);
        ++it;
    }
    const bool held = expiryIsHeld(static_cast<int64_t>(runOut.size()), live);
    std::vector<Endpoint> out;
    for (MirrorEntry* entry : runOut) {
        if (held && now - std::max(*entry->doubted, linkedSince) < longestHold)
            continue;
        entry->endpoint.state = EndpointState::Gone;
        entry->doubted.reset();
        entry->goneAt = now;
        out.push_back(entry->endpoint);
    }
    return out;
}

} // namespace appletally::config
