// The owner's side: the node beside an upstream is the only door to it.
//
// Because every call to the upstream passes here, slots, draining and "not run" are decided in one place with no
// message on the way between the decision and its effect. It runs what admission lets run, gives up what is past its
// deadline, and says "not run" only where the upstream never got a byte or itself refused before it started.
#pragma once

#include "appletally/base/histogram.h"
#include "appletally/base/metrics_text.h"
#include "appletally/config/endpoint.h"
#include "appletally/config/evidence.h"
#include "appletally/config/model.h"
#include "appletally/node/call.h"
#include "appletally/node/claims.h"
#include "appletally/node/dialect.h"
#include "appletally/policy/admission.h"
#include "appletally/policy/local_verdict.h"

#include <event2/event.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace appletally::node {

using OwnerCallId = uint64_t;

// What the upstream beside this node says about itself.
struct Announcement {
    base::ServiceName service;
    base::UpstreamVersion version;
    base::Address address;
    int slots = 1;
    config::EndpointState state = config::EndpointState::Starting;
    std::string id; // its own name for this start; empty: none
    base::Duration slowStartRemaining = policy::slowStart; // of a fresh start: how much longer it is slow
};

// What the settings say of the owner's side.
struct OwnerSettings {
    base::HostId host;
    base::Incarnation incarnation;
    Dialect dialect;
    CallFeatures features;
    policy::AdmissionParts admission;
    base::Duration announcementTimeout;
};

struct OwnerCounts {
    uint64_t ran = 0;
    uint64_t refused = 0;
    uint64_t cancelled = 0;
    uint64_t failed = 0;
};

class Owner {
public:
    // Both are called from the loop. `changed`: the endpoint record must be announced anew. `load` tells callers' nodes
    // at once what they must not learn late: that the upstream drains.
    struct Events {
        std::function<void()> changed;
        std::function<void(const policy::Load&)> load;
    };

    Owner(event_base*, OwnerSettings, Claims&, Events);
    ~Owner();
    Owner(const Owner&) = delete;
    Owner& operator=(const Owner&) = delete;

    OwnerCallId start(Call, CallHandler);
    // The caller went away. A non-idempotent run goes on, since stopping it half-way helps nobody; its answer is dropped.
    void cancel(OwnerCallId);
    void consumed(OwnerCallId, uint64_t bytes);

    void announce(const Announcement&);
    void upstreamLeft(); // it said so: nothing more goes there, what runs there ends by itself
    void apply(std::shared_ptr<const config::Snapshot>);
    void drain(); // of this node: as if the upstream left
    bool idle() const { return m_calls.empty(); }

    const std::optional<Announcement>& upstream() const { return m_upstream; }
    config::EndpointState state() const;
    policy::Load currentLoad() const;
    std::vector<config::Evidence> takeEvidence(); // that has grown since the last time
    nlohmann::json toJson() const;
    void writeMetrics(base::MetricsText&) const;

private:
    struct Running;
    void admit(Running&);
    void run(Running&); // it has a slot
    void claim(Running&); // before the upstream gets a byte of a keyed, non-idempotent request
    void onClaimDecided(OwnerCallId, const policy::ClaimRound&);
    void giveRecorded(Running&, const policy::ClaimOutcome&);
    void leaveSlot(Running&, base::Error); // without having run
    void send(Running&); // to the upstream
    void endClaim(Running&, const std::optional<base::Error>&);
    void follow(const policy::Followup&);
    void onHead(Running&, const http::AnswerHead&);
    void onBody(Running&, evbuffer*);
    void onEnd(Running&, const http::AnswerEnd&);
    void giveUp(Running&, base::Error); // a run whose answer nobody can wait for any longer
    void onTick();
    void setTick(bool busy); // often while calls are here, seldom otherwise
    void refuse(Running&, base::Error);
    void finish(Running&, std::optional<base::Error>);
    void logQueued(const Running&) const;
    void logEnd(const Running&, const std::optional<base::Error>&) const;
    void logCancelled(const Running&) const;
    void record(const Running&, policy::RunEnd);
    policy::LocalVerdict* verdict(); // on the upstream's version; none without an upstream
    void loseUpstream(const std::string& why);
    void refuseWaiting(const base::Error&); // whatever has not begun at the upstream
    http::UpstreamRequest requestFor(Running&, base::Duration left) const;
    Running* find(OwnerCallId);
    std::optional<base::Error> whyNot(const Call&) const;

    event_base* m_loop;
    OwnerSettings m_settings;
    Claims* m_claims;
    Events m_events;
    event* m_tick = nullptr;
    std::shared_ptr<const config::Snapshot> m_snapshot;
    std::optional<Announcement> m_upstream;
    base::Time m_announcedAt;
    std::optional<base::Time> m_drainingSince; // of the upstream
    std::unique_ptr<http::UpstreamClient> m_client;
    policy::Admission m_admission;
    std::map<OwnerCallId, std::unique_ptr<Running>> m_calls;
    std::map<base::UpstreamVersion, policy::LocalVerdict> m_verdicts; // of each version that stood here
    std::map<std::pair<base::RouteName, base::UpstreamVersion>, uint64_t> m_reported; // answers at the last report
    base::LatencyHistogram m_runTime;
    OwnerCounts m_counts;
    OwnerCallId m_lastId = 0;
    bool m_draining = false;
    bool m_tickBusy = true;
};

} // namespace appletally::node
