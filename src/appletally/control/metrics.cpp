// Metrics of a control process in Prometheus' text format.
#include "appletally/base/metrics_text.h"
#include "appletally/control/process.h"

#include <algorithm>

namespace appletally::control {

namespace {

    using ReadyByService = std::map<base::ServiceName, config::ReadyByVersion>;

    std::string labelsOf(const base::ServiceName& service, const base::UpstreamVersion& version)
    {
        return "service=\"" + service.text + "\",version=\"" + version.text + "\"";
    }

    bool isServed(const config::Service& service, const ReadyByService& ready)
    {
        const auto versions = ready.find(service.name);
        if (versions == ready.end())
            return false;
        const auto runs = [&](const base::UpstreamVersion& it) { return !it.empty() && versions->second.contains(it); };
        const auto takesTraffic = [&](const config::VersionShare& it) { return it.share.value > 0 && runs(it.version); };
        return service.versions.empty() || runs(service.fallbackVersion) || std::any_of(service.versions.begin(), service.versions.end(), takesTraffic);
    }

    void writeServiceMetrics(base::MetricsText& out, const config::Snapshot& snapshot, const ReadyByService& ready)
    {
        for (const auto& [service, versions] : ready) {
            for (const auto& [version, n] : versions)
                out.add("appletally_service_upstreams", labelsOf(service, version), static_cast<double>(n));
        }
        for (const auto& [name, service] : snapshot.services) {
            for (const config::VersionShare& it : service.versions)
                out.add("appletally_service_share", labelsOf(name, it.version), it.share.value);
        }
        const auto unserved = std::count_if(snapshot.services.begin(), snapshot.services.end(), [&](const auto& it) { return !isServed(it.second, ready); });
        out.add("appletally_services_unserved", "", static_cast<double>(unserved));
    }

} // namespace

std::string ControlProcess::metrics() const
{
    base::MetricsText out;
    const auto add = [&](const char* name, const char* label, uint64_t n) { out.add(name, label, static_cast<double>(n)); };
    const base::ConfigVersion version = m_state.snapshot.version;
    add("appletally_config_version", "", version.value);
    add("appletally_log_leads", "", leads() ? 1 : 0);
    if (m_replica) {
        const consensus::Replica& replica = m_replica->replica();
        const auto& members = consensus::latestMembers(replica).list;
        const auto voters = std::count_if(members.begin(), members.end(), [](const consensus::Member& it) { return it.role == consensus::Role::Voter; });
        add("appletally_log_members", "role=\"voter\"", static_cast<uint64_t>(voters));
        add("appletally_log_members", "role=\"other\"", members.size() - static_cast<size_t>(voters));
        if (leads()) {
            const size_t majority = static_cast<size_t>(voters) / 2 + 1;
            const size_t responding = consensus::respondingVoters(replica, base::steadyNow()).size();
            add("appletally_log_losses_left", "", responding > majority ? responding - majority : 0);
        }
        add("appletally_log_stopped", "", m_replica->stopped() ? 1 : 0);
        add("appletally_log_index", "what=\"applied\"", replica.applied.value);
        add("appletally_log_index", "what=\"committed\"", replica.commit.value);
        add("appletally_log_index", "what=\"released\"", replica.released.value);
    }
    add("appletally_control_links", "", static_cast<uint64_t>(std::count_if(m_peers.begin(), m_peers.end(), [](const auto& it) { return it->up(); })));
    const size_t current = countApplied(m_convergence, version);
    add("appletally_nodes", "newest=\"yes\"", current);
    add("appletally_nodes", "newest=\"no\"", m_convergence.nodes.size() - current);
    add("appletally_known_upstreams", "state=\"any\"", m_endpoints.entries.size());
    add("appletally_answered_before_all_total", "", m_appliedTimeouts);
    add("appletally_subscribers", "", m_distributor.subscribers());
    add("appletally_source_handovers_total", "", m_distributor.counters().handovers);
    add("appletally_source_sent_total", "what=\"content\"", m_distributor.counters().snapshotsSent + m_distributor.counters().deltasSent);
    add("appletally_source_sent_total", "what=\"endpoints\"", m_distributor.counters().endpointMessages);
    add("appletally_source_sent_bytes_total", "what=\"content\"", m_distributor.counters().contentBytes);
    add("appletally_source_sent_bytes_total", "what=\"endpoints\"", m_distributor.counters().endpointBytes);
    add("appletally_source_isolated", "", m_distributor.isolated() ? 1 : 0);
    writeServiceMetrics(out, m_state.snapshot, config::readyUpstreams(m_endpoints));
    add("appletally_evacuated_zones", "", m_state.snapshot.evacuatedZones.size());
    add("appletally_rollouts", "state=\"running\"", m_state.snapshot.rollouts.size());
    add("appletally_rollouts", "state=\"ended\"", m_state.ended.size());
    if (m_replica)
        writeMetrics(m_replica->stalls(), out);
    return out.text();
}

} // namespace appletally::control
