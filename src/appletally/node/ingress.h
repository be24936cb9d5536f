// The caller's side: a caller's HTTP request comes in, is matched to a route, sent to an upstream's own node, tried
// elsewhere where that is safe, and answered whole.
//
// A non-idempotent request is sent once. It is tried elsewhere only after a proven "not run". Everything else that goes
// wrong after it was sent is "outcome unknown", and the caller is told so.
#pragma once

#include "appletally/base/histogram.h"
#include "appletally/base/metrics_text.h"
#include "appletally/config/route_match.h"
#include "appletally/http/caller_listener.h"
#include "appletally/node/dialect.h"
#include "appletally/node/early_requests.h"
#include "appletally/node/owner.h"
#include "appletally/node/peers.h"
#include "appletally/policy/collapse.h"
#include "appletally/policy/hedge.h"
#include "appletally/policy/retry.h"
#include "appletally/policy/routing.h"
#include "appletally/policy/split.h"
#include "appletally/policy/version_view.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

namespace appletally::node {

struct IngressCounts {
    uint64_t answered = 0; // whole answers, whatever their status
    uint64_t refused = 0; // proven "not run"
    std::map<std::pair<base::ServiceName, base::Code>, uint64_t> refusedBy; // without a service: before one was chosen
    uint64_t unknown = 0; // outcome unknown, cut or past the deadline
    uint64_t retried = 0;
    uint64_t hedged = 0;
    uint64_t shared = 0; // answered by the run of an identical read
    uint64_t gone = 0; // the caller went away first
};

// What the settings say of the callers' side.
struct IngressSettings {
    base::HostId host;
    base::ZoneName zone;
    base::ServiceName service; // beside this node: where the requests of its callers begin
    http::ListenerLimits limits; // the configuration may name others
    Dialect dialect;
    CallFeatures features;
};

class Ingress {
public:
    Ingress(event_base*, IngressSettings, Owner&, Peers&, Claims&);
    ~Ingress();
    Ingress(const Ingress&) = delete;
    Ingress& operator=(const Ingress&) = delete;

    base::Result<base::Address> listen(const base::Address&);
    void apply(std::shared_ptr<const config::Snapshot>);
    void setEndpoints(const std::vector<config::Endpoint>&);
    void loadTold(const base::HostId&, const policy::Load&);
    void onSuspected(const base::HostId&); // reads under way there are tried elsewhere
    void setConfigurationExpected(bool); // a source answers, though nothing may be in force yet
    void open(); // there are a configuration and upstreams now: those who came early are served
    void drain(); // answers close their connections from now on
    void stop(); // takes no new connection; what is under way goes on
    void answerAll(); // the process ends in a moment: what waits for an upstream gets its final answer now
    bool idle() const { return m_calls.empty() && m_listener.allConnectionsClosed(); } // after stop()
    nlohmann::json toJson() const;
    void writeMetrics(base::MetricsText&) const;

private:
    struct Try;
    struct Active;

    // ingress_request.cpp: from the caller to the tries
    const config::Route* routeOf(const http::CallerRequest&) const; // null: none
    size_t bodyLimit(const http::CallerRequest&) const;
    http::ListenerLimits limitsOf(const config::CallerLimits&) const;
    void reply(http::CallerExchange&, const base::Error&, bool notRun, bool stopsRetries);
    void onRequest(http::CallerExchange&);
    void serve(http::CallerExchange&, base::Time since);
    void refuse(http::CallerExchange&, base::Code, const std::string& why, base::Duration retryAfter = {});
    Active& begin(http::CallerExchange&, const config::Route&, uint8_t depth, base::Time since);
    bool share(Active&); // true: an identical read of this caller is under way, and its answer will do
    base::Duration waitedBefore(const Active&, base::Duration asked); // at other nodes, before this send
    void send(Active&);
    void startTry(Active&, const policy::Pick&, bool isHedge);
    std::optional<policy::Pick> pickFor(const Active&);
    void logSent(const Active&, const Try&) const;
    void armHedge(Active&);
    void onHedgeTimer(Active&);
    void onTimer(Active&);
    void leave(Active&); // the caller is gone
    void abandon(Active&); // nobody wants the answer any more
    Active* find(uint64_t id);

    // ingress_answer.cpp: from the tries to the caller
    void onHead(Active&, Try&, const http::AnswerHead&);
    void onBody(Active&, Try&, evbuffer*);
    void onEnd(Active&, Try&, const CallEnd&);
    void onDrained(Active&);
    void startStream(Active&, Try&, evbuffer*);
    void passCredit(Try&);
    void onWhole(Active&, Try&);
    void noteRefusal(Active&, const base::Error&);
    void onNobodyLeft(Active&);
    void onFailedTry(Active&, const base::Error&);
    void giveHeld(Active&, const http::AnswerHead&, const std::string& body);
    void giveUp(Active&, const base::Error&); // the final answer where there is none from an upstream
    void proveNotRun(Active&, const base::Error&);
    void onProof(Active&, const base::Error&, const policy::ClaimRound&);
    void answerError(Active&, const base::Error&);
    void cancelTry(Active&, Try&, policy::AnswerKind);
    void cancelAll(Active&);
    std::unique_ptr<Try> take(Active&, const Try&);
    void settle(const Active&, const Try&, policy::AnswerKind, const CallEnd&);
    void forget(Active&);

    void view(const Active&, const Try&, bool failed, int64_t runMicros);
    std::optional<policy::CallerBaseline> baselineFor(const Active&, const policy::Pick&) const;
    void stopVersion(const Active&, const policy::Pick&);
    void setShares(const config::Service&);

    event_base* m_loop;
    IngressSettings m_settings;
    Owner* m_owner;
    Peers* m_peers;
    Claims* m_claims;
    http::CallerListener m_listener;
    EarlyRequests m_early; // empty once m_open
    bool m_open = false; // a configuration is in force and upstreams are known
    std::shared_ptr<const config::Snapshot> m_snapshot;
    config::RouteIndex m_index; // into m_snapshot
    std::map<base::ServiceName, policy::Router> m_routers;
    std::map<base::ServiceName, std::set<base::UpstreamVersion>> m_stopped; // by an owner's own verdict, as long as the rollout lasts
    std::map<base::HostId, config::Endpoint> m_endpoints;
    std::map<base::ServiceName, policy::RetryBudget> m_retries;
    std::map<base::ServiceName, policy::HedgeBudget> m_hedges;
    std::map<base::RouteName, policy::SlowAnswer> m_slowAnswers;
    std::map<std::pair<base::RouteName, base::UpstreamVersion>, policy::VersionView> m_views;
    std::map<base::RouteName, policy::SplitTurns> m_splitTurns;
    std::map<base::RouteName, base::Duration> m_longestAsked; // by callers, of routes in force
    policy::Collapse m_collapse;
    std::map<uint64_t, std::unique_ptr<Active>> m_calls;
    base::LatencyHistogram m_latency;
    IngressCounts m_counts;
    uint64_t m_lastId = 0;
    uint64_t m_lastTry = 0;
};

} // namespace appletally::node
