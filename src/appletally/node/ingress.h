// Ingress: accepts HTTP requests of callers, matches them to routes, sends them to the owner of an upstream, retries them
// where that is safe, and returns complete answers.
//
// A non-idempotent request is retried only after a proven "not run". Any other failure after it was sent is reported to the
// caller as "outcome unknown".
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
#include "appletally/policy/version_stats.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

namespace appletally::node {

struct IngressCounts {
    uint64_t answered = 0; // complete answers of any status
    uint64_t refused = 0; // proven "not run"
    std::map<std::pair<base::ServiceName, base::Code>, uint64_t> refusedBy; // empty service: refused before one was chosen
    uint64_t unknown = 0; // outcome unknown, truncated or deadline passed
    uint64_t retried = 0;
    uint64_t hedged = 0;
    uint64_t shared = 0; // answered by the run of an identical read
    uint64_t callerLeft = 0; // the caller disconnected before the answer
};

// The ingress's part of the node settings.
struct IngressSettings {
    base::HostId host;
    base::ZoneName zone;
    base::ServiceName service; // of the upstream beside this node; callers' requests enter the mesh under this name
    http::ListenerLimits limits; // the configuration may override them
    Dialect dialect;
    CallFeatures features;
};

class Ingress {
public:
    Ingress(event_base*, IngressSettings, Owner&, Peers&, Claims&, SuspectRegistry&);
    ~Ingress();
    Ingress(const Ingress&) = delete;
    Ingress& operator=(const Ingress&) = delete;

    base::Result<base::Address> listen(const base::Address&);
    void apply(std::shared_ptr<const config::Snapshot>);
    void setEndpoints(const std::vector<config::Endpoint>&);
    void onLoadReported(const base::HostId&, const policy::Load&);
    void onSuspected(const base::HostId&); // sends copies of the reads that are active there elsewhere
    void setConfigurationExpected(bool); // a source of configuration answers, even if no version has been applied yet
    void open(); // configuration and upstreams are known: serves the queued early requests
    // Answers close their connections from now on, so that callers move to another node. Requests that would not end before
    // `stop` are refused.
    void drain(base::Time stop);
    void stop(); // accepts no new connections; active requests continue
    void answerPendingRequests(); // the process is about to exit: sends a final answer to every request that waits for an upstream
    bool idle() const { return m_calls.empty() && m_listener.allConnectionsClosed(); } // after stop()
    nlohmann::json toJson() const;
    void writeMetrics(base::MetricsText&) const;

private:
    struct Attempt;
    struct ActiveRequest;

    // ingress_request.cpp: from the caller to the attempts
    const config::Route* routeOf(const http::CallerRequest&) const; // null: no route matches
    size_t bodyLimit(const http::CallerRequest&) const;
    http::ListenerLimits limitsOf(const config::CallerLimits&) const;
    void reply(http::CallerExchange&, const base::Error&, bool notRun, bool stopsRetries);
    void onRequest(http::CallerExchange&);
    void serve(http::CallerExchange&, base::Time arrivedAt);
    void refuse(http::CallerExchange&, base::Code, const std::string& why, base::Duration retryAfter = {});
    ActiveRequest& begin(http::CallerExchange&, const config::Route&, uint8_t depth, base::Time arrivedAt);
    bool joinSharedRun(ActiveRequest&); // true: an identical read of this caller is active, and the request waits for its answer
    base::Duration estimateEarlierWait(const ActiveRequest&, base::Duration requestedTimeout); // time that the caller has spent on earlier sends
    void send(ActiveRequest&);
    void startAttempt(ActiveRequest&, const policy::Pick&, bool isHedge);
    std::optional<policy::Pick> pickFor(const ActiveRequest&);
    std::vector<base::HostId> blockedHosts(const ActiveRequest&) const; // their versions do not get this request
    bool isSuspect(const ActiveRequest&) const; // on any version of the service's upstreams
    std::optional<base::Error> findBlock(const ActiveRequest&) const; // set: blocked on every version
    void copyElsewhere(ActiveRequest&, const base::Error&);
    bool waitsForSilentHosts(const ActiveRequest&) const;
    void logSent(const ActiveRequest&, const Attempt&) const;
    void armHedge(ActiveRequest&);
    void onHedgeTimer(ActiveRequest&);
    void onTimer(ActiveRequest&);
    void onCallerGone(ActiveRequest&); // the caller disconnected
    void abandon(ActiveRequest&); // no caller waits for the answer any more
    ActiveRequest* find(uint64_t id);

