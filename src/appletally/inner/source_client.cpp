// The client side of distribution: links, content, endpoints and reports.
#include "appletally/inner/source_client.h"

#include "appletally/base/json_reader.h"
#include "appletally/base/log.h"
#include "appletally/inner/content.h"

#include <algorithm>

namespace appletally::inner {

namespace {

    // Delay before the minimum version is requested again, when no majority of voters answered the source.
    constexpr base::Duration minimumVersionRetryDelay { 250 };

    // Consecutive failed attempts, about three seconds, after which control is reported as unreachable.
    constexpr uint64_t failuresUntilUnreachable = 4;

    // Reports are batched for this long, so that one answer per millisecond does not cause one message each.
    constexpr base::Duration reportBatchInterval { 20 };

} // namespace

class SourceClient::FeedServer final : public rpc::Feed::Server {
public:
    FeedServer(SourceClient& client, uint64_t generation)
        : m_client(client)
        , m_generation(generation)
    {
    }

    kj::Promise<void> content(ContentContext context) override
    {
        requireCurrentLink();
        context.getResults().setHave(m_client.receiveContent(context.getParams().getContent()).value);
        return kj::READY_NOW;
    }

    kj::Promise<void> endpoints(EndpointsContext context) override
    {
        requireCurrentLink();
        m_client.receiveEndpoints(context.getParams().getDelta());
        write(context.getResults().initCursor(), m_client.m_mirror.cursor);
        return kj::READY_NOW;
    }

    kj::Promise<void> sources(SourcesContext context) override
    {
        requireCurrentLink();
        std::vector<base::Address> addresses;
        for (const auto text : context.getParams().getAddresses()) {
            if (const auto address = base::parseAddress(text.cStr()))
                addresses.push_back(address.value());
        }
        m_client.addSources(addresses);
        return kj::READY_NOW;
    }

    kj::Promise<void> leave(LeaveContext context) override
    {
        requireCurrentLink();
        m_client.m_refusal = policy::SourceRejection { base::Duration { context.getParams().getComeBackMs() }, true };
        m_client.m_linkEnder->fulfill(base::fail(base::Code::SourceIsolated, "source is isolated from the other control processes"));
        return kj::READY_NOW;
    }

    kj::Promise<void> moveTo(MoveToContext context) override
    {
        requireCurrentLink();
        if (const auto address = base::parseAddress(context.getParams().getAddress().cStr()))
            m_client.moveTo(address.value());
        return kj::READY_NOW;
    }

private:
    // A call still in flight on an earlier link must not change or report the state of the current one.
    void requireCurrentLink() const
    {
        if (m_generation != m_client.m_generation)
            kj::throwFatalException(KJ_EXCEPTION(FAILED, "feed belongs to an earlier link"));
    }

