// What this node knows of requests under which upstreams end, and what it tells other nodes of them.
//
// The owner reports ends and answers of its upstream; the ingress and the owner ask before they send. What this node has
// seen itself goes to all linked nodes at once and into its endpoint record, which reaches every node through control and
// every later one from there.
#pragma once

#include "appletally/base/metrics_text.h"
#include "appletally/policy/suspect_requests.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace appletally::node {

class SuspectRegistry {
public:
    struct Events {
        std::function<void(const std::vector<config::SuspectRequest>&)> seen; // by this node itself: all others must be told
        std::function<void(const config::SuspectRequest&)> learned; // from another node, and new here
    };

    explicit SuspectRegistry(Events);

    policy::Suspicion suspicionOf(const config::RequestOnVersion&) const;
    policy::Standing standingOf(const config::RequestOnVersion& key) const { return policy::standingOf(m_state, key); }
    std::optional<config::SuspectRequest> evidenceOf(const config::RequestOnVersion&) const; // empty: nothing to tell
    base::Duration blockedFor(const config::RequestOnVersion&) const; // zero: not blocked
    bool knows(base::RequestDigest) const; // on any version; false for nearly all requests

    void onUpstreamEnded(std::span<const policy::RunAtEnd>);
    void onAnswered(const config::RequestOnVersion&); // by the upstream beside this node
    void onTold(const config::SuspectRequest&); // by another node
    void forgetOld();

    // For the endpoint record: the latest of those that this node has seen or acquitted.
    std::vector<config::SuspectRequest> published() const;

    nlohmann::json toJson() const;
    void writeMetrics(base::MetricsText&) const;

private:
    void publish(const std::vector<config::SuspectRequest>&);
    void logVerdict(const config::RequestOnVersion&, policy::Suspicion before) const;

    policy::SuspectRequests m_state;
    Events m_events;
    std::vector<config::RequestOnVersion> m_own; // the latest last; at most maxPublished
};

} // namespace appletally::node
