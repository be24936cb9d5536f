// The taking side of distribution; see the header.
#include "appletally/inner/source_client.h"

#include "appletally/base/json_reader.h"
#include "appletally/base/log.h"
#include "appletally/inner/content.h"

#include <algorithm>

namespace appletally::inner {

namespace {

    // No majority of voters answered the source: asked again after this.
    constexpr base::Duration proofPause { 250 };

    // After so many failed tries in a row, about three seconds, the node's task is told that control is out of reach.
    constexpr uint64_t failuresUntilLost = 4;

    // Reports are gathered this long before one goes: an answer a millisecond must not become a message each.
    constexpr base::Duration reportPause { 20 };

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
        refuseOld();
        context.getResults().setHave(m_client.take(context.getParams().getContent()).value);
        return kj::READY_NOW;
    }

    kj::Promise<void> endpoints(EndpointsContext context) override
    {
        refuseOld();
        m_client.takeEndpoints(context.getParams().getDelta());
        write(context.getResults().initCursor(), m_client.m_mirror.cursor);
        return kj::READY_NOW;
    }

    kj::Promise<void> sources(SourcesContext context) override
    {
        refuseOld();
        std::vector<base::Address> told;
        for (const auto text : context.getParams().getAddresses()) {
            if (const auto address = base::parseAddress(text.cStr()))
                told.push_back(address.value());
        }
        m_client.addSources(told);
        return kj::READY_NOW;
    }

    kj::Promise<void> leave(LeaveContext context) override
    {
        refuseOld();
        m_client.m_refusal = policy::SourceRefusal { base::Duration { context.getParams().getComeBackMs() }, true };
        m_client.m_refused->fulfill(base::fail(base::Code::SourceIsolated, "the source has lost the other control processes"));
        return kj::READY_NOW;
    }

private:
    // A call that was still under way on the link before must not answer for what the new one brought.
    void refuseOld() const
    {
        if (m_generation != m_client.m_generation)
            kj::throwFatalException(KJ_EXCEPTION(FAILED, "a feed of an earlier link"));
    }

    SourceClient& m_client; // outlives its links
    uint64_t m_generation;
};

SourceClient::SourceClient(kj::AsyncIoContext& io, SourceClientSettings settings, SourceClientHooks hooks)
    : m_io(io)
    , m_timer(io.provider->getTimer())
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_tries(kj::heap<kj::TaskSet>(*this))
    , m_started(base::wallNow())
    , m_linkTasks(kj::heap<kj::TaskSet>(*this))
{
    addSources(m_settings.sources);
    policy::beginSearch(m_race, base::steadyNow());
    m_running = run().eagerlyEvaluate([this](kj::Exception&& problem) { taskFailed(kj::mv(problem)); });
}

SourceClient::~SourceClient() = default;

void SourceClient::taskFailed(kj::Exception&& problem)
{
    // A call failed because its link is ending; the link's own end says why.
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
            m_tries = kj::heap<kj::TaskSet>(*this);
            policy::endRace(m_race);
            return prove(m_io, m_settings.membership, m_sources[m_current], m_settings.role, kj::mv(m_connected));
        })
        .then([this](base::Result<kj::Own<RpcLink>> linked) -> kj::Promise<base::Error> {
            if (!linked)
                return linked.error();
            m_link = kj::mv(linked.value());
            ++m_generation;
            return use();
        })
        .then([this](const base::Error& problem) {
            linkLost(problem);
            return run();
        });
}

kj::Promise<void> SourceClient::race()
{
    if (m_connected.get() != nullptr)
        return kj::READY_NOW;
    const base::Time now = base::steadyNow();
    if (const auto source = policy::nextTry(m_race, now, randomNumber()))
        m_tries->add(attempt(*source));
    auto wake = kj::newPromiseAndFulfiller<void>();
    m_wake = kj::mv(wake.fulfiller);
    const base::Duration wait = std::max(base::Duration { 1 }, policy::nextLook(m_race, now) - now);
    return wake.promise.exclusiveJoin(m_timer.afterDelay(wait.ms * kj::MILLISECONDS)).then([this] { return race(); });
}

kj::Promise<void> SourceClient::attempt(size_t source)
{
    ++m_counters.connects;
    return dial(m_io, m_sources[source], longConnectTimeout)
        .then(
            [this, source](kj::Own<kj::AsyncIoStream> stream) {
                m_connected = kj::mv(stream);
                m_current = source;
            },
            [this, source](kj::Exception&&) { sourceFailed(source, std::nullopt); })
        .then([this] { wakeRace(); });
}

void SourceClient::wakeRace()
{
    if (m_wake.get() != nullptr)
        m_wake->fulfill();
}

