// Counting versions in force.
#include "appletally/control/convergence.h"

#include "appletally/config/endpoint.h"

#include <algorithm>

namespace appletally::control {

constexpr size_t keptVersions = 64; // an operator looks at the last few; a dump stays small

void accepted(Convergence& it, base::ConfigVersion version, base::Time now)
{
    it.versions.try_emplace(version, VersionStanding { now, {}, {} });
    if (it.versions.size() > keptVersions)
        it.versions.erase(it.versions.begin());
}

void released(Convergence& it, base::ConfigVersion version, base::Time now)
{
    auto found = it.versions.find(version);
    if (found != it.versions.end() && !found->second.released)
        found->second.released = now;
}

size_t inForce(const Convergence& it, base::ConfigVersion version)
{
    return static_cast<size_t>(std::count_if(it.nodes.begin(), it.nodes.end(), [&](const auto& entry) { return entry.second.version >= version; }));
}

std::vector<base::HostId> nodesBelow(const Convergence& it, base::ConfigVersion version)
{
    std::vector<base::HostId> out;
    for (const auto& [host, standing] : it.nodes) {
        if (standing.version < version)
            out.push_back(host);
    }
    return out;
}

static void noteEverywhere(Convergence& it, base::Time now)
{
    if (it.nodes.empty())
        return;
    auto least = std::min_element(it.nodes.begin(), it.nodes.end(), [](const auto& a, const auto& b) { return a.second.version < b.second.version; });
    for (auto& [version, standing] : it.versions) {
        if (version <= least->second.version && !standing.everywhere)
            standing.everywhere = now;
    }
}

void heard(Convergence& it, const std::vector<inner::NodeAppliedVersion>& reports, base::Time now)
{
    for (const inner::NodeAppliedVersion& report : reports) {
        NodeStanding& node = it.nodes[report.host];
        if (report.incarnation < node.incarnation)
            continue;
        if (report.left) {
            it.nodes.erase(report.host);
            continue;
        }
        const bool restarted = report.incarnation > node.incarnation;
        node.incarnation = report.incarnation;
        node.version = restarted ? report.version : std::max(node.version, report.version);
        node.heard = now;
    }
    if (!reports.empty())
        noteEverywhere(it, now);
}

void expire(Convergence& it, base::Time now)
{
    const size_t gone = std::erase_if(it.nodes, [&](const auto& entry) { return now - entry.second.heard > config::endpointLifetime; });
    if (gone != 0)
        noteEverywhere(it, now);
}

nlohmann::json toJson(const Convergence& it)
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto& [version, standing] : it.versions) {
        nlohmann::json row = { { "version", version.value }, { "in_force", inForce(it, version) }, { "nodes", it.nodes.size() } };
        if (standing.released)
            row["released_after_ms"] = (*standing.released - standing.accepted).ms;
        if (standing.everywhere)
            row["everywhere_after_ms"] = (*standing.everywhere - standing.accepted).ms;
        out.push_back(std::move(row));
    }
    return out;
}

} // namespace appletally::control
