// The ingress's view of routes, upstreams and version shares. Requests are handled in ingress_request.cpp and ingress_answer.cpp.
#include "appletally/node/active_request.h"

#include "appletally/base/log.h"
#include "appletally/config/codec.h"
#include "appletally/inner/cluster_key.h"

#include <algorithm>

namespace appletally::node {

Ingress::Ingress(event_base* loop, IngressSettings settings, Owner& owner, Peers& peers, Claims& claims, SuspectRegistry& suspectRequests)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_owner(&owner)
    , m_peers(&peers)
    , m_claims(&claims)
    , m_suspectRequests(&suspectRequests)
    , m_listener(
          loop, limitsOf({}),
          { [this](const http::CallerRequest& request) { return bodyLimit(request); },
              [this](const http::CallerRequest& request) {
                  const config::Route* route = routeOf(request);
                  return route ? route->idempotent : (m_snapshot || request.method == "GET");
              },
              [this](http::CallerExchange& exchange) { onRequest(exchange); } })
    , m_earlyRequests(
          loop, [this](http::CallerExchange& exchange, base::Time arrivedAt) { serve(exchange, arrivedAt); },
          [this](http::CallerExchange& exchange) { refuse(exchange, base::Code::NotReady, "no proven configuration yet", startupRetryAfter); })
{
}

Ingress::~Ingress() = default;

base::Result<base::Address> Ingress::listen(const base::Address& address) { return m_listener.listen(address); }

void Ingress::apply(std::shared_ptr<const config::Snapshot> snapshot)
{
    m_snapshot = std::move(snapshot);
    m_index = config::buildRouteIndex(*m_snapshot);
    m_listener.setLimits(limitsOf(m_snapshot->callerLimits));
    std::erase_if(m_longestTimeouts, [&](const auto& it) { return !m_snapshot->routes.contains(it.first); });
    std::erase_if(m_splitTurns, [&](const auto& it) { return !m_snapshot->routes.contains(it.first); });
    if (m_snapshot->rollouts.empty())
        m_versionViews.clear(); // kept per rollout; versions of past rollouts must not accumulate
    std::erase_if(m_stopped, [&](const auto& it) { return !config::rolloutRuns(*m_snapshot, it.first); });
    std::erase_if(m_routers, [&](const auto& it) { return !m_snapshot->services.contains(it.first); });
    for (const auto& [name, service] : m_snapshot->services) {
        policy::Router& router = m_routers[name];
        router.zone = m_settings.zone;
        router.evacuatedZones = m_snapshot->evacuatedZones;
        setShares(service);
        m_retries[name].perFirstAttempt = service.retryBudget;
    }
    std::vector<config::Endpoint> all;
    for (const auto& [host, it] : m_endpoints)
        all.push_back(it);
    setEndpoints(all);
}

http::ListenerLimits Ingress::limitsOf(const config::CallerLimits& agreed) const
{
    http::ListenerLimits out = m_settings.limits;
    out.maxWholeAnswerBytes = maxBufferedAnswerBytes;
    out.maxHeaderBytes = agreed.header.count > 0 ? agreed.header.count : out.maxHeaderBytes;
    out.maxBodyBytes = agreed.body.count > 0 ? agreed.body.count : out.maxBodyBytes;
    out.headerTimeout = agreed.headerTime.ms > 0 ? agreed.headerTime : out.headerTimeout;
    out.idleTimeout = agreed.idleTime.ms > 0 ? agreed.idleTime : out.idleTimeout;
    return out;
}

// A version that an owner has stopped but control has not yet rolled back gets no more requests from this node: each refusal
// would cost a round trip, and together more retries than any budget allows. Its share goes to the rollout's old version.
void Ingress::setShares(const config::Service& service)
{
    std::vector<config::VersionShare> shares = service.versions;
    const auto stopped = m_stopped.find(service.name);
    if (stopped != m_stopped.end()) {
        int32_t freed = 0;
        for (config::VersionShare& it : shares) {
            if (stopped->second.contains(it.version))
                freed += std::exchange(it.share.value, 0);
        }
        for (config::VersionShare& it : shares) {
            if (!stopped->second.contains(it.version))
                it.share.value += std::exchange(freed, 0);
        }
    }
    policy::setShares(m_routers[service.name], shares, inner::randomNumber(), service.fallbackVersion);
}

void Ingress::stopVersion(const ActiveRequest& it, const policy::Pick& pick)
{
    const auto service = m_snapshot->services.find(it.route->service);
    if (service == m_snapshot->services.end() || !m_stopped[service->first].insert(pick.version).second)
        return;
    base::logEvent(base::Event::VersionStoppedLocally, service->first.text + " " + pick.version.text + ": " + pick.host.text + " refuses it");
    setShares(service->second);
}

void Ingress::setEndpoints(const std::vector<config::Endpoint>& endpoints)
{
    std::map<base::ServiceName, std::vector<config::Endpoint>> byService;
    for (const config::Endpoint& it : endpoints) {
        auto known = m_endpoints.find(it.host);
        // A host's new upstream may belong to another service; the previous service must not keep the host as a target.
        if (known != m_endpoints.end() && known->second.service != it.service) {
            config::Endpoint gone = known->second;
            gone.state = config::EndpointState::Gone;
            gone.incarnation = it.incarnation;
            gone.sequence = it.sequence;
            byService[gone.service].push_back(gone);
        }
        byService[it.service].push_back(it);
        if (it.state == config::EndpointState::Gone)
            m_endpoints.erase(it.host);
        else
            m_endpoints[it.host] = it;
    }
    const int64_t allowance = policy::allowanceOf(m_endpoints.size()); // each node has one endpoint
    for (auto& [service, budget] : m_retries)
        budget.allowance = allowance;
    for (const auto& [service, list] : byService) {
        auto router = m_routers.find(service);
        if (router != m_routers.end())
            policy::setEndpoints(router->second, list, base::steadyNow());
    }
}

// Unsolicited load report of an owner that drains: no later call may go there, even if the endpoint record is outdated.
void Ingress::onLoadReported(const base::HostId& host, const policy::Load& load)
{
    for (auto& [name, router] : m_routers)
        policy::loadReported(router, host, load, base::steadyNow());
}

void Ingress::drain(base::Time stop)
{
    m_stop = stop;
    m_listener.setDraining(true);
}

void Ingress::stop()
{
    m_listener.stopAccepting();
    m_listener.closeIdle();
}

void Ingress::writeMetrics(base::MetricsText& out) const
{
    const auto count = [&](const char* name, const char* label, uint64_t n) { out.add(name, label, static_cast<double>(n)); };
    count("appletally_requests_total", "outcome=\"answered\"", m_counts.answered);
    count("appletally_requests_total", "outcome=\"refused\"", m_counts.refused);
    count("appletally_requests_total", "outcome=\"unknown\"", m_counts.unknown);
    count("appletally_requests_total", "outcome=\"caller_left\"", m_counts.callerLeft);
    for (const auto& [by, n] : m_counts.refusedBy)
        count("appletally_requests_refused_total", ("service=\"" + by.first.text + "\",code=\"" + std::to_string(static_cast<int>(by.second)) + "\"").c_str(), n);
    count("appletally_request_tries_total", "kind=\"retry\"", m_counts.retried);
    count("appletally_request_tries_total", "kind=\"hedge\"", m_counts.hedged);
    out.add("appletally_request_latency_ms", "", m_latency);
    out.add("appletally_answer_transit_ms", "size=\"short\"", m_transitOfShort);
    out.add("appletally_answer_transit_ms", "size=\"large\"", m_transitOfLarge);
    count("appletally_requests_running", "", m_calls.size());
    const http::ListenerCounts& in = m_listener.counts();
    count("appletally_caller_connections", "", in.connections);
    count("appletally_caller_refusals_total", "reason=\"malformed\"", in.malformed);
    count("appletally_caller_refusals_total", "reason=\"too_large\"", in.tooLarge);
    count("appletally_caller_refusals_total", "reason=\"too_slow\"", in.tooSlow);
    count("appletally_caller_refusals_total", "reason=\"too_many_connections\"", in.rejected);
    count("appletally_caller_refusals_total", "reason=\"no_body_memory\"", in.noBodyMemory);
    count("appletally_caller_bodies_waited_total", "", in.waitedForMemory);
    count("appletally_caller_bodies_waiting", "", m_listener.waitingBodies());
    count("appletally_caller_body_bytes", "stage=\"reserved\"", m_listener.bodyMemory().reserved);
    count("appletally_caller_body_bytes", "stage=\"received\"", m_listener.bodyMemory().received);
    count("appletally_caller_broken_answers_total", "end=\"taken_back\"", in.takenBack);
    count("appletally_caller_broken_answers_total", "end=\"aborted\"", in.abortedAnswers);
    count("appletally_caller_answers_lost_behind_broken_total", "", in.lostBehindAborted);
    count("appletally_caller_answers_sent_unprotected_total", "", in.sentUnprotected);
    count("appletally_caller_held_bytes", "", m_listener.heldBytes());
    count("appletally_caller_unread_bytes", "", m_listener.unreadBytes());
    std::map<std::string, size_t> states;
    for (const auto& [host, it] : m_endpoints)
        ++states[config::stateName(it.state)];
    for (const auto& [state, n] : states)
        count("appletally_known_upstreams", ("state=\"" + state + "\"").c_str(), n);
}

nlohmann::json Ingress::toJson() const
{
    nlohmann::json out;
    const http::ListenerCounts& in = m_listener.counts();
    out["callers"] = { { "connections", in.connections }, { "requests", in.requests }, { "malformed", in.malformed }, { "tooLarge", in.tooLarge },
        { "tooSlow", in.tooSlow }, { "closedEarly", in.closedEarly }, { "turnedAway", in.rejected } };
    out["counts"] = { { "answered", m_counts.answered }, { "refused", m_counts.refused }, { "unknown", m_counts.unknown }, { "retried", m_counts.retried }, { "hedged", m_counts.hedged }, { "shared", m_counts.shared }, { "gone", m_counts.callerLeft } };
    out["underWay"] = m_calls.size();
    out["latencyMicros"] = m_latency.toJson();
    for (const auto& [host, it] : m_endpoints) {
        nlohmann::json row = { { "host", host.text }, { "service", it.service.text }, { "version", it.version.text }, { "zone", it.zone.text },
            { "inner", it.inner.text() }, { "state", static_cast<int>(it.state) }, { "slots", it.slots } };
        auto router = m_routers.find(it.service);
        if (router != m_routers.end() && router->second.targets.contains(host))
            row["inFlight"] = router->second.targets.at(host).inFlight;
        out["endpoints"].push_back(row);
    }
    if (!m_snapshot)
        return out;
    for (const auto& [name, route] : m_snapshot->routes)
        out["routes"].push_back({ { "route", name.text }, { "service", route.service.text }, { "method", route.method }, { "prefix", route.pathPrefix } });
    return out;
}

} // namespace appletally::node
