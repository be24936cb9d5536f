// The table of metrics, and their form.
#include "appletally/base/metrics_text.h"

#include <array>
#include <cassert>
#include <cstdio>

namespace appletally::base {

static constexpr auto table = std::to_array<MetricInfo>({
    { "appletally_requests_total", MetricKind::Counter, "callers' requests at this node, by outcome" },
    { "appletally_requests_refused_total", MetricKind::Counter, "callers' requests that were refused, by service and result code" },
    { "appletally_request_tries_total", MetricKind::Counter, "further tries of callers' requests, by kind" },
    { "appletally_request_latency_ms", MetricKind::Histogram, "from a caller's request to its whole answer" },
    { "appletally_requests_running", MetricKind::Gauge, "callers' requests without their answer" },
    { "appletally_caller_connections", MetricKind::Gauge, "open connections of callers" },
    { "appletally_caller_refusals_total", MetricKind::Counter, "what callers sent that is no proper request, by reason" },
    { "appletally_calls_total", MetricKind::Counter, "calls to the upstream beside this node, by outcome" },
    { "appletally_upstream_run_ms", MetricKind::Histogram, "from handing a call to the upstream to its whole answer" },
    { "appletally_upstream_calls", MetricKind::Gauge, "calls that run or wait at the upstream's node, by stage" },
    { "appletally_upstream_slots", MetricKind::Gauge, "calls that the upstream is given at once" },
    { "appletally_upstream_connections_total", MetricKind::Counter, "connections to the upstream taken, by kind, and what they held unasked" },
    { "appletally_config_version", MetricKind::Gauge, "configuration version in force here; 0: none" },
    { "appletally_control_reachable", MetricKind::Gauge, "1: a control process is linked" },
    { "appletally_known_upstreams", MetricKind::Gauge, "upstreams that this process knows, by state" },
    { "appletally_node_links", MetricKind::Gauge, "links with other nodes, by direction" },
    { "appletally_log_leads", MetricKind::Gauge, "1: this replica leads" },
    { "appletally_log_members", MetricKind::Gauge, "members of the replicated log, by role" },
    { "appletally_log_losses_left", MetricKind::Gauge, "voters that may still be lost before changes stop; only on the leader" },
    { "appletally_log_index", MetricKind::Gauge, "log index, by what has come that far here" },
    { "appletally_control_links", MetricKind::Gauge, "links to other control processes that work" },
    { "appletally_nodes", MetricKind::Gauge, "nodes within reach, by whether they have the newest version in force" },
    { "appletally_answered_before_all_total", MetricKind::Counter, "operators' changes that were acknowledged before every node within reach had confirmed them" },
    { "appletally_subscribers", MetricKind::Gauge, "nodes and relays that take their configuration from this process" },
    { "appletally_source_isolated", MetricKind::Gauge, "1: this process has lost most other control processes and asks its subscribers to leave" },
    { "appletally_service_upstreams", MetricKind::Gauge, "ready upstreams that this process knows, by service and version" },
    { "appletally_service_share", MetricKind::Gauge, "thousandths of a service's traffic, by version" },
    { "appletally_services_unserved", MetricKind::Gauge, "services of which no version that has traffic has a ready upstream" },
    { "appletally_rollouts", MetricKind::Gauge, "rollouts, by state" },
    { "appletally_loop_stall_ms", MetricKind::Histogram, "for how long the process's loop did nothing else, by cause" },
});

std::span<const MetricInfo> allMetrics() { return table; }

static const MetricInfo* find(std::string_view name)
{
    for (const MetricInfo& it : table) {
        if (it.name == name)
            return &it;
    }
    return nullptr;
}

static std::string number(double value)
{
    char bytes[32];
    std::snprintf(bytes, sizeof bytes, "%.10g", value);
    return bytes;
}

void MetricsText::begin(std::string_view name)
{
    const MetricInfo* it = find(name);
    assert(it && "a metric that is not in the table: add it there and to docs/METRICS.md");
    if (!it || m_last == it->name)
        return;
    m_last = it->name;
    static constexpr const char* kinds[] = { "counter", "gauge", "histogram" };
    m_text += "# HELP " + std::string(it->name) + " " + std::string(it->meaning) + "\n# TYPE " + std::string(it->name) + " " + kinds[static_cast<size_t>(it->kind)] + "\n";
}

static std::string braced(std::string_view labels, std::string_view more = {})
{
    if (labels.empty() && more.empty())
        return "";
    return "{" + std::string(labels) + (labels.empty() || more.empty() ? "" : ",") + std::string(more) + "}";
}

void MetricsText::add(std::string_view name, std::string_view labels, double value)
{
    begin(name);
    m_text += std::string(name) + braced(labels) + " " + number(value) + "\n";
}

void MetricsText::add(std::string_view name, std::string_view labels, const LatencyHistogram& it)
{
    // Runs and aims of the deployments lie between 20 ms and 5 s.
    static constexpr std::array<int64_t, 12> edgesMs { 1, 5, 20, 50, 100, 200, 300, 500, 800, 1500, 3000, 6000 };
    begin(name);
    for (const int64_t edge : edgesMs)
        m_text += std::string(name) + "_bucket" + braced(labels, "le=\"" + std::to_string(edge) + "\"") + " " + std::to_string(it.countUpTo(edge * 1000)) + "\n";
    m_text += std::string(name) + "_bucket" + braced(labels, "le=\"+Inf\"") + " " + std::to_string(it.count()) + "\n";
    m_text += std::string(name) + "_sum" + braced(labels) + " " + number(static_cast<double>(it.sumMicros()) / 1000) + "\n";
    m_text += std::string(name) + "_count" + braced(labels) + " " + std::to_string(it.count()) + "\n";
}

} // namespace appletally::base
