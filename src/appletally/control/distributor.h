// Fans released snapshots and endpoint records out to the subscribers of this source.
//
// Each subscriber has one call of each kind under way at most, and is sent what fits the version that it says it has:
// a slow one gets fewer, larger steps and never a queue in this process's memory. Changes that come close together
// leave as one, after the snapshot's pace. A herd of starting subscribers is let in a few at a time; the others hear
// when to come back, so that those inside are brought up at full speed instead of all at once and none in time.
#pragma once

#include "appletally/config/endpoint_registry.h"
#include "appletally/config/model.h"
#include "appletally/inner/content.h"
#include "appletally/inner/control.capnp.h"
#include "appletally/policy/reconnect.h"

#include <kj/async-io.h>
#include <kj/time.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>

namespace appletally::control {

struct DistributorLimits {
    policy::Gate starts; // who may come when
    size_t mostSubscribers = 1000;
    bool batching = true;
};

struct DistributorCounters {
    uint64_t subscribed = 0;
    uint64_t cameBackLater = 0; // told to
    uint64_t wholeSent = 0;
    uint64_t deltasSent = 0;
    uint64_t contentBytes = 0;
    uint64_t endpointMessages = 0;
    uint64_t endpointRecords = 0;
};

class Distributor;

// A place among a distributor's subscribers, given up with the object. A call that is still under way when the process
// stops keeps its session past the distributor, so it may outlive that.
class Subscription {
public:
    Subscription() = default;
    Subscription(std::weak_ptr<Distributor*> of, uint64_t id);
    Subscription(Subscription&&) = default;
    Subscription& operator=(Subscription&&) noexcept;
    ~Subscription() { end(); }
    void end();

private:
    std::weak_ptr<Distributor*> m_of;
    uint64_t m_id = 0;
};

class Distributor : private kj::TaskSet::ErrorHandler {
public:
    // `endpoints` must outlive the distributor; endpointsChanged() says that there is news in it.
    Distributor(kj::Timer&, DistributorLimits, const config::EndpointRegistry& endpoints);

    // Overloaded sources answer ComeBackLater, those without the other control processes SourceIsolated.
    base::Result<Subscription> subscribe(const base::HostId& who, base::ConfigVersion have, config::EndpointCursor, inner::rpc::Feed::Client, bool promised);
    void unsubscribe(uint64_t subscriber); // repeats harmlessly

    // A source that has lost the other control processes still has endpoints and content, perhaps old ones. Its
    // subscribers are asked to look for a better source, and again at intervals; whoever found none and comes back at
    // the moment that it was told is let in.
    void setIsolated(bool);

    void setSources(std::vector<std::string>); // addresses of all that serve content; subscribers hear of them
    void contentReleased(std::shared_ptr<const config::Snapshot>);
    void endpointsChanged();

    const std::shared_ptr<const config::Snapshot>& content() const { return m_content; } // null: none yet
    size_t subscribers() const { return m_subscribers.size(); }
    bool isolated() const { return m_isolated; }
    nlohmann::json toJson() const;

private:
    struct Subscriber {
        base::HostId who;
        inner::rpc::Feed::Client feed;
        base::ConfigVersion have;
        config::EndpointCursor cursor; // as it confirmed
        base::ConfigVersion refused; // not sent again; the next version is another try
        bool contentBusy = false;
        bool endpointsBusy = false;
        bool starting = true; // until it confirms the content of its start
    };

    void taskFailed(kj::Exception&&) override;
    void schedule();
    void scheduleEndpoints();
    void askToLeave();
    void push(uint64_t id);
    void pushSources(Subscriber&);
    void pushContent(uint64_t id, Subscriber&);
    void pushEndpoints(uint64_t id, Subscriber&);
    void confirmed(uint64_t id, bool whole, base::ConfigVersion sent, base::ConfigVersion have);
    void settle(Subscriber&);
    const inner::EncodedVersion& piece(base::ConfigVersion from);

    kj::Timer& m_timer;
    DistributorLimits m_limits;
    DistributorCounters m_counters;
    std::map<uint64_t, Subscriber> m_subscribers;
    uint64_t m_nextId = 1;
    size_t m_starting = 0;

    std::shared_ptr<const config::Snapshot> m_content;
    std::map<base::ConfigVersion, std::shared_ptr<const config::Snapshot>> m_recent; // to make deltas from
    std::map<base::ConfigVersion, inner::EncodedVersion> m_pieces; // to m_content, by the version they start from

    // One batch of endpoints in bytes: most subscribers stand at the same change and get the same.
    struct Batch {
        config::EndpointsDelta delta; // its endpoints are in the bytes
        size_t records = 0;
        std::string bytes;
        bool compressed = false;
    };
    const Batch& batch(const config::EndpointCursor&);

    const config::EndpointRegistry& m_endpoints;
    std::map<std::tuple<uint64_t, uint64_t, uint64_t>, Batch> m_batches; // by cursor; of the registry as it is
    uint64_t m_batchesOf = 0; // its change

    std::vector<std::string> m_sources;
    bool m_isolated = false;
    bool m_looking = false; // askToLeave() comes again
    bool m_scheduled = false; // content
    bool m_endpointsScheduled = false;
    kj::TimePoint m_endpointsPushedAt = kj::origin<kj::TimePoint>();
    std::shared_ptr<Distributor*> m_self = std::make_shared<Distributor*>(this); // for subscriptions
    kj::TaskSet m_tasks; // last: its tasks use all above
};

} // namespace appletally::control
