// The table of metrics, and their text format.
#include "appletally/base/metrics_text.h"

#include <array>
#include <cassert>
#include <cstdio>

namespace appletally::base {

static constexpr auto table = std::to_array<MetricInfo>({
    { "appletally_requests_total", MetricKind::Counter, "callers' requests at this node, by outcome" },
    { "appletally_requests_refused_total", MetricKind::Counter, "callers' requests that were rejected, by service and result code" },
    { "appletally_request_tries_total", MetricKind::Counter, "further attempts of callers' requests, by kind" },
    { "appletally_request_latency_ms", MetricKind::Histogram, "from a caller's request to its complete answer" },
    { "appletally_answer_transit_ms", MetricKind::Histogram, "time of a call and its answer between two nodes, beside its wait and run at the owner, by the answer's size: `short` up to 16 KiB, `large` above" },
    { "appletally_requests_running", MetricKind::Gauge, "callers' requests without a complete answer" },
    { "appletally_caller_connections", MetricKind::Gauge, "open connections of callers" },
    { "appletally_caller_refusals_total", MetricKind::Counter, "invalid requests and rejected connections of callers, by reason" },
    { "appletally_caller_broken_answers_total", MetricKind::Counter, "large answers that broke, by end: `taken_back` before any of it was sent, `aborted` with the caller's connection" },
    { "appletally_caller_answers_lost_behind_broken_total", MetricKind::Counter, "running or answered requests that ended with a connection because a large answer in front of them broke" },
    { "appletally_caller_answers_sent_unprotected_total", MetricKind::Counter, "large answers sent before they were complete although requests behind them ran, for lack of memory to hold them" },
    { "appletally_caller_held_bytes", MetricKind::Gauge, "bytes of answers that wait for the answers in front of them, and of large ones that wait for their own end" },
    { "appletally_caller_unread_bytes", MetricKind::Gauge, "bytes of answers in this process that their callers have not read yet" },
    { "appletally_caller_body_bytes", MetricKind::Gauge, "memory of callers' large request bodies, by stage: `reserved`, and of it `received`" },
    { "appletally_caller_bodies_waiting", MetricKind::Gauge, "large request bodies that wait unread for memory" },
    { "appletally_caller_bodies_waited_total", MetricKind::Counter, "large request bodies that were not read at once for lack of memory" },
    { "appletally_calls_total", MetricKind::Counter, "calls to the upstream beside this node, by outcome" },
    { "appletally_upstream_ends_total", MetricKind::Counter, "ends of the upstream's process while it ran requests" },
    { "appletally_suspect_requests", MetricKind::Gauge, "requests under which upstreams ended, as known here, by state: `suspected` ones run one at a time, `blocked` ones not at all" },
    { "appletally_upstream_run_ms", MetricKind::Histogram, "from sending a call to the upstream to its complete answer" },
    { "appletally_upstream_calls", MetricKind::Gauge, "calls that run or wait at the owner, by stage" },
    { "appletally_upstream_slots", MetricKind::Gauge, "calls that the upstream gets at once" },
    { "appletally_upstream_limit", MetricKind::Gauge, "requests a second that the upstream named as its limit; 0: none" },
    { "appletally_upstream_cold", MetricKind::Gauge, "1 while the upstream is cold, or may be, and gets no more than the rate that the configuration names for that" },
    { "appletally_upstream_leaving", MetricKind::Gauge, "1 if the upstream said in an answer that it leaves" },
    { "appletally_upstream_notices_unreadable_total", MetricKind::Counter, "values of the header fields of limit and leaving that could not be read and were ignored, by field" },
    { "appletally_upstream_connections_total", MetricKind::Counter, "connections to the upstream used, by kind, unsolicited data on them, and those found closed when they were to be used" },
    { "appletally_upstream_connections_used_once", MetricKind::Gauge, "1 while each connection to the upstream carries one request, because it sent bytes that answer none" },
    { "appletally_answer_waiting_bytes", MetricKind::Gauge, "bytes of large answers that wait at the owner for the host's network link" },
    { "appletally_answer_window_bytes", MetricKind::Gauge, "bytes of large answers that the owner lets be on the way at once" },
    { "appletally_config_version", MetricKind::Gauge, "configuration version applied here; 0: none" },
    { "appletally_control_reachable", MetricKind::Gauge, "1: linked to a control process" },
    { "appletally_known_upstreams", MetricKind::Gauge, "upstreams that this process knows, by state" },
    { "appletally_node_links", MetricKind::Gauge, "links with other nodes, by direction" },
    { "appletally_log_leads", MetricKind::Gauge, "1: this replica is the leader" },
    { "appletally_log_members", MetricKind::Gauge, "members of the replicated log, by role" },
    { "appletally_log_losses_left", MetricKind::Gauge, "voters that may still be lost before changes stop; only on the leader" },
    { "appletally_log_stopped", MetricKind::Gauge, "1: this replica takes no part in the log, because its disk failed or a snapshot could not be decoded" },
    { "appletally_log_index", MetricKind::Gauge, "log index, by stage reached on this replica" },
    { "appletally_control_links", MetricKind::Gauge, "established links to other control processes" },
    { "appletally_nodes", MetricKind::Gauge, "reachable nodes, by whether they have applied the newest version" },
    { "appletally_answered_before_all_total", MetricKind::Counter, "operators' changes that were acknowledged before every reachable node had confirmed them" },
    { "appletally_subscribers", MetricKind::Gauge, "nodes and relays that get their configuration from this process" },
    { "appletally_source_handovers_total", MetricKind::Counter, "subscribers that were asked to move to another source with room" },
    { "appletally_source_sent_total", MetricKind::Counter, "messages sent to subscribers, by kind" },
    { "appletally_source_sent_bytes_total", MetricKind::Counter, "bytes of these messages before framing, by kind" },
    { "appletally_source_isolated", MetricKind::Gauge, "1: this process has lost most other control processes and asks its subscribers to switch to another source" },
    { "appletally_service_upstreams", MetricKind::Gauge, "ready upstreams that this process knows, by service and version" },
    { "appletally_service_share", MetricKind::Gauge, "thousandths of a service's traffic, by version" },
    { "appletally_services_unserved", MetricKind::Gauge, "services without a ready upstream in any version that has traffic" },
    { "appletally_evacuated_zones", MetricKind::Gauge, "availability zones that are evacuated" },
    { "appletally_rollouts", MetricKind::Gauge, "rollouts, by state" },
    { "appletally_loop_stall_ms", MetricKind::Histogram, "duration of event loop stalls, by cause" },
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

void MetricsText::writeHeaderOnce(std::string_view name)
{
    const MetricInfo* it = find(name);
    assert(it && "metric not in the table: add it there and to docs/METRICS.md");
    if (!it || m_lastName == it->name)
        return;
    m_lastName = it->name;
    static constexpr const char* kinds[] = { "counter", "gauge", "histogram" };
    m_text += "# HELP " + std::string(it->name) + " " + std::string(it->meaning) + "\n# TYPE " + std::string(it->name) + " " + kinds[static_cast<size_t>(it->kind)] + "\n";
}

static std::string withBraces(std::string_view labels, std::string_view more = {})
{
    if (labels.empty() && more.empty())
        return "";
    return "{" + std::string(labels) + (labels.empty() || more.empty() ? "" : ",") + std::string(more) + "}";
}

void MetricsText::add(std::string_view name, std::string_view labels, double value)
{
    writeHeaderOnce(name);
    m_text += std::string(name) + withBraces(labels) + " " + number(value) + "\n";
}

void MetricsText::add(std::string_view name, std::string_view labels, const LatencyHistogram& it)
{
    // Run times and latency targets of the deployments are between 20 ms and 5 s.
    static constexpr std::array<int64_t, 12> edgesMs { 1, 5, 20, 50, 100, 200, 300, 500, 800, 1500, 3000, 6000 };
    writeHeaderOnce(name);
    for (const int64_t edge : edgesMs)
        m_text += std::string(name) + "_bucket" + withBraces(labels, "le=\"" + std::to_string(edge) + "\"") + " " + std::to_string(it.countUpTo(edge * 1000)) + "\n";
    m_text += std::string(name) + "_bucket" + withBraces(labels, "le=\"+Inf\"") + " " + std::to_string(it.count()) + "\n";
    m_text += std::string(name) + "_sum" + withBraces(labels) + " " + number(static_cast<double>(it.sumMicros()) / 1000) + "\n";
    m_text += std::string(name) + "_count" + withBraces(labels) + " " + std::to_string(it.count()) + "\n";
}

} // namespace appletally::base
