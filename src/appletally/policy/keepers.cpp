// Rendezvous hashing by XXH3 over key bytes and host name.
#include "appletally/policy/keepers.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace appletally::policy {

namespace {

    void appendPart(std::string& out, const std::string& part)
    {
        out += std::to_string(part.size());
        out += ':';
        out += part;
    }

    uint64_t weight(const base::HostId& host, uint64_t keyHash)
    {
        return XXH3_64bits_withSeed(host.text.data(), host.text.size(), keyHash);
    }

} // namespace

std::string keyBytes(const ClaimKey& key)
{
    std::string out;
    appendPart(out, key.service.text);
    appendPart(out, key.caller.text);
    appendPart(out, key.key.text);
    return out;
}

std::vector<base::HostId> keepersAmong(const std::vector<config::Keeper>& members, const ClaimKey& key)
{
    const std::string bytes = keyBytes(key);
    const uint64_t keyHash = XXH3_64bits(bytes.data(), bytes.size());
    std::vector<std::pair<uint64_t, base::HostId>> ranked;
    ranked.reserve(members.size());
    for (const config::Keeper& it : members)
        ranked.emplace_back(weight(it.host, keyHash), it.host);
    std::sort(ranked.begin(), ranked.end(), std::greater<> {}); // equal weights: by host, so that all nodes select the same
    std::vector<base::HostId> chosen;
    for (auto& [hash, host] : ranked) {
        if (chosen.size() == keepersPerKey)
            break;
        chosen.push_back(std::move(host));
    }
    return chosen;
}

std::vector<base::HostId> KeyKeepers::all() const
{
    std::vector<base::HostId> hosts = current;
    for (const base::HostId& it : previous) {
        if (std::find(hosts.begin(), hosts.end(), it) == hosts.end())
            hosts.push_back(it);
    }
    return hosts;
}

KeyKeepers keepersOf(const config::KeeperSet& set, const ClaimKey& key)
{
    return { keepersAmong(set.members, key), keepersAmong(set.previous, key) };
}

bool mayEndChange(const SetChange& change, base::Duration claimLife, base::Time now)
{
    size_t notReady = 0;
    for (const config::Keeper& it : change.set.previous) {
        const auto found = change.appliedSince.find(it.host);
        const bool ready = found != change.appliedSince.end() && now - found->second >= claimLife;
        notReady += ready ? 0 : 1;
    }
    // With one or two keepers per key, a single host that has not applied the set could still be a majority of the
    // rest.
    const size_t maxNotReady = change.set.previous.size() >= keepersPerKey ? 1 : 0;
    return notReady <= maxNotReady;
}

} // namespace appletally::policy