    // ingress_answer.cpp: from the attempts to the caller
    void onHead(ActiveRequest&, Attempt&, const http::AnswerHead&);
    void onBody(ActiveRequest&, Attempt&, evbuffer*);
    void onEnd(ActiveRequest&, Attempt&, const CallEnd&);
    void onDrained(ActiveRequest&);
    void startStream(ActiveRequest&, Attempt&, evbuffer*);
    bool takeBackStream(ActiveRequest&, const base::Error&);
    void abortStream(ActiveRequest&, const base::Error&);
    void sendCredit(Attempt&);
    void sendBody(ActiveRequest&, Attempt&, uint64_t bytes); // the next part of a large request body
    void onCompleteAnswer(ActiveRequest&, Attempt&);
    void recordRefusal(ActiveRequest&, const base::Error&);
    void onNoUpstreamLeft(ActiveRequest&);
    void onFailedAttempt(ActiveRequest&, const base::Error&);
    policy::RetryDecision decideRetry(const ActiveRequest&, const base::Error&); // takes a token of the budget if it decides for a retry
    void retryAfterPause(ActiveRequest&, const base::Error&, base::Duration pause);
    void replyBuffered(ActiveRequest&, const http::AnswerHead&, const std::string& body);
    void failRequest(ActiveRequest&, const base::Error&); // sends the final answer when no upstream has answered
    void verifyNotRun(ActiveRequest&, const base::Error&);
    void onNotRunVerified(ActiveRequest&, const base::Error&, const policy::ClaimRound&);
    void answerError(ActiveRequest&, const base::Error&);
    void cancelAttempt(ActiveRequest&, Attempt&, policy::AnswerKind);
    void cancelAll(ActiveRequest&);
    std::unique_ptr<Attempt> detachAttempt(ActiveRequest&, const Attempt&);
    void recordTransit(Attempt&, const CallEnd&);
    void recordOutcome(const ActiveRequest&, const Attempt&, policy::AnswerKind, const CallEnd&);
    void removeRequest(ActiveRequest&);

    void updateVersionView(const ActiveRequest&, const Attempt&, bool failed, int64_t runMicros);
    std::optional<policy::CallerBaseline> baselineFor(const ActiveRequest&, const policy::Pick&) const;
    bool endsBeforeStop(const ActiveRequest&) const;
    void stopVersion(const ActiveRequest&, const policy::Pick&);
    void setShares(const config::Service&);

    event_base* m_loop;
    IngressSettings m_settings;
    Owner* m_owner;
    Peers* m_peers;
    Claims* m_claims;
    SuspectRegistry* m_suspectRequests;
    http::CallerListener m_listener;
    EarlyRequests m_earlyRequests; // empty once m_open is set
    std::optional<base::Time> m_stop; // of this node
    bool m_open = false; // a configuration is applied and upstreams are known
    std::shared_ptr<const config::Snapshot> m_snapshot;
    config::RouteIndex m_index; // points into m_snapshot
    std::map<base::ServiceName, policy::Router> m_routers;
    std::map<base::ServiceName, std::set<base::UpstreamVersion>> m_stopped; // versions that an owner stopped locally; kept while the rollout runs
    std::map<base::HostId, config::Endpoint> m_endpoints;
    std::map<base::ServiceName, policy::RetryBudget> m_retries;
    std::map<base::ServiceName, policy::HedgeBudget> m_hedges;
    std::map<base::RouteName, policy::LatencyEstimate> m_slowAnswers;
    std::map<std::pair<base::RouteName, base::UpstreamVersion>, policy::VersionStats> m_versionViews;
    std::map<base::RouteName, policy::SplitCredits> m_splitTurns;
    std::map<base::RouteName, base::Duration> m_longestTimeouts; // longest timeout requested by callers, for routes of the applied configuration
    policy::Collapse m_collapse;
    std::map<uint64_t, std::unique_ptr<ActiveRequest>> m_calls;
    base::LatencyHistogram m_latency;
    base::LatencyHistogram m_transitOfShort; // of answers up to maxShortAnswerBytes
    base::LatencyHistogram m_transitOfLarge;
    IngressCounts m_counts;
    uint64_t m_lastId = 0;
    uint64_t m_lastAttemptNumber = 0;
};

} // namespace appletally::node
