// Owner: the node beside an upstream, through which all calls to it pass.
//
// Since there is no other path to the upstream, slots, draining and "not run" are decided in one place, with no message
// between a decision and its effect. The owner runs the calls that admission allows, ends those past their deadline, and
// reports "not run" only if the upstream never received a byte or refused the request before it started.
#pragma once

#include "appletally/base/histogram.h"
#include "appletally/base/metrics_text.h"
#include "appletally/config/endpoint.h"
#include "appletally/config/evidence.h"
#include "appletally/config/model.h"
#include "appletally/node/call.h"
#include "appletally/node/claims.h"
#include "appletally/node/dialect.h"
#include "appletally/node/suspect_registry.h"
#include "appletally/node/upstream_notices.h"
#include "appletally/policy/admission.h"
#include "appletally/policy/cold_start.h"
#include "appletally/policy/local_version_monitor.h"

#include <event2/event.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace appletally::node {

using OwnerCallId = uint64_t;

// State reported by the upstream beside this node.
struct Announcement {
    base::ServiceName service;
    base::UpstreamVersion version;
    base::Address address;
    int slots = 1;
    config::EndpointState state = config::EndpointState::Starting;
    std::string id; // id of the upstream process; empty: none
    uint64_t startedAtMs = 0; // start of that process; distinguishes restarts under one id; 0: not known
    base::Duration slowStartRemaining = policy::slowStart; // remaining slow start after a cold start
    std::optional<base::Duration> coldRemaining; // time until its caches are warm; empty: it does not say
};

// The owner's part of the node settings.
struct OwnerSettings {
    base::HostId host;
    base::ZoneName zone;
    base::Incarnation incarnation;
    Dialect dialect;
    CallFeatures features;
    policy::AdmissionOptions admission;
    base::Duration announcementTimeout;
    uint64_t memoryBytes = 0; // that this process may use; 0: not bounded
};

struct OwnerCounts {
    uint64_t ran = 0;
    uint64_t refused = 0;
    uint64_t cancelled = 0;
    uint64_t failed = 0;
    uint64_t upstreamEnds = 0; // under runs
    uint64_t unreadableLimits = 0;
    uint64_t unreadableLeavings = 0;
};

class Owner {
public:
    // Both are called from the loop. `changed`: the endpoint record must be announced again. `load` notifies the ingress
    // nodes immediately, since they must not learn late that the upstream drains.
    struct Events {
        std::function<void()> changed;
        std::function<void(const policy::Load&)> load;
    };

    Owner(event_base*, OwnerSettings, Claims&, SuspectRegistry&, Events);
    ~Owner();
    Owner(const Owner&) = delete;
    Owner& operator=(const Owner&) = delete;

    OwnerCallId start(Call, CallHandler);
    // The caller disconnected. A non-idempotent run continues, since stopping it part-way has no benefit; its answer is dropped.
    void cancel(OwnerCallId);
    void consumed(OwnerCallId, uint64_t bytes);
    void readOn(); // CallHandler::isFull is false again
    bool appendBody(OwnerCallId, std::string_view); // part of a large request body; false: more than was requested

    void announce(const Announcement&);
    void onUpstreamLeft(); // the upstream deregistered: it gets no new calls; running ones continue
    void apply(std::shared_ptr<const config::Snapshot>);
    void stopBy(base::Time); // this node stops then: calls that would not end before are refused
    void drain(); // this node stops: handled as if the upstream drained
    bool idle() const { return m_calls.empty(); }