void SourceClient::sourceFailed(size_t source, std::optional<policy::SourceRefusal> told)
{
    m_race.sources[source].backoff.urgent = !m_applied.inForce;
    policy::tryFailed(m_race, source, told, base::steadyNow(), randomNumber());
    if (++m_failures >= failuresUntilLost)
        setReachable(false);
}

kj::Promise<base::Error> SourceClient::use()
{
    auto refused = kj::newPromiseAndFulfiller<base::Error>();
    m_refused = kj::mv(refused.fulfiller);
    m_linkTasks->add(subscribe().catch_([this](kj::Exception&& problem) {
        m_refused->fulfill(base::fail(base::Code::PeerGone, describe(problem)));
    }));
    return whenDisconnected(*m_link).exclusiveJoin(kj::mv(refused.promise));
}

kj::Promise<void> SourceClient::subscribe()
{
    auto ask = m_link->session.castAs<rpc::Source>().subscribeRequest();
    ask.setHave(heldVersion(m_applied).value);
    write(ask.initCursor(), m_mirror.cursor);
    ask.setPromised(m_race.sources[m_current].promised);
    ask.setFeed(kj::heap<FeedServer>(*this, m_generation));
    return ask.send().then([this](auto&& answer) -> kj::Promise<void> {
        if (failed(answer.getFailure())) {
            const base::Error problem = read(answer.getFailure());
            const bool isolated = problem.code == base::Code::SourceIsolated;
            if (isolated || problem.code == base::Code::ComeBackLater) {
                ++m_counters.retryLaterResponses;
                m_refusal = policy::SourceRefusal { problem.retryAfter, isolated };
            }
            return KJ_EXCEPTION(OVERLOADED, "refused by the source", problem.text);
        }
        ++m_counters.links;
        m_subscribed = true;
        base::logEvent(base::Event::SourceTaken, m_link->address.text());
        m_linkedSince = base::steadyNow();
        m_failures = 0;
        policy::succeeded(m_race.sources[m_current].backoff);
        setReachable(true);
        m_endpointsDirty = !m_endpoints.empty();
        m_inForceDirty = m_inForce.has_value();
        for (const auto& [key, it] : m_evidence)
            m_evidenceDirty[key] = true;
        sendReport();
        m_linkTasks->add(renewals());
        return m_applied.floor ? kj::Promise<void>(kj::READY_NOW) : proveBoot();
    });
}

kj::Promise<void> SourceClient::proveBoot()
{
    return m_link->session.castAs<rpc::Source>().bootFloorRequest().send().then([this](auto&& answer) -> kj::Promise<void> {
        if (failed(answer.getFailure()))
            return m_timer.afterDelay(proofPause.ms * kj::MILLISECONDS).then([this] { return proveBoot(); });
        base::logEvent(base::Event::BootVersionProven, "starts at no less than version " + std::to_string(answer.getVersion()));
        offer(raiseFloor(m_applied, { answer.getVersion() }));
        return kj::READY_NOW;
    });
}

void SourceClient::linkLost(const base::Error& problem)
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
    m_linkTasks = kj::heap<kj::TaskSet>(*this);
    ++m_generation;
    m_link = nullptr;
    sourceFailed(m_current, std::exchange(m_refusal, std::nullopt));
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

base::ConfigVersion SourceClient::take(rpc::Content::Reader in)
{
    const EncodedVersion piece { { in.getVersion() }, { in.getFrom() }, bytes(in.getBytes()) };
    const auto taken = apply(m_applied, piece);
    if (!taken) {
        const bool misfit = taken.error().code == base::Code::DeltaDoesNotFit;
        ++(misfit ? m_counters.mismatches : m_counters.refused);
        if (taken.error().code != base::Code::VersionTooOld) // late or doubled: nothing to see
            base::logEvent(base::Event::VersionRefused, "version " + std::to_string(in.getVersion()) + ": " + taken.error().text);
        return misfit ? base::ConfigVersion {} : heldVersion(m_applied); // after a misfit only a whole snapshot helps
    }
    ++(piece.from.value == 0 ? m_counters.snapshots : m_counters.deltas);
    offer(taken.value());
    return heldVersion(m_applied);
}

void SourceClient::offer(bool isNew)
{
    if (!isNew)
        return;
    dropOldEvidence();
    if (m_hooks.released)
        m_hooks.released(m_applied.inForce);
}

// A new source is told all evidence that is held; of rollouts that are over nobody wants any.
void SourceClient::dropOldEvidence()
{
    const auto isOver = [this](const auto& entry) { return !config::rolloutRuns(*m_applied.inForce, std::get<base::ServiceName>(entry.first)); };
    std::erase_if(m_evidence, isOver);
    std::erase_if(m_evidenceDirty, isOver);
}

