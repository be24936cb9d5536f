// The client side of distribution, within one KJ loop: keeps one link to one of the sources, receives snapshots, deltas and
// endpoints from it, and sends it the reports of this process. Nodes and relays use it; a benchmark runs hundreds per loop.
//
// Failures that it handles: the source dies (another one is tried, at a random time, so that many clients do not reconnect
// at once); the source is full (it returns when to retry); the link goes silent (the connection ends itself); a delta does
// not match the version that is held (rejected; the reply reports the version held, and the source sends what matches).
//
// A process that starts does not know which version it had applied, and its whole rack may have restarted with it. Nothing
// is published until the source has confirmed the minimum version with a majority of the voters.
#pragma once

#include "appletally/config/applied.h"
#include "appletally/config/endpoint_mirror.h"
#include "appletally/inner/rpc_link.h"
#include "appletally/inner/rpc_wire.h"
#include "appletally/policy/source_race.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>

namespace appletally::inner {

struct SourceClientSettings {
    Membership membership;
    std::vector<base::Address> sources;
    rpc::Role role = rpc::Role::NODE;
};

// Called within the KJ loop. They must not destroy the client.
struct SourceClientHooks {
    std::function<void(std::shared_ptr<const config::Snapshot>)> released; // at least the confirmed minimum version, and higher than any before
    std::function<void(std::vector<config::Endpoint>)> endpoints;
    std::function<void(bool)> reachable;
    std::function<void()> endpointListRead; // once: a source's list of endpoints was received to its end; may be empty
    std::function<void(const config::Endpoint&)> leavingHeld; // the source holds this announced record, whose `leaving` is set
};

struct SourceClientCounters {
    uint64_t connects = 0; // connection attempts
    uint64_t links = 0; // authenticated and subscribed
    uint64_t retryLaterResponses = 0; // subscriptions rejected with a time to retry
    uint64_t moves = 0; // to another source at the request of the previous one
    uint64_t snapshots = 0; // full snapshots received
    uint64_t deltas = 0;
    uint64_t mismatches = 0; // deltas that did not match the version held
    uint64_t rejectedVersions = 0; // failed validation, or not newer than the version held
    uint64_t endpointMismatches = 0; // batches that did not match the cursor
    uint64_t bytesIn = 0; // of closed links
    uint64_t bytesOut = 0;
};

class SourceClient : public kj::TaskSet::ErrorHandler {
public:
    SourceClient(kj::AsyncIoContext&, SourceClientSettings, SourceClientHooks);
    ~SourceClient();

    void addSources(const std::vector<base::Address>&); // adds to the known sources; none is ever removed

    // Each replaces the previous report on the same host or counter. Reports are sent in batches, and all again on each new link.
    void announce(const config::Endpoint&);
    void setAppliedVersion(base::ConfigVersion);
    void reportEvidence(const std::vector<config::Evidence>&);

    // Reports the endpoints as Gone and waits for the reply, at most `timeout`.
    kj::Promise<void> leave(base::Duration timeout);

    const config::AppliedConfig& applied() const { return m_applied; }
    nlohmann::json toJson() const;
    SourceClientCounters counters() const; // including the bytes of the open link
    RpcLink* link() { return m_link.get(); } // null: not connected

private:
    class FeedServer;
    using EvidenceKey = std::tuple<base::Incarnation, base::ServiceName, base::RouteName, base::UpstreamVersion>;

    void taskFailed(kj::Exception&&) override;
    kj::Promise<void> run(); // endless loop: connect, use the link until it ends, wait
    kj::Promise<void> race(); // connection attempts until m_connectedStream is set
    kj::Promise<void> connectTo(size_t source);
    void wakeRace();
    void sourceFailed(size_t source, std::optional<policy::SourceRejection> refusal);
    kj::Promise<base::Error> runLink();
    kj::Promise<void> subscribe();
    kj::Promise<void> fetchMinimumVersion();
    kj::Promise<void> renewPeriodically();
    void handleLinkDown(const base::Error&);
    void moveTo(const base::Address&);
    base::ConfigVersion receiveContent(rpc::Content::Reader);
    void publishApplied(bool changed);
    void dropEndedEvidence();
    void receiveEndpoints(rpc::EndpointsDelta::Reader);
    void notifyEndpoints(const std::vector<config::Endpoint>&);
    void sendReport();
    void notifyLeavingHeld(const std::vector<EndpointHeartbeat>& reported);
    NodeReport takePendingReport();
    void setReachable(bool);

    kj::AsyncIoContext& m_io;
    kj::Timer& m_timer;
    SourceClientSettings m_settings;
    SourceClientHooks m_hooks;
    SourceClientCounters m_counters;
    std::vector<base::Address> m_sources;
    policy::SourceRace m_race; // one entry for each of m_sources
    kj::Own<kj::TaskSet> m_attempts;
    kj::Own<kj::PromiseFulfiller<void>> m_raceWaker; // wakes the race when an attempt ends or a source is added
    kj::Own<kj::AsyncIoStream> m_connectedStream; // the connection that won the race; null: none
    size_t m_currentSource = 0; // index into m_sources

    // The source that follows when the current link ends, already connected. Null: none.
    kj::Own<kj::AsyncIoStream> m_successorStream;
    size_t m_successor = 0; // index into m_sources
    bool m_moving = false; // connecting to a successor

    uint64_t m_consecutiveFailures = 0; // over all sources
    bool m_reachable = false;
    std::optional<policy::SourceRejection> m_refusal; // of the current source

    config::AppliedConfig m_applied; // versions held and applied; never decreases, whatever sources send

    config::EndpointMirror m_mirror;
    base::Time m_linkedSince;

    // Reports. All are kept, so that a new source receives them in full.
    std::map<base::HostId, EndpointHeartbeat> m_endpoints;
    std::optional<NodeAppliedVersion> m_appliedVersion;
    base::Time m_appliedSince;
    base::WallTime m_startTime; // serves as the incarnation of this process
    std::map<EvidenceKey, config::Evidence> m_evidence;
    bool m_endpointsDirty = false;
    bool m_endpointListRead = false;
    bool m_appliedVersionDirty = false;
    std::map<EvidenceKey, bool> m_evidenceDirty;
    bool m_reporting = false; // at most one report in flight
    bool m_reportUrgent = false; // suspect requests have changed: the next report does not wait for others

    kj::Own<RpcLink> m_link;
    uint64_t m_generation = 0; // incremented per link; calls of an older one have no effect
    bool m_subscribed = false;
    kj::Own<kj::PromiseFulfiller<base::Error>> m_linkEnder; // ends the current link
    kj::Own<kj::TaskSet> m_linkTasks; // of the current link
    kj::Promise<void> m_running = nullptr;
};

} // namespace appletally::inner
