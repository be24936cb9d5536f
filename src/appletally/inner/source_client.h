// The taking side of distribution, within one KJ loop: keeps one link to one of the sources, takes snapshots, deltas and
// endpoints from it, and brings it what this process reports. Nodes and relays use it; a bench runs hundreds in a loop.
//
// What goes wrong around it and shows here: the source dies (the next one is tried, at a random moment, so that a herd
// of clients spreads), it is full (it says when to come back), the link goes silent (the connection ends itself), a
// delta does not fit what is held (refused; the answer tells the source what is held and it sends what fits).
//
// A process that starts has forgotten which version it had, and so may its whole rack. Nothing is handed on before the
// source has proved, by asking a majority of the voters, the least version to start with.
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

// Called within the loop; they must not destroy the client.
struct SourceClientHooks {
    std::function<void(std::shared_ptr<const config::Snapshot>)> released; // proven and higher than any before
    std::function<void(std::vector<config::Endpoint>)> endpoints;
    std::function<void(bool)> reachable;
};

struct SourceClientCounters {
    uint64_t connects = 0; // tries
    uint64_t links = 0; // proven and subscribed
    uint64_t retryLaterResponses = 0; // told to
    uint64_t snapshots = 0; // whole ones taken
    uint64_t deltas = 0;
    uint64_t mismatches = 0; // deltas that did not fit
    uint64_t refused = 0; // versions that failed their check, or older ones
    uint64_t endpointMismatches = 0; // batches that did not fit
    uint64_t bytesIn = 0; // of past links
    uint64_t bytesOut = 0;
};

class SourceClient : public kj::TaskSet::ErrorHandler {
public:
    SourceClient(kj::AsyncIoContext&, SourceClientSettings, SourceClientHooks);
    ~SourceClient();

    void addSources(const std::vector<base::Address>&); // beside those known; none is ever forgotten

    // Each replaces what was said of the same host or counter before; sent batched, and again after each new link.
    void announce(const config::Endpoint&);
    void setAppliedVersion(base::ConfigVersion);
    void reportEvidence(const std::vector<config::Evidence>&);

    // Says Gone and waits for the answer, at most `bound`.
    kj::Promise<void> leave(base::Duration bound);

    const config::Applied& applied() const { return m_applied; }
    nlohmann::json toJson() const;
    SourceClientCounters counters() const; // with the bytes of the open link
    RpcLink* link() { return m_link.get(); } // null: none now

private:
    class FeedServer;
    using EvidenceKey = std::tuple<base::Incarnation, base::ServiceName, base::RouteName, base::UpstreamVersion>;

    void taskFailed(kj::Exception&&) override;
    kj::Promise<void> run(); // for ever: connect, use, wait
    kj::Promise<void> race(); // until m_connected is set
    kj::Promise<void> attempt(size_t source);
    void wakeRace();
    void sourceFailed(size_t source, std::optional<policy::SourceRefusal> told);
    kj::Promise<base::Error> use();
    kj::Promise<void> subscribe();
    kj::Promise<void> proveBoot();
    kj::Promise<void> renewals();
    void linkLost(const base::Error&);
    base::ConfigVersion take(rpc::Content::Reader);
    void offer(bool isNew);
    void dropOldEvidence();
    void takeEndpoints(rpc::EndpointsDelta::Reader);
    void tellEndpoints(const std::vector<config::Endpoint>&);
    void sendReport();
    NodeReport dirtyReport();
    void setReachable(bool);

    kj::AsyncIoContext& m_io;
    kj::Timer& m_timer;
    SourceClientSettings m_settings;
    SourceClientHooks m_hooks;
    SourceClientCounters m_counters;
    std::vector<base::Address> m_sources;
    policy::SourceRace m_race; // one entry for each of m_sources
    kj::Own<kj::TaskSet> m_tries;
    kj::Own<kj::PromiseFulfiller<void>> m_wake; // of the race, when a try ends or a source is named
    kj::Own<kj::AsyncIoStream> m_connected; // won the race; null: none
    size_t m_current = 0; // of m_sources, in use
    uint64_t m_failures = 0; // in a row, over all sources
    bool m_reachable = false;
    std::optional<policy::SourceRefusal> m_refusal; // of the current source

    config::Applied m_applied; // what is held and what is in force; never falls, whatever sources say

    config::EndpointMirror m_mirror;
    base::Time m_linkedSince;

    // Reports. Kept whole, so that a new source learns all of it.
    std::map<base::HostId, EndpointHeartbeat> m_endpoints;
    std::optional<NodeAppliedVersion> m_inForce;
    base::Time m_inForceSince;
    base::WallTime m_started; // stands for this process's incarnation
    std::map<EvidenceKey, config::Evidence> m_evidence;
    bool m_endpointsDirty = false;
    bool m_inForceDirty = false;
    std::map<EvidenceKey, bool> m_evidenceDirty;
    bool m_reporting = false; // one report at a time

    kj::Own<RpcLink> m_link;
    uint64_t m_generation = 0; // of links; calls that belong to an older one change nothing
    bool m_subscribed = false;
    kj::Own<kj::PromiseFulfiller<base::Error>> m_refused; // ends the current link
    kj::Own<kj::TaskSet> m_linkTasks; // of the current link
    kj::Promise<void> m_running = nullptr;
};

} // namespace appletally::inner
