// Fan-out to subscribers; see the header.
#include "appletally/control/distributor.h"

#include "appletally/base/log.h"
#include "appletally/config/codec.h"
#include "appletally/inner/cluster_key.h"
#include "appletally/inner/rpc_wire.h"

#include <algorithm>

namespace appletally::control {

namespace {

    // A node that missed more than this many versions gets a whole snapshot, which is then the smaller message.
    constexpr size_t keptVersions = 32;

    // A full source stays full until others leave; the client finds another one meanwhile.
    constexpr base::Duration fullComeBack { 5000 };

    // Time enough to try every other source, and short for a mesh in which no source is better.
    constexpr base::Duration isolatedComeBack { 300 };

    // Those who found no better source look again this often: one may have come within reach. Each look costs a reconnect.
    constexpr base::Duration lookAgain { 5'000 };

    // A change after a quiet time leaves at once; those that follow are gathered this long. Callers learn of a draining or broken upstream from its own answers at
    // once; through control it only has to be known well within two seconds, and larger batches compress better.
    constexpr base::Duration endpointPace { 100 };

    // Subscribers stand at a few different changes at a time; a herd that starts stands at one.
    constexpr size_t keptBatches = 64;

    // Below this a frame of zstd saves nothing.
    constexpr size_t worthCompressing = 256;

    // Records in one message. At about 120 bytes each it stays far under the limit of a message.
    constexpr size_t mostRecords = 2000;

} // namespace

Subscription::Subscription(std::weak_ptr<Distributor*> of, uint64_t id)
    : m_of(std::move(of))
    , m_id(id)
{
}

Subscription& Subscription::operator=(Subscription&& other) noexcept
{
    end();
    m_of = std::move(other.m_of);
    m_id = other.m_id;
    return *this;
}

void Subscription::end()
{
    if (const auto of = m_of.lock())
        (*of)->unsubscribe(m_id);
    m_of.reset();
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
        base::logEvent(base::Event::LinkDown, std::string("a feed failed: ") + problem.getDescription().cStr());
}

// --- Who takes ---

base::Result<Subscription> Distributor::subscribe(const base::HostId& who, base::ConfigVersion have, config::EndpointCursor cursor, inner::rpc::Feed::Client feed, bool promised)
{
    if (m_subscribers.size() >= m_limits.mostSubscribers) {
        ++m_counters.cameBackLater;
        return base::fail(base::Code::ComeBackLater, "as many as this source can serve are linked", fullComeBack);
    }
    if (m_isolated && !promised) {
        ++m_counters.cameBackLater;
        return base::fail(base::Code::SourceIsolated, "this source has lost the other control processes", isolatedComeBack);
    }
    const policy::Entry entry = policy::admit(m_limits.starts, promised, base::steadyNow(), inner::randomNumber());
    if (!entry.letIn) {
        ++m_counters.cameBackLater;
        return base::fail(base::Code::ComeBackLater, "more are starting than this source can bring up", entry.comeBackIn);
    }
    ++m_counters.subscribed;
    ++m_starting;
    const uint64_t id = m_nextId++;
    m_subscribers.emplace(id, Subscriber { who, std::move(feed), have, cursor, {} });
    m_tasks.add(kj::evalLater([this, id] { push(id); })); // after the answer to subscribe
    return Subscription { m_self, id };
}

void Distributor::unsubscribe(uint64_t id)
{
    auto it = m_subscribers.find(id);
    if (it == m_subscribers.end())
        return;
    settle(it->second);
    m_subscribers.erase(it);
}

void Distributor::settle(Subscriber& it)
{
    if (std::exchange(it.starting, false))
        --m_starting;
}

void Distributor::setIsolated(bool isolated)
{
    if (std::exchange(m_isolated, isolated) == isolated || !isolated)
        return;
    base::logEvent(base::Event::LinkDown, "most other control processes cannot be reached; subscribers are asked to look for another source");
    if (!std::exchange(m_looking, true))
        askToLeave();
}

void Distributor::askToLeave()
{
    m_looking = m_isolated;
    if (!m_isolated)
        return;
    for (auto& [id, it] : m_subscribers) {
        auto ask = it.feed.leaveRequest();
        ask.setComeBackMs(static_cast<uint32_t>(isolatedComeBack.ms));
        m_tasks.add(ask.send().ignoreResult());
    }
    m_tasks.add(m_timer.afterDelay(lookAgain.ms * kj::MILLISECONDS).then([this] { askToLeave(); }));
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
    auto ask = it.feed.sourcesRequest();
    auto out = ask.initAddresses(static_cast<unsigned>(m_sources.size()));
    for (unsigned n = 0; n < m_sources.size(); ++n)
        out.set(n, m_sources[n].c_str());
    m_tasks.add(ask.send().ignoreResult());
}

// --- What there is ---

void Distributor::contentReleased(std::shared_ptr<const config::Snapshot> content)
{
    if (m_content && content->version <= m_content->version)
        return;
    m_content = std::move(content);
    m_pieces.clear();
    m_recent[m_content->version] = m_content;
    if (m_recent.size() > keptVersions)
        m_recent.erase(m_recent.begin());
    schedule();
}

// --- Sending ---

void Distributor::schedule()
{
    if (m_scheduled)
        return;
    m_scheduled = true;
    const base::Duration wait = m_limits.batching && m_content ? m_content->pace.batch : base::Duration {};
    m_tasks.add(m_timer.afterDelay(wait.ms * kj::MILLISECONDS).then([this] {
        m_scheduled = false;
        for (auto& [id, it] : m_subscribers)
            pushContent(id, it);
    }));
}

void Distributor::endpointsChanged() { scheduleEndpoints(); }

void Distributor::scheduleEndpoints()
{
    if (m_endpointsScheduled)
        return;
    m_endpointsScheduled = true;
    const kj::TimePoint now = m_timer.now();
    const kj::TimePoint earliest = m_limits.batching ? m_endpointsPushedAt + endpointPace.ms * kj::MILLISECONDS : now;
    m_tasks.add(m_timer.afterDelay(kj::max(earliest, now) - now).then([this] {
        m_endpointsScheduled = false;
        m_endpointsPushedAt = m_timer.now();
        for (auto& [id, it] : m_subscribers)
            pushEndpoints(id, it);
    }));
}

void Distributor::push(uint64_t id)
{
    auto it = m_subscribers.find(id);
    if (it == m_subscribers.end())
        return;
    pushSources(it->second);
    pushContent(id, it->second);
    pushEndpoints(id, it->second);
}

const inner::EncodedVersion& Distributor::piece(base::ConfigVersion from)
{
    auto known = m_recent.find(from);
    const base::ConfigVersion start = known == m_recent.end() ? base::ConfigVersion {} : from;
    auto it = m_pieces.find(start);
    if (it == m_pieces.end()) {
        const config::Snapshot* old = known == m_recent.end() ? nullptr : known->second.get();
        it = m_pieces.emplace(start, inner::encodeVersion(*m_content, old)).first;
    }
    return it->second;
}

void Distributor::pushContent(uint64_t id, Subscriber& it)
{
    if (it.contentBusy)
        return;
    if (!m_content || it.have >= m_content->version || it.refused >= m_content->version) {
        settle(it);
        return;
    }
    const inner::EncodedVersion& next = piece(it.have);
    ++(next.from.value == 0 ? m_counters.wholeSent : m_counters.deltasSent);
    m_counters.contentBytes += next.bytes.size();
    auto ask = it.feed.contentRequest();
    auto content = ask.initContent();
    content.setVersion(next.version.value);
    content.setFrom(next.from.value);
    content.setBytes(inner::toData(next.bytes));
    it.contentBusy = true;
    const bool whole = next.from.value == 0;
    const base::ConfigVersion sent = next.version;
    m_tasks.add(ask.send().then([this, id, whole, sent](auto&& answer) { confirmed(id, whole, sent, { answer.getHave() }); }));
}

void Distributor::confirmed(uint64_t id, bool whole, base::ConfigVersion sent, base::ConfigVersion have)
{
    auto found = m_subscribers.find(id);
    if (found == m_subscribers.end())
        return;
    Subscriber& it = found->second;
    it.contentBusy = false;
    if (have < sent && (whole || have == it.have))
        it.refused = sent;
    it.have = have;
    pushContent(id, it);
}

const Distributor::Batch& Distributor::batch(const config::EndpointCursor& cursor)
{
    if (std::exchange(m_batchesOf, m_endpoints.lastChange) != m_endpoints.lastChange || m_batches.size() >= keptBatches)
        m_batches.clear();
    const std::tuple key(cursor.registry, cursor.change, cursor.since);
    auto it = m_batches.find(key);
    if (it != m_batches.end())
        return it->second;
    Batch out;
    out.delta = config::changesSince(m_endpoints, cursor, nullptr, mostRecords);
    out.records = out.delta.endpoints.size();
    out.bytes = config::encode(std::exchange(out.delta.endpoints, {}));
    out.compressed = out.bytes.size() >= worthCompressing;
    if (out.compressed)
        out.bytes = config::compress(out.bytes);
    return m_batches.emplace(key, std::move(out)).first->second;
}

void Distributor::pushEndpoints(uint64_t id, Subscriber& it)
{
    if (it.endpointsBusy)
        return;
    const Batch& next = batch(it.cursor);
    if (next.records == 0 && next.delta.to == it.cursor)
        return;
    ++m_counters.endpointMessages;
    m_counters.endpointRecords += next.records;
    auto ask = it.feed.endpointsRequest();
    auto out = ask.initDelta();
    inner::write(out.initFrom(), next.delta.from);
    inner::write(out.initTo(), next.delta.to);
    out.setWhole(next.delta.whole);
    out.setMore(next.delta.more);
    out.setEndpoints(inner::toData(next.bytes));
    out.setCompressed(next.compressed);
    it.endpointsBusy = true;
    m_tasks.add(ask.send().then([this, id](auto&& answer) {
        auto found = m_subscribers.find(id);
        if (found == m_subscribers.end())
            return;
        found->second.endpointsBusy = false;
        found->second.cursor = inner::read(answer.getCursor());
        if (found->second.cursor.change != m_endpoints.lastChange)
            scheduleEndpoints();
    }));
}

nlohmann::json Distributor::toJson() const
{
    return { { "version", m_content ? m_content->version.value : 0 }, { "subscribers", m_subscribers.size() }, { "starting", m_starting }, { "isolated", m_isolated },
        { "endpoints", m_endpoints.entries.size() }, { "subscribed", m_counters.subscribed }, { "came_back_later", m_counters.cameBackLater },
        { "whole_sent", m_counters.wholeSent }, { "deltas_sent", m_counters.deltasSent }, { "content_bytes", m_counters.contentBytes },
        { "endpoint_messages", m_counters.endpointMessages }, { "endpoint_records", m_counters.endpointRecords } };
}

} // namespace appletally::control