// --- Endpoints ---

void SourceClient::takeEndpoints(rpc::EndpointsDelta::Reader in)
{
    const auto delta = read(in);
    if (!delta)
        kj::throwFatalException(KJ_EXCEPTION(FAILED, "endpoints that cannot be read", delta.error().text));
    const auto news = config::applyEndpoints(m_mirror, delta.value(), base::steadyNow());
    if (news)
        tellEndpoints(news.value());
    else
        ++m_counters.endpointMismatches; // the cursor that goes back with the answer asks for what is missing
}

void SourceClient::tellEndpoints(const std::vector<config::Endpoint>& news)
{
    if (m_hooks.endpoints && !news.empty())
        m_hooks.endpoints(news);
}

// --- Reports ---

void SourceClient::announce(const config::Endpoint& endpoint)
{
    EndpointHeartbeat& known = m_endpoints[endpoint.host];
    if (std::tuple(known.endpoint.incarnation, known.endpoint.sequence) != std::tuple(endpoint.incarnation, endpoint.sequence))
        known.heartbeat = 0;
    known.endpoint = endpoint;
    m_endpointsDirty = true;
    sendReport();
}

void SourceClient::setAppliedVersion(base::ConfigVersion version)
{
    if (!m_inForce)
        m_inForce = NodeAppliedVersion { m_settings.membership.host, { static_cast<uint64_t>(m_started.ms) }, {}, {}, false };
    m_inForce->version = version;
    m_inForceSince = base::steadyNow();
    m_inForceDirty = true;
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

NodeReport SourceClient::dirtyReport()
{
    NodeReport out;
    if (std::exchange(m_endpointsDirty, false)) {
        for (auto& [host, it] : m_endpoints) {
            ++it.heartbeat;
            out.endpoints.push_back(it);
        }
    }
    if (std::exchange(m_inForceDirty, false)) {
        out.appliedVersions.push_back(*m_inForce);
        out.appliedVersions.back().since = base::steadyNow() - m_inForceSince;
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
    m_linkTasks->add(m_timer.afterDelay(reportPause.ms * kj::MILLISECONDS).then([this]() -> kj::Promise<void> {
                                                                              const NodeReport report = dirtyReport();
                                                                              if (report.empty())
                                                                                  return kj::READY_NOW;
                                                                              auto ask = m_link->session.castAs<rpc::Source>().reportRequest();
                                                                              write(ask.initReport(), report);
                                                                              return ask.send().ignoreResult();
                                                                          })
                         .then([this] {
                             m_reporting = false;
                             if (m_endpointsDirty || m_inForceDirty || !m_evidenceDirty.empty())
                                 sendReport();
                         }));
}

kj::Promise<void> SourceClient::renewals()
{
    return m_timer.afterDelay(config::endpointRenewal.ms * kj::MILLISECONDS).then([this] {
        m_endpointsDirty = !m_endpoints.empty();
        m_inForceDirty = m_inForce.has_value();
        sendReport();
        tellEndpoints(config::dropDoubted(m_mirror, m_linkedSince, base::steadyNow()));
        return renewals();
    });
}

kj::Promise<void> SourceClient::leave(base::Duration bound)
{
    if (!m_subscribed)
        return kj::READY_NOW;
    for (auto& [host, it] : m_endpoints) {
        it.endpoint.state = config::EndpointState::Gone;
        ++it.endpoint.sequence.value;
        it.heartbeat = 0;
    }
    if (m_inForce)
        m_inForce->left = true;
    m_endpointsDirty = !m_endpoints.empty();
    m_inForceDirty = m_inForce.has_value();
    const NodeReport report = dirtyReport();
    auto ask = m_link->session.castAs<rpc::Source>().reportRequest();
    write(ask.initReport(), report);
    return ask.send().ignoreResult().exclusiveJoin(m_timer.afterDelay(bound.ms * kj::MILLISECONDS)).catch_([](kj::Exception&&) {});
}

// --- Looking in ---

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
        { "in_force", versionInForce(m_applied).value }, { "floor", m_applied.floor ? nlohmann::json(m_applied.floor->value) : nlohmann::json() }, { "refusal", m_applied.refusal }, { "connects", sum.connects }, { "links", sum.links },
        { "came_back_later", sum.retryLaterResponses }, { "snapshots", sum.snapshots }, { "deltas", sum.deltas }, { "misfits", sum.mismatches }, { "refused", sum.refused },
        { "endpoints", m_mirror.entries.size() }, { "endpoint_misfits", sum.endpointMismatches }, { "bytes_in", sum.bytesIn }, { "bytes_out", sum.bytesOut } };
}

} // namespace appletally::inner
