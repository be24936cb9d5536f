// One link between control processes; see the header.
#include "appletally/control/peer_link.h"

#include "appletally/base/log.h"
#include "appletally/inner/rpc_wire.h"

#include <algorithm>

namespace appletally::control {

namespace {

    // Limits the memory for a peer that does not read; it requests dropped appends again anyway.
    constexpr size_t maxInFlightMessages = 256;
    constexpr size_t maxInFlightBytes = 4u << 20;

    // Batches the reports of many nodes into one message; the delay adds to the propagation time of endpoints.
    constexpr base::Duration reportBatchDelay { 10 };

    constexpr uint64_t longConnectInterval = 3; // every n-th connect uses longConnectTimeout

    // Voters must reconnect quickly, because a leader may lack its majority until then.
    constexpr int maxBackoffFailures = 1; // keeps waits at 200 ms or less; about a dozen control processes are no thundering herd

} // namespace

PeerLink::PeerLink(kj::AsyncIoContext& io, const inner::Membership& membership, ControlPeer peer, PeerHooks hooks)
    : m_io(io)
    , m_timer(io.provider->getTimer())
    , m_membership(membership)
    , m_peer(std::move(peer))
    , m_hooks(std::move(hooks))
    , m_tasks(kj::heap<kj::TaskSet>(*this))
{
    m_running = run().eagerlyEvaluate([this](kj::Exception&& problem) { taskFailed(kj::mv(problem)); });
}

void PeerLink::taskFailed(kj::Exception&& problem)
{
    if (problem.getType() != kj::Exception::Type::DISCONNECTED)
        base::logEvent(base::Event::LinkDown, m_peer.host.text + ": " + inner::describe(problem));
}

kj::Promise<void> PeerLink::run()
{
    const bool useLongTimeout = ++m_connects % longConnectInterval == 0;
    return inner::connect(m_io, m_membership, m_peer.address, inner::rpc::Role::PEER, useLongTimeout ? inner::longConnectTimeout : inner::connectTimeout)
        .then([this](base::Result<kj::Own<inner::RpcLink>> linked) -> kj::Promise<base::Error> {
            if (!linked)
                return linked.error();
            m_link = kj::mv(linked.value());
            m_session = m_link->session.castAs<inner::rpc::Peer>();
            m_tasks->add(handshake());
            return inner::whenDisconnected(*m_link);
        })
        .then([this](const base::Error& problem) {
            onLinkLost(problem);
            m_backoff.failures = std::min(m_backoff.failures, maxBackoffFailures);
            return m_timer.afterDelay(policy::waitAfterFailure(m_backoff, std::nullopt, inner::randomNumber()).ms * kj::MILLISECONDS);
        })
        .then([this] { return run(); });
}

kj::Promise<void> PeerLink::handshake()
{
    return requestRecordedCommit().then([this](const RecordedAnswer& answer) {
        m_replica = answer.replica;
        m_ready = true;
        policy::resetBackoff(m_backoff);
        m_connects = 0;
        base::logEvent(base::Event::LinkUp, m_peer.host.text + " at " + m_peer.address.text());
        m_pending = m_hooks.ownReports();
        sendPendingReports();
        m_hooks.up(m_peer.host);
    });
}

void PeerLink::onLinkLost(const base::Error& problem)
{
    if (m_ready)
        base::logEvent(base::Event::LinkDown, m_peer.host.text + ": " + problem.text);
    m_ready = false;
    m_replica = {};
    m_inFlightMessages = 0;
    m_inFlightBytes = 0;
    m_sendingReport = false;
    m_sentStatus.reset();
    m_pending = {};
    m_tasks = kj::heap<kj::TaskSet>(*this);
    m_session = nullptr;
    m_link = nullptr;
}

void PeerLink::sendConsensus(const consensus::Message& message)
{
    const std::string bytes = consensus::encode(message);
    if (!m_ready || m_inFlightMessages >= maxInFlightMessages || (m_inFlightMessages != 0 && m_inFlightBytes + bytes.size() > maxInFlightBytes)) {
        ++m_droppedMessages;
        return;
    }
    ++m_inFlightMessages;
    m_inFlightBytes += bytes.size();
    auto request = m_session.consensusRequest();
    request.setMessage(inner::toData(bytes));
    m_tasks->add(request.send().ignoreResult().then([this, n = bytes.size()] {
        --m_inFlightMessages;
        m_inFlightBytes -= n;
    }));
}

void PeerLink::queueReport(const inner::NodeReport& report)
{
    if (!m_ready)
        return; // a new link starts with all reports, see handshake()
    add(m_pending, report);
    sendPendingReports();
}

void PeerLink::sendSourceLoad(const SourceStatus& status)
{
    const bool sent = m_sentStatus && m_sentStatus->load.subscribers == status.load.subscribers && m_sentStatus->accepts == status.accepts;
    if (!m_ready || sent)
        return;
    m_sentStatus = status;
    auto request = m_session.sourceLoadRequest();
    request.setSubscribers(static_cast<uint32_t>(status.load.subscribers));
    request.setZone(status.load.zone.text);
    request.setAccepts(status.accepts);
    m_tasks->add(request.send().ignoreResult());
}

void PeerLink::sendPendingReports()
{
    if (m_sendingReport || m_pending.empty())
        return;
    m_sendingReport = true;
    const bool urgent = std::any_of(m_pending.endpoints.begin(), m_pending.endpoints.end(), [](const auto& it) { return !it.second.endpoint.suspects.empty(); });
    const base::Duration delay = urgent ? base::Duration {} : reportBatchDelay;
    m_tasks->add(m_timer.afterDelay(delay.ms * kj::MILLISECONDS).then([this] {
                                                                    auto request = m_session.shareRequest();
                                                                    inner::write(request.initReport(), toReport(std::exchange(m_pending, {})));
                                                                    return request.send().ignoreResult();
                                                                })
                     .then([this] {
                         m_sendingReport = false;
                         sendPendingReports();
                     }));
}

kj::Promise<RecordedAnswer> PeerLink::requestRecordedCommit()
{
    KJ_REQUIRE(m_link.get() != nullptr, "no link");
    return m_session.recordedRequest().send().then([](auto&& answer) {
        RecordedAnswer out { { answer.getReplica() }, {} };
        if (inner::failed(answer.getFailure()))
            return out;
        auto meta = consensus::decodeMeta(inner::bytes(answer.getMeta()));
        if (meta)
            out.boot = consensus::BootAnswer { out.replica, meta.value().index, meta.value().members };
        return out;
    });
}

kj::Promise<base::Result<base::ConfigVersion>> PeerLink::requestReleasedVersion(base::LogIndex index)
{
    KJ_REQUIRE(m_ready, "no link");
    auto request = m_session.releasedRequest();
    request.setIndex(index.value);
    return request.send().then([](auto&& answer) -> base::Result<base::ConfigVersion> {
        if (inner::failed(answer.getFailure()))
            return inner::read(answer.getFailure());
        return base::ConfigVersion { answer.getVersion() };
    });
}

kj::Promise<ChangeResult> PeerLink::forward(const std::string& command)
{
    KJ_REQUIRE(m_ready, "no link");
    auto request = m_session.forwardRequest();
    request.setCommand(inner::toData(command));
    return request.send().then([](auto&& answer) {
        return ChangeResult { inner::read(answer.getFailure()), { answer.getVersion() }, inner::text(answer.getText()) };
    });
}

nlohmann::json PeerLink::toJson() const
{
    return { { "host", m_peer.host.text }, { "address", m_peer.address.text() }, { "up", m_ready }, { "replica", m_replica.value },
        { "under_way", m_inFlightMessages }, { "dropped", m_droppedMessages }, { "failures", m_backoff.failures } };
}

} // namespace appletally::control
