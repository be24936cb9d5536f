// Sends released snapshots and endpoint records to the subscribers of this source.
//
// Each subscriber has at most one call of each kind in flight, and receives a delta from the version that it reports:
// a slow subscriber gets fewer, larger deltas and never a queue in this process's memory. Changes within the snapshot's
// batching interval are sent together. Load pattern: many subscribers start at once. A limited number is admitted per
// second and the others are told when to retry; without it all would be served at once and none in time.
#pragma once

#include "appletally/config/endpoint_registry.h"
#include "appletally/config/model.h"
#include "appletally/inner/content.h"
#include "appletally/inner/control.capnp.h"
#include "appletally/inner/rpc_wire.h"
#include "appletally/policy/reconnect.h"
#include "appletally/policy/source_balance.h"

#include <kj/async-io.h>
#include <kj/time.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>

namespace appletally::control {

struct DistributorLimits {
    policy::ReconnectGate starts; // admission of starting subscribers
    size_t maxSubscribers = 1000;
    bool batching = true;
};

struct DistributorCounters {
    uint64_t subscribed = 0;
    uint64_t rejectedSubscriptions = 0; // with a time to retry after
    uint64_t snapshotsSent = 0;
    uint64_t deltasSent = 0;
    uint64_t contentBytes = 0;
    uint64_t endpointMessages = 0;
    uint64_t endpointRecords = 0;
    uint64_t endpointBytes = 0;
    uint64_t handovers = 0; // subscribers that were asked to move to another source
};

enum class EndpointUrgency : uint8_t {
    Batched,
    Suspects, // suspect requests have changed: sent without the usual wait
};

class Distributor;

// Registration of one subscriber; destroying it unsubscribes. It may outlive the distributor, because a call that is
// still in flight when the process stops keeps its session alive.
class Subscription {
public:
    Subscription() = default;
    Subscription(std::weak_ptr<Distributor*> distributor, uint64_t id);
    Subscription(Subscription&&) = default;
    Subscription& operator=(Subscription&&) noexcept;
    ~Subscription() { end(); }
    void end();

private:
    std::weak_ptr<Distributor*> m_distributor;
    uint64_t m_id = 0;
};

class Distributor : private kj::TaskSet::ErrorHandler {
public:
    // `endpoints` must outlive the distributor; call endpointsChanged() after each change to it.
    Distributor(kj::Timer&, DistributorLimits, const config::EndpointRegistry& endpoints);

    // Errors: RetryLater if the source is overloaded, SourceIsolated if it cannot reach the other control processes.
    base::Result<Subscription> subscribe(const base::HostId& host, base::ConfigVersion have, config::EndpointCursor, inner::rpc::Feed::Client, bool promised);
    void unsubscribe(uint64_t subscriber); // idempotent

    // A source that cannot reach the other control processes still has endpoints and content, which may be outdated. It
    // requests its subscribers to switch to another source, and repeats this at intervals. A subscriber that found none
    // and reconnects at its assigned time is admitted.
    void setIsolated(bool);

    std::vector<policy::SubscriberPlace> movableSubscribers() const; // those that are not starting or moving
    void handOver(uint64_t subscriber, const base::Address& to); // asks it to switch to that source

    void setSources(std::vector<std::string>); // addresses of all sources, sent to the subscribers
    void contentReleased(std::shared_ptr<const config::Snapshot>);
    void endpointsChanged(EndpointUrgency = EndpointUrgency::Batched);

    const std::shared_ptr<const config::Snapshot>& content() const { return m_content; } // null: none yet
    size_t subscribers() const { return m_subscribers.size(); }
    size_t lastingSubscribers() const { return m_subscribers.size() - m_movingCount; } // without those that are moving away
    bool full() const { return m_subscribers.size() >= m_limits.maxSubscribers; }
    const DistributorCounters& counters() const { return m_counters; }
    bool isolated() const { return m_isolated; }
    nlohmann::json toJson() const;

private:
    struct Subscriber {
        base::HostId host;
        inner::rpc::Feed::Client feed;
        base::ConfigVersion have;
        config::EndpointCursor cursor; // as confirmed by the subscriber
        base::ConfigVersion refused; // rejected by the subscriber, not sent again; later versions are
        bool contentBusy = false;
        bool endpointsBusy = false;
        bool starting = true; // until it confirms its first content
        bool moving = false; // was asked to switch to another source
    };

    void taskFailed(kj::Exception&&) override;
    void scheduleContent();
    void scheduleEndpoints(base::Duration interval); // since the last push, at least
    void requestSourceSwitch();
    void pushAll(uint64_t id);
    void pushSources(Subscriber&);
    void pushContent(uint64_t id, Subscriber&);
    void pushEndpoints(uint64_t id, Subscriber&);
    void onContentConfirmed(uint64_t id, bool isSnapshot, base::ConfigVersion sent, base::ConfigVersion have);
    void finishStart(Subscriber&);
    const inner::EncodedVersion& contentPiece(base::ConfigVersion from);

    kj::Timer& m_timer;
    DistributorLimits m_limits;
    DistributorCounters m_counters;
    std::map<uint64_t, Subscriber> m_subscribers;
    uint64_t m_nextId = 1;
    size_t m_startingCount = 0;
    size_t m_movingCount = 0;

    std::shared_ptr<const config::Snapshot> m_content;
    std::map<base::ConfigVersion, std::shared_ptr<const config::Snapshot>> m_recentContent; // base versions for deltas
    std::map<base::ConfigVersion, inner::EncodedVersion> m_contentPieces; // messages that lead to m_content, by base version

    // One encoded batch of endpoints. Most subscribers have the same cursor and share it.
    struct EndpointBatch {
        config::EndpointsDelta delta; // without its endpoints, which are encoded in `bytes`
        std::vector<inner::HostSuspects> suspects; // of these endpoints
        std::vector<inner::HostLeaving> leaving;
        size_t records = 0;
        std::string bytes;
        bool compressed = false;
    };
    const EndpointBatch& batch(const config::EndpointCursor&);

    const config::EndpointRegistry& m_endpoints;
    std::map<std::tuple<uint64_t, uint64_t, uint64_t>, EndpointBatch> m_batches; // by cursor; valid for m_batchesChange
    uint64_t m_suspectsChange = 0; // last change of the registry that a batching interval must not delay
    uint64_t m_batchesChange = 0; // change number of the registry that m_batches was made from

    std::vector<std::string> m_sources;
    bool m_isolated = false;
    bool m_switchRequestScheduled = false; // requestSourceSwitch() is scheduled
    bool m_scheduled = false; // a content push
    std::optional<kj::TimePoint> m_endpointsPushAt; // time of the next push of endpoints; empty: none is scheduled
    kj::TimePoint m_endpointsPushedAt = kj::origin<kj::TimePoint>();
    std::shared_ptr<Distributor*> m_self = std::make_shared<Distributor*>(this); // expires with the distributor; held weakly by subscriptions
    kj::TaskSet m_tasks; // last member: its tasks use all others
};

} // namespace appletally::control
