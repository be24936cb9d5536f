// Distribution to subscribers; see the header.
#include "appletally/control/distributor.h"

#include "appletally/base/log.h"
#include "appletally/config/codec.h"
#include "appletally/inner/cluster_key.h"
#include "appletally/inner/rpc_wire.h"

#include <algorithm>

namespace appletally::control {

namespace {

    // A node that is further behind gets a whole snapshot, which is then smaller than the delta.
    constexpr size_t maxKeptVersions = 32;

    // A full source stays full until subscribers leave; the client tries other sources meanwhile.
    constexpr base::Duration fullRetryAfter { 5000 };

    // Long enough to try every other source, and short for a mesh in which all sources are isolated.
    constexpr base::Duration isolatedRetryAfter { 300 };

    // Subscribers that found no better source are requested to search again at this interval, since one may have become
    // reachable. Each search costs a reconnect.
    constexpr base::Duration switchRequestInterval { 5'000 };

    // Longer than a connect over a congested link.
    constexpr base::Duration handoverTimeout { 3000 };

    // The first change after an idle period is sent at once; further ones are batched for this time. A draining or broken
    // upstream is noticed at once from its own answers; through control it only has to be known well within two seconds,
    // and larger batches compress better.
    constexpr base::Duration endpointBatchInterval { 100 };

    // A caller returns to another node within some milliseconds, and each run of a request that ends upstreams costs one.
    constexpr base::Duration suspectBatchInterval { 10 };

    // Subscribers have few different cursors at a time; all that start have the same one.
    constexpr size_t maxKeptBatches = 64;

    // Smaller payloads do not shrink in a zstd frame.
    constexpr size_t minBytesToCompress = 256;

    // At about 120 bytes per record a message stays far below the size limit.
    constexpr size_t maxRecordsPerMessage = 2000;

} // namespace

Subscription::Subscription(std::weak_ptr<Distributor*> distributor, uint64_t id)
    : m_distributor(std::move(distributor))
    , m_id(id)
{
}

Subscription& Subscription::operator=(Subscription&& other) noexcept
{
    end();
    m_distributor = std::move(other.m_distributor);
    m_id = other.m_id;
    return *this;
}

void Subscription::end()
{
    if (const auto distributor = m_distributor.lock())
        (*distributor)->unsubscribe(m_id);
    m_distributor.reset();
}

Distributor::Distributor(kj::Timer& timer, DistributorLimits limits, const config::EndpointRegistry& endpoints)
    : m_timer(timer)
    , m_limits(limits)
    , m_endpoints(endpoints)
    , m_tasks(*this)
{
}

void Distributor::taskFailed(kj::Exception&& problem)
{
    if (problem.getType() != kj::Exception::Type::DISCONNECTED)
        base::logEvent(base::Event::LinkDown, std::string("sending to a subscriber failed: ") + problem.getDescription().cStr());
}

// --- Subscribers ---

base::Result<Subscription> Distributor::subscribe(const base::HostId& host, base::ConfigVersion have, config::EndpointCursor cursor, inner::rpc::Feed::Client feed, bool promised)
{
    if (m_subscribers.size() >= m_limits.maxSubscribers) {
        ++m_counters.rejectedSubscriptions;
        return base::fail(base::Code::RetryLater, "this source has its maximum number of subscribers", fullRetryAfter);
    }
    if (m_isolated && !promised) {
        ++m_counters.rejectedSubscriptions;
        return base::fail(base::Code::SourceIsolated, "this source cannot reach the other control processes", isolatedRetryAfter);
    }
    const policy::ReconnectDecision entry = policy::admitReconnect(m_limits.starts, promised, base::steadyNow(), inner::randomNumber());
    if (!entry.admitted) {
        ++m_counters.rejectedSubscriptions;
        return base::fail(base::Code::RetryLater, "more subscribers are starting than this source admits at a time", entry.retryAfter);
    }
    ++m_counters.subscribed;
    ++m_startingCount;
    const uint64_t id = m_nextId++;
    m_subscribers.emplace(id, Subscriber { host, std::move(feed), have, cursor, {} });
    m_tasks.add(kj::evalLater([this, id] { pushAll(id); })); // after the answer to subscribe
    return Subscription { m_self, id };
}

void Distributor::unsubscribe(uint64_t id)
{
    auto it = m_subscribers.find(id);
    if (it == m_subscribers.end())
        return;
    finishStart(it->second);
    m_movingCount -= it->second.moving;
    m_subscribers.erase(it);
}

void Distributor::finishStart(Subscriber& it)
{
    if (std::exchange(it.starting, false))
        --m_startingCount;
}

void Distributor::setIsolated(bool isolated)
{
    if (std::exchange(m_isolated, isolated) == isolated || !isolated)
        return;
    base::logEvent(base::Event::LinkDown, "most other control processes are unreachable; subscribers are requested to switch to another source");
    if (!std::exchange(m_switchRequestScheduled, true))
        requestSourceSwitch();
}

void Distributor::requestSourceSwitch()
{
    m_switchRequestScheduled = m_isolated;
    if (!m_isolated)
        return;
    for (auto& [id, it] : m_subscribers) {
        auto request = it.feed.leaveRequest();
        request.setComeBackMs(static_cast<uint32_t>(isolatedRetryAfter.ms));
        m_tasks.add(request.send().ignoreResult());
    }
    m_tasks.add(m_timer.afterDelay(switchRequestInterval.ms * kj::MILLISECONDS).then([this] { requestSourceSwitch(); }));
}

std::vector<policy::SubscriberPlace> Distributor::movableSubscribers() const
{
    std::vector<policy::SubscriberPlace> out;
    for (const auto& [id, it] : m_subscribers) {
        if (it.starting || it.moving)
            continue;
        const auto known = m_endpoints.entries.find(it.host);
        out.push_back({ id, known == m_endpoints.entries.end() ? base::ZoneName {} : known->second.endpoint.zone });
    }
    return out;
}

void Distributor::handOver(uint64_t subscriber, const base::Address& to)
{
    const auto found = m_subscribers.find(subscriber);
    if (found == m_subscribers.end() || std::exchange(found->second.moving, true))
        return;
    ++m_movingCount;
    ++m_counters.handovers;
    auto request = found->second.feed.moveToRequest();
    request.setAddress(to.text());
    m_tasks.add(request.send().ignoreResult());
    // It is still here if the other source could not be reached, or rejected it.
    m_tasks.add(m_timer.afterDelay(handoverTimeout.ms * kj::MILLISECONDS).then([this, subscriber] {
        const auto it = m_subscribers.find(subscriber);
        if (it != m_subscribers.end() && std::exchange(it->second.moving, false))
            --m_movingCount;
    }));
}

void Distributor::setSources(std::vector<std::string> sources)
{
    if (sources == m_sources)
        return;
    m_sources = std::move(sources);
    for (auto& [id, it] : m_subscribers)
        pushSources(it);
}

void Distributor::pushSources(Subscriber& it)
{
    if (m_sources.empty())
        return;
    auto request = it.feed.sourcesRequest();
    auto out = request.initAddresses(static_cast<unsigned>(m_sources.size()));
    for (unsigned n = 0; n < m_sources.size(); ++n)
        out.set(n, m_sources[n].c_str());
    m_tasks.add(request.send().ignoreResult());
}

// --- Content ---

void Distributor::contentReleased(std::shared_ptr<const config::Snapshot> content)
{
    if (m_content && content->version <= m_content->version)
        return;
    m_content = std::move(content);
    m_contentPieces.clear();
    m_recentContent[m_content->version] = m_content;
    if (m_recentContent.size() > maxKeptVersions)
        m_recentContent.erase(m_recentContent.begin());
    scheduleContent();
}

// --- Sending ---

void Distributor::scheduleContent()
{
    if (m_scheduled)
        return;
    m_scheduled = true;
    const base::Duration wait = m_limits.batching && m_content ? m_content->timing.batch : base::Duration {};
    m_tasks.add(m_timer.afterDelay(wait.ms * kj::MILLISECONDS).then([this] {
        m_scheduled = false;
        for (auto& [id, it] : m_subscribers)
            pushContent(id, it);
    }));
}

void Distributor::endpointsChanged(EndpointUrgency urgency)
{
    if (urgency == EndpointUrgency::Suspects)
        m_suspectsChange = m_endpoints.lastChange;
    scheduleEndpoints(urgency == EndpointUrgency::Suspects ? suspectBatchInterval : endpointBatchInterval);
}

void Distributor::scheduleEndpoints(base::Duration interval)
{
    const kj::TimePoint now = m_timer.now();
    const kj::TimePoint at = m_limits.batching ? kj::max(m_endpointsPushedAt + interval.ms * kj::MILLISECONDS, now) : now;
    if (m_endpointsPushAt && *m_endpointsPushAt <= at)
        return;
    m_endpointsPushAt = at;
    m_tasks.add(m_timer.afterDelay(at - now).then([this, at] {
        if (m_endpointsPushAt != at)
            return; // an earlier push took its place
        m_endpointsPushAt.reset();
        m_endpointsPushedAt = m_timer.now();
        for (auto& [id, it] : m_subscribers)
            pushEndpoints(id, it);
    }));
}

void Distributor::pushAll(uint64_t id)
{
    auto it = m_subscribers.find(id);
    if (it == m_subscribers.end())
        return;
    pushSources(it->second);
    pushContent(id, it->second);
    pushEndpoints(id, it->second);
}

const inner::EncodedVersion& Distributor::contentPiece(base::ConfigVersion from)
{
    auto known = m_recentContent.find(from);
    const base::ConfigVersion start = known == m_recentContent.end() ? base::ConfigVersion {} : from;
    auto it = m_contentPieces.find(start);
    if (it == m_contentPieces.end()) {
        const config::Snapshot* old = known == m_recentContent.end() ? nullptr : known->second.get();
        it = m_contentPieces.emplace(start, inner::encodeVersion(*m_content, old)).first;
    }
    return it->second;
}

void Distributor::pushContent(uint64_t id, Subscriber& it)
{
    if (it.contentBusy)
        return;
    if (!m_content || it.have >= m_content->version || it.refused >= m_content->version) {
        finishStart(it);
        return;
    }
    const inner::EncodedVersion& next = contentPiece(it.have);
    ++(next.from.value == 0 ? m_counters.snapshotsSent : m_counters.deltasSent);
    m_counters.contentBytes += next.bytes.size();
    auto request = it.feed.contentRequest();
    auto content = request.initContent();
    content.setVersion(next.version.value);
    content.setFrom(next.from.value);
    content.setBytes(inner::toData(next.bytes));
    it.contentBusy = true;
    const bool isSnapshot = next.from.value == 0;
    const base::ConfigVersion sent = next.version;
    m_tasks.add(request.send().then([this, id, isSnapshot, sent](auto&& answer) { onContentConfirmed(id, isSnapshot, sent, { answer.getHave() }); }));
}

void Distributor::onContentConfirmed(uint64_t id, bool isSnapshot, base::ConfigVersion sent, base::ConfigVersion have)
{
    auto found = m_subscribers.find(id);
    if (found == m_subscribers.end())
        return;
    Subscriber& it = found->second;
    it.contentBusy = false;
    if (have < sent && (isSnapshot || have == it.have))
        it.refused = sent;
    it.have = have;
    pushContent(id, it);
}

const Distributor::EndpointBatch& Distributor::batch(const config::EndpointCursor& cursor)
{
    if (std::exchange(m_batchesChange, m_endpoints.lastChange) != m_endpoints.lastChange || m_batches.size() >= maxKeptBatches)
        m_batches.clear();
    const std::tuple key(cursor.registry, cursor.change, cursor.since);
    auto it = m_batches.find(key);
    if (it != m_batches.end())
        return it->second;
    EndpointBatch out;
    out.delta = config::changesSince(m_endpoints, cursor, nullptr, maxRecordsPerMessage);
    out.records = out.delta.endpoints.size();
    out.suspects = inner::suspectsOf(out.delta.endpoints);
    out.leaving = inner::leavingOf(out.delta.endpoints);
    out.bytes = config::encode(std::exchange(out.delta.endpoints, {}));
    out.compressed = out.bytes.size() >= minBytesToCompress;
    if (out.compressed)
        out.bytes = config::compress(out.bytes);
    return m_batches.emplace(key, std::move(out)).first->second;
}

void Distributor::pushEndpoints(uint64_t id, Subscriber& it)
{
    if (it.endpointsBusy)
        return;
    const EndpointBatch& next = batch(it.cursor);
    if (next.records == 0 && next.delta.to == it.cursor)
        return;
    ++m_counters.endpointMessages;
    m_counters.endpointRecords += next.records;
    m_counters.endpointBytes += next.bytes.size();
    auto request = it.feed.endpointsRequest();
    auto out = request.initDelta();
    inner::write(out.initFrom(), next.delta.from);
    inner::write(out.initTo(), next.delta.to);
    out.setWhole(next.delta.restartsList);
    out.setMore(next.delta.more);
    out.setEndpoints(inner::toData(next.bytes));
    out.setCompressed(next.compressed);
    if (!next.suspects.empty())
        inner::write(out.initSuspects(static_cast<kj::uint>(next.suspects.size())), next.suspects);
    if (!next.leaving.empty())
        inner::write(out.initLeaving(static_cast<kj::uint>(next.leaving.size())), next.leaving);
    it.endpointsBusy = true;
    m_tasks.add(request.send().then([this, id](auto&& answer) {
        auto found = m_subscribers.find(id);
        if (found == m_subscribers.end())
            return;
        found->second.endpointsBusy = false;
        found->second.cursor = inner::read(answer.getCursor());
        if (found->second.cursor.change != m_endpoints.lastChange)
            scheduleEndpoints(found->second.cursor.change < m_suspectsChange ? suspectBatchInterval : endpointBatchInterval);
    }));
}

nlohmann::json Distributor::toJson() const
{
    return { { "version", m_content ? m_content->version.value : 0 }, { "subscribers", m_subscribers.size() }, { "starting", m_startingCount }, { "isolated", m_isolated },
        { "endpoints", m_endpoints.entries.size() }, { "subscribed", m_counters.subscribed }, { "came_back_later", m_counters.rejectedSubscriptions },
        { "whole_sent", m_counters.snapshotsSent }, { "deltas_sent", m_counters.deltasSent }, { "content_bytes", m_counters.contentBytes },
        { "endpoint_messages", m_counters.endpointMessages }, { "endpoint_records", m_counters.endpointRecords }, { "handovers", m_counters.handovers } };
}

} // namespace appletally::control