    const std::optional<Announcement>& upstream() const { return m_upstream; }
    config::EndpointState state() const;
    policy::Load currentLoad() const;
    std::vector<config::Evidence> takeEvidence(); // that has changed since the last call
    nlohmann::json toJson() const;
    void writeMetrics(base::MetricsText&) const;

private:
    struct ActiveCall;
    void admit(ActiveCall&);
    bool holdSuspect(ActiveCall&); // true: it waits for the run of another suspect, or was refused
    void admitHeld();
    std::optional<base::Error> findBlock(const ActiveCall&) const;
    std::optional<base::Error> findStop(const Call&) const; // set: this node stops before the call would end
    void run(ActiveCall&); // it holds a slot
    void claim(ActiveCall&); // before any byte of a keyed, non-idempotent request is sent to the upstream
    void onClaimDecided(OwnerCallId, const policy::ClaimRound&);
    void replayRecorded(ActiveCall&, const policy::ClaimOutcome&);
    void releaseAndRefuse(ActiveCall&, base::Error); // the call has not run
    void send(ActiveCall&); // to the upstream
    void endClaim(ActiveCall&, const std::optional<base::Error>&);
    void applyFollowup(const policy::AdmissionChanges&);
    void onHead(ActiveCall&, const http::AnswerHead&);
    void onNotices(const UpstreamNotices&, bool mayLift);
    void setLimit(std::optional<double> perSecond);
    bool isEvacuated() const; // the host's availability zone
    const config::Service* upstreamService() const; // null: no upstream, or not in the configuration
    void onRestartSuspected(); // a sign that the upstream is another process than before
    void noteStrayBytes();
    void updateRate(); // after any change of what bounds it, and as time passes
    void onLeaving(); // the upstream said in an answer that it takes no new requests
    bool isLeaving(const Announcement&) const;
    void logUnreadable(const UpstreamNotices&);
    void onBody(ActiveCall&, evbuffer*);
    void discardBody(ActiveCall&, evbuffer*);
    void onEnd(ActiveCall&, const http::AnswerEnd&);
    void onRunLost(ActiveCall&, const base::Error&); // the connection closed before the answer was complete
    void finishLostCalls();
    void expireLostRuns();
    void onUpstreamEnded(const std::string& sign); // under the runs that were lost last, if there are any
    void forgetLostRunsBefore(const ActiveCall& answered);
    bool mayRunHere(const ActiveCall&) const; // once admitted
    void cancelUpstream(ActiveCall&); // closes the connection of its run, if it has one
    void endRun(ActiveCall&, policy::RunEnd, base::Error);
    void failRun(ActiveCall&, base::Error); // ends a run whose answer is broken or can no longer arrive in time
    void onTick();
    void setTick(bool busy); // short interval while there are calls, long otherwise
    void refuse(ActiveCall&, base::Error);
    void finish(ActiveCall&, std::optional<base::Error>);
    void logQueued(const ActiveCall&) const;
    void logEnd(const ActiveCall&, const std::optional<base::Error>&) const;
    void logCancelled(const ActiveCall&) const;
    void record(const ActiveCall&, policy::RunEnd);
    policy::LocalVersionMonitor* localDecision(); // on the upstream's version; null without an upstream
    bool isSameProcess(const Announcement&) const; // as the one that m_client connects to
    void replaceClient(const Announcement& next); // ends all runs of the previous upstream process; admission stays suspended
    void removeUpstream(const std::string& why);
    void refuseQueued(const base::Error&); // calls that wait for a slot
    http::UpstreamRequest requestFor(ActiveCall&, base::Duration left) const;
    ActiveCall* find(OwnerCallId);
    std::optional<base::Error> findRefusal(const Call&) const;

    event_base* m_loop;
    OwnerSettings m_settings;
    Claims* m_claims;
    SuspectRegistry* m_suspectRequests;
    Events m_events;
    event* m_tick = nullptr;
    std::shared_ptr<const config::Snapshot> m_snapshot;
    std::optional<Announcement> m_upstream;
    std::optional<Announcement> m_process; // the last announcement, also after its upstream was removed: m_client connects to it
    base::Time m_announcedAt;
    std::optional<base::Time> m_drainingSince; // of the upstream
    std::unique_ptr<http::UpstreamClient> m_client;
    policy::Admission m_admission;
    std::map<OwnerCallId, std::unique_ptr<ActiveCall>> m_calls;
    std::map<base::UpstreamVersion, policy::LocalVersionMonitor> m_localDecisions; // of each version that has run here
    std::map<std::pair<base::RouteName, base::UpstreamVersion>, uint64_t> m_reportedAnswers; // number of answers at the last report
    base::LatencyHistogram m_runTime;
    std::optional<double> m_limit; // requests a second that the upstream named
    policy::ColdStart m_coldStart;
    bool m_cold = false; // counts as cold, and its service names a rate for that
    std::optional<base::Time> m_rateUntil; // empty: the end is not known
    std::optional<double> m_rate; // in force in m_admission: the limit, or less while the upstream is cold
    bool m_leaving = false; // the upstream said so in an answer; a late announcement does not take it back
    std::optional<std::pair<std::string, uint64_t>> m_leavingProcess; // id and start of the last one that said so, if it has an id
    struct LostRun {
        policy::RunAtEnd run;
        base::Time at;
    };
    std::vector<LostRun> m_lostRuns; // of which it is not known whether the upstream ended under them
    std::vector<OwnerCallId> m_heldSuspects; // in the order of their arrival; may have ended
    std::map<OwnerCallId, config::RequestOnVersion> m_runningSuspects; // admitted while suspected
    std::optional<base::Time> m_checkStartedAt; // set: a connection shows whether the upstream still listens
    std::optional<base::Time> m_unreadableLoggedAt;
    OwnerCounts m_counts;
    OwnerCallId m_lastId = 0;
    bool m_draining = false;
    std::optional<base::Time> m_stop; // of this node
    bool m_connectionsUsedOnce = false; // as logged last
    bool m_tickBusy = true;
};

} // namespace appletally::node
