// Counts applied versions; see the header.
#include "appletally/control/convergence.h"

#include "appletally/config/endpoint.h"

#include <algorithm>

namespace appletally::control {

constexpr size_t maxKeptVersions = 64; // limits the size of a dump; operators need the last few

void recordAccepted(Convergence& it, base::ConfigVersion version, base::Time now)
{
    it.versions.try_emplace(version, VersionStatus { now, {}, {} });
    if (it.versions.size() > maxKeptVersions)
        it.versions.erase(it.versions.begin());
}

void recordReleased(Convergence& it, base::ConfigVersion version, base::Time now)
{
    auto found = it.versions.find(version);
    if (found != it.versions.end() && !found->second.released)
        found->second.released = now;
}

size_t countApplied(const Convergence& it, base::ConfigVersion version)
{
    return static_cast<size_t>(std::count_if(it.nodes.begin(), it.nodes.end(), [&](const auto& entry) { return entry.second.version >= version; }));
}

std::vector<base::HostId> nodesBelow(const Convergence& it, base::ConfigVersion version)
{
    std::vector<base::HostId> out;
    for (const auto& [host, status] : it.nodes) {
        if (status.version < version)
            out.push_back(host);
    }
    return out;
}

static void updateAppliedEverywhere(Convergence& it, base::Time now)
{
    if (it.nodes.empty())
        return;
    auto least = std::min_element(it.nodes.begin(), it.nodes.end(), [](const auto& a, const auto& b) { return a.second.version < b.second.version; });
    for (auto& [version, status] : it.versions) {
        if (version <= least->second.version && !status.appliedEverywhere)
            status.appliedEverywhere = now;
    }
}

void recordReports(Convergence& it, const std::vector<inner::NodeAppliedVersion>& reports, base::Time now)
{
    for (const inner::NodeAppliedVersion& report : reports) {
        NodeStatus& node = it.nodes[report.host];
        if (report.incarnation < node.incarnation)
            continue;
        if (report.left) {
            it.nodes.erase(report.host);
            continue;
        }
        const bool restarted = report.incarnation > node.incarnation;
        node.incarnation = report.incarnation;
        node.version = restarted ? report.version : std::max(node.version, report.version);
        node.lastReport = now;
    }
    if (!reports.empty())
        updateAppliedEverywhere(it, now);
}

void expireNodes(Convergence& it, base::Time now)
{
    const size_t gone = std::erase_if(it.nodes, [&](const auto& entry) { return now - entry.second.lastReport > config::endpointLifetime; });
    if (gone != 0)
        updateAppliedEverywhere(it, now);
}

nlohmann::json toJson(const Convergence& it)
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto& [version, status] : it.versions) {
        nlohmann::json row = { { "version", version.value }, { "in_force", countApplied(it, version) }, { "nodes", it.nodes.size() } };
        if (status.released)
            row["released_after_ms"] = (*status.released - status.accepted).ms;
        if (status.appliedEverywhere)
            row["everywhere_after_ms"] = (*status.appliedEverywhere - status.accepted).ms;
        out.push_back(std::move(row));
    }
    return out;
}

} // namespace appletally::control