    SourceClient& m_client; // outlives its links
    uint64_t m_generation;
};

SourceClient::SourceClient(kj::AsyncIoContext& io, SourceClientSettings settings, SourceClientHooks hooks)
    : m_io(io)
    , m_timer(io.provider->getTimer())
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_attempts(kj::heap<kj::TaskSet>(*this))
    , m_startTime(base::wallNow())
    , m_linkTasks(kj::heap<kj::TaskSet>(*this))
{
    addSources(m_settings.sources);
    policy::beginSearch(m_race, base::steadyNow());
    m_running = run().eagerlyEvaluate([this](kj::Exception&& problem) { taskFailed(kj::mv(problem)); });
}

SourceClient::~SourceClient() = default;

void SourceClient::taskFailed(kj::Exception&& problem)
{
    // Calls fail as DISCONNECTED when their link ends; the end of the link itself is logged with its reason.
    if (problem.getType() != kj::Exception::Type::DISCONNECTED)
        base::logEvent(base::Event::LinkDown, describe(problem));
}

void SourceClient::addSources(const std::vector<base::Address>& sources)
{
    for (const base::Address& it : sources) {
        if (std::find(m_sources.begin(), m_sources.end(), it) != m_sources.end())
            continue;
        m_sources.push_back(it);
        m_race.sources.emplace_back();
    }
    wakeRace();
}

// --- Links ---

kj::Promise<void> SourceClient::run()
{
    return race()
        .then([this] {
            m_attempts = kj::heap<kj::TaskSet>(*this);
            policy::endRace(m_race);
            return authenticate(m_io, m_settings.membership, m_sources[m_currentSource], m_settings.role, kj::mv(m_connectedStream));
        })
        .then([this](base::Result<kj::Own<RpcLink>> linked) -> kj::Promise<base::Error> {
            if (!linked)
                return linked.error();
            m_link = kj::mv(linked.value());
            ++m_generation;
            return runLink();
        })
        .then([this](const base::Error& problem) {
            handleLinkDown(problem);
            return run();
        });
}

kj::Promise<void> SourceClient::race()
{
    if (m_connectedStream.get() != nullptr)
        return kj::READY_NOW;
    const base::Time now = base::steadyNow();
    if (const auto source = policy::startNextAttempt(m_race, now, randomNumber()))
        m_attempts->add(connectTo(*source));
    auto wake = kj::newPromiseAndFulfiller<void>();
    m_raceWaker = kj::mv(wake.fulfiller);
    const base::Duration wait = std::max(base::Duration { 1 }, policy::nextAttemptAt(m_race, now) - now);
    return wake.promise.exclusiveJoin(m_timer.afterDelay(wait.ms * kj::MILLISECONDS)).then([this] { return race(); });
}

kj::Promise<void> SourceClient::connectTo(size_t source)
{
    ++m_counters.connects;
    return dial(m_io, m_sources[source], longConnectTimeout)
        .then(
            [this, source](kj::Own<kj::AsyncIoStream> stream) {
                m_connectedStream = kj::mv(stream);
                m_currentSource = source;
            },
            [this, source](kj::Exception&&) { sourceFailed(source, std::nullopt); })
        .then([this] { wakeRace(); });
}

void SourceClient::wakeRace()
{
    if (m_raceWaker.get() != nullptr)
        m_raceWaker->fulfill();
}

void SourceClient::sourceFailed(size_t source, std::optional<policy::SourceRejection> refusal)
{
    m_race.sources[source].backoff.urgent = !m_applied.applied;
    policy::onAttemptFailed(m_race, source, refusal, base::steadyNow(), randomNumber());
    if (++m_consecutiveFailures >= failuresUntilUnreachable)
        setReachable(false);
}

kj::Promise<base::Error> SourceClient::runLink()
{
    auto endLink = kj::newPromiseAndFulfiller<base::Error>();
    m_linkEnder = kj::mv(endLink.fulfiller);
    m_linkTasks->add(subscribe().catch_([this](kj::Exception&& problem) {
        m_linkEnder->fulfill(base::fail(base::Code::PeerGone, describe(problem)));
    }));
    return whenDisconnected(*m_link).exclusiveJoin(kj::mv(endLink.promise));
}

kj::Promise<void> SourceClient::subscribe()
{
    auto request = m_link->session.castAs<rpc::Source>().subscribeRequest();
    request.setHave(heldVersion(m_applied).value);
    write(request.initCursor(), m_mirror.cursor);
    request.setPromised(m_race.sources[m_currentSource].hasReservation);
    request.setFeed(kj::heap<FeedServer>(*this, m_generation));
    return request.send().then([this](auto&& answer) -> kj::Promise<void> {
        if (failed(answer.getFailure())) {
            const base::Error problem = read(answer.getFailure());
            const bool isolated = problem.code == base::Code::SourceIsolated;
            if (isolated || problem.code == base::Code::RetryLater) {
                ++m_counters.retryLaterResponses;
                m_refusal = policy::SourceRejection { problem.retryAfter, isolated };
            }
            return KJ_EXCEPTION(OVERLOADED, "rejected by the source", problem.text);
        }
        ++m_counters.links;
        m_subscribed = true;
        base::logEvent(base::Event::SourceSelected, m_link->address.text());
        m_linkedSince = base::steadyNow();
        m_consecutiveFailures = 0;
        policy::resetBackoff(m_race.sources[m_currentSource].backoff);
        setReachable(true);
        m_endpointsDirty = !m_endpoints.empty();
        m_appliedVersionDirty = m_appliedVersion.has_value();
        for (const auto& [key, it] : m_evidence)
            m_evidenceDirty[key] = true;
        sendReport();
        m_linkTasks->add(renewPeriodically());
        return m_applied.minVersion ? kj::Promise<void>(kj::READY_NOW) : fetchMinimumVersion();
    });
}

kj::Promise<void> SourceClient::fetchMinimumVersion()
{
    return m_link->session.castAs<rpc::Source>().bootFloorRequest().send().then([this](auto&& answer) -> kj::Promise<void> {
        if (failed(answer.getFailure()))
            return m_timer.afterDelay(minimumVersionRetryDelay.ms * kj::MILLISECONDS).then([this] { return fetchMinimumVersion(); });
        base::logEvent(base::Event::BootVersionProven, "minimum version at start is " + std::to_string(answer.getVersion()));
        publishApplied(raiseMinVersion(m_applied, { answer.getVersion() }));
        return kj::READY_NOW;
    });
}

void SourceClient::handleLinkDown(const base::Error& problem)
{
    if (m_link) {
        m_counters.bytesIn += m_link->connection->bytesIn();
        m_counters.bytesOut += m_link->connection->bytesOut();
    }
    if (m_subscribed) {
        base::logEvent(base::Event::LinkDown, m_link->address.text() + ": " + problem.text);
        policy::beginSearch(m_race, base::steadyNow());
    }
    m_subscribed = false;
    m_reporting = false;
    m_moving = false;
    m_linkTasks = kj::heap<kj::TaskSet>(*this);
    ++m_generation;
    m_link = nullptr;
    if (m_successorStream.get() == nullptr)
        return sourceFailed(m_currentSource, std::exchange(m_refusal, std::nullopt));
    m_connectedStream = kj::mv(m_successorStream);
    m_currentSource = m_successor;
}

// The current link is kept until the other source is connected.
void SourceClient::moveTo(const base::Address& address)
{
    if (m_moving || !m_subscribed || address == m_sources[m_currentSource])
        return;
    m_moving = true;
    addSources({ address });
    const auto found = std::find(m_sources.begin(), m_sources.end(), address);
    m_linkTasks->add(dial(m_io, address, longConnectTimeout)
                         .then(
                             [this, source = static_cast<size_t>(found - m_sources.begin())](kj::Own<kj::AsyncIoStream> stream) {
                                 ++m_counters.moves;
                                 m_successorStream = kj::mv(stream);
                                 m_successor = source;
                                 m_linkEnder->fulfill(base::fail(base::Code::PeerGone, "moving to another source"));
                             },
                             [this](kj::Exception&&) { m_moving = false; }));
}

void SourceClient::setReachable(bool reachable)
{
    if (m_reachable == reachable)
        return;
    m_reachable = reachable;
    if (m_hooks.reachable)
        m_hooks.reachable(reachable);
}

// --- Content ---

base::ConfigVersion SourceClient::receiveContent(rpc::Content::Reader message)
{
    const EncodedVersion encoded { { message.getVersion() }, { message.getFrom() }, bytes(message.getBytes()) };
    const auto taken = apply(m_applied, encoded);
    if (!taken) {
        const bool mismatch = taken.error().code == base::Code::DeltaMismatch;
        ++(mismatch ? m_counters.mismatches : m_counters.rejectedVersions);
        if (taken.error().code != base::Code::VersionTooOld) // late or duplicate content is normal
            base::logEvent(base::Event::VersionRefused, "version " + std::to_string(message.getVersion()) + ": " + taken.error().text);
        return mismatch ? base::ConfigVersion {} : heldVersion(m_applied); // after a mismatch, request a full snapshot
    }
    ++(encoded.from.value == 0 ? m_counters.snapshots : m_counters.deltas);
    publishApplied(taken.value());
    return heldVersion(m_applied);
}

void SourceClient::publishApplied(bool changed)
{
    if (!changed)
        return;
    dropEndedEvidence();
    if (m_hooks.released)
        m_hooks.released(m_applied.applied);
}

// All evidence is sent again to a new source; that of ended rollouts is no longer used.
void SourceClient::dropEndedEvidence()
{
    const auto rolloutEnded = [this](const auto& entry) { return !config::rolloutRuns(*m_applied.applied, std::get<base::ServiceName>(entry.first)); };
    std::erase_if(m_evidence, rolloutEnded);
    std::erase_if(m_evidenceDirty, rolloutEnded);
}

// --- Endpoints ---

void SourceClient::receiveEndpoints(rpc::EndpointsDelta::Reader message)
{
    const auto delta = read(message);
    if (!delta)
        kj::throwFatalException(KJ_EXCEPTION(FAILED, "endpoints cannot be decoded", delta.error().text));
    const auto changes = config::applyEndpoints(m_mirror, delta.value(), base::steadyNow());
    if (changes)
        notifyEndpoints(changes.value());
    else
        ++m_counters.endpointMismatches; // the cursor in the reply requests what is missing
    if (!changes || delta.value().more || std::exchange(m_endpointListRead, true))
        return;
    if (m_hooks.endpointListRead)
        m_hooks.endpointListRead();
}

void SourceClient::notifyEndpoints(const std::vector<config::Endpoint>& changes)
{
    if (m_hooks.endpoints && !changes.empty())
        m_hooks.endpoints(changes);
}

// --- Reports ---

void SourceClient::announce(const config::Endpoint& endpoint)
{
    EndpointHeartbeat& known = m_endpoints[endpoint.host];
    if (std::tuple(known.endpoint.incarnation, known.endpoint.sequence) != std::tuple(endpoint.incarnation, endpoint.sequence))
        known.heartbeat = 0;
    m_reportUrgent |= known.endpoint.suspects != endpoint.suspects || known.endpoint.leaving != endpoint.leaving;
    known.endpoint = endpoint;
    m_endpointsDirty = true;
    sendReport();
}

void SourceClient::setAppliedVersion(base::ConfigVersion version)
{
    if (!m_appliedVersion)
        m_appliedVersion = NodeAppliedVersion { m_settings.membership.host, { static_cast<uint64_t>(m_startTime.ms) }, {}, {}, false };
    m_appliedVersion->version = version;
    m_appliedSince = base::steadyNow();
    m_appliedVersionDirty = true;
    sendReport();
}

void SourceClient::reportEvidence(const std::vector<config::Evidence>& evidence)
{
    for (const config::Evidence& it : evidence) {
        const EvidenceKey key { it.incarnation, it.service, it.route, it.version };
        m_evidence[key] = it;
        m_evidenceDirty[key] = true;
    }
    sendReport();
}

NodeReport SourceClient::takePendingReport()
{
    NodeReport out;
    if (std::exchange(m_endpointsDirty, false)) {
        for (auto& [host, it] : m_endpoints) {
            ++it.heartbeat;
            out.endpoints.push_back(it);
        }
    }
    if (std::exchange(m_appliedVersionDirty, false)) {
        out.appliedVersions.push_back(*m_appliedVersion);
        out.appliedVersions.back().since = base::steadyNow() - m_appliedSince;
    }
    for (const auto& [key, it] : std::exchange(m_evidenceDirty, {}))
        out.evidence.push_back(m_evidence[key]);
    return out;
}

void SourceClient::sendReport()
{
    if (!m_subscribed || m_reporting)
        return;
    m_reporting = true;
    const base::Duration batchTime = std::exchange(m_reportUrgent, false) ? base::Duration {} : reportBatchInterval;
    m_linkTasks->add(m_timer.afterDelay(batchTime.ms * kj::MILLISECONDS).then([this]() -> kj::Promise<void> {
                                                                            NodeReport report = takePendingReport();
                                                                            if (report.empty())
                                                                                return kj::READY_NOW;
                                                                            auto request = m_link->session.castAs<rpc::Source>().reportRequest();
                                                                            write(request.initReport(), report);
                                                                            return request.send().then([this, endpoints = std::move(report.endpoints)](auto&&) { notifyLeavingHeld(endpoints); });
                                                                        })
                         .then([this] {
                             m_reporting = false;
                             if (m_endpointsDirty || m_appliedVersionDirty || !m_evidenceDirty.empty())
                                 sendReport();
                         }));
}

void SourceClient::notifyLeavingHeld(const std::vector<EndpointHeartbeat>& reported)
{
    for (const EndpointHeartbeat& it : reported) {
        if (it.endpoint.leaving && m_hooks.leavingHeld)
            m_hooks.leavingHeld(it.endpoint);
    }
}

kj::Promise<void> SourceClient::renewPeriodically()
{
    return m_timer.afterDelay(config::endpointRenewalInterval.ms * kj::MILLISECONDS).then([this] {
        m_endpointsDirty = !m_endpoints.empty();
        m_appliedVersionDirty = m_appliedVersion.has_value();
        sendReport();
        notifyEndpoints(config::expireUnconfirmed(m_mirror, m_linkedSince, base::steadyNow()));
        return renewPeriodically();
    });
}

kj::Promise<void> SourceClient::leave(base::Duration timeout)
{
    if (!m_subscribed)
        return kj::READY_NOW;
    for (auto& [host, it] : m_endpoints) {
        it.endpoint.state = config::EndpointState::Gone;
        ++it.endpoint.sequence.value;
        it.heartbeat = 0;
    }
    if (m_appliedVersion)
        m_appliedVersion->left = true;
    m_endpointsDirty = !m_endpoints.empty();
    m_appliedVersionDirty = m_appliedVersion.has_value();
    const NodeReport report = takePendingReport();
    auto request = m_link->session.castAs<rpc::Source>().reportRequest();
    write(request.initReport(), report);
    return request.send().ignoreResult().exclusiveJoin(m_timer.afterDelay(timeout.ms * kj::MILLISECONDS)).catch_([](kj::Exception&&) {});
}

// --- Inspection ---

SourceClientCounters SourceClient::counters() const
{
    SourceClientCounters out = m_counters;
    if (m_link.get() != nullptr) {
        out.bytesIn += m_link->connection->bytesIn();
        out.bytesOut += m_link->connection->bytesOut();
    }
    return out;
}

nlohmann::json SourceClient::toJson() const
{
    const SourceClientCounters sum = counters();
    return { { "source", m_link.get() != nullptr ? m_link->address.text() : "" }, { "subscribed", m_subscribed }, { "held", heldVersion(m_applied).value },
        { "in_force", appliedVersion(m_applied).value }, { "floor", m_applied.minVersion ? nlohmann::json(m_applied.minVersion->value) : nlohmann::json() }, { "refusal", m_applied.refusal }, { "connects", sum.connects }, { "links", sum.links },
        { "came_back_later", sum.retryLaterResponses }, { "moves", sum.moves }, { "snapshots", sum.snapshots }, { "deltas", sum.deltas }, { "misfits", sum.mismatches }, { "refused", sum.rejectedVersions },
        { "endpoints", m_mirror.entries.size() }, { "endpoint_misfits", sum.endpointMismatches }, { "bytes_in", sum.bytesIn }, { "bytes_out", sum.bytesOut } };
}

} // namespace appletally::inner
