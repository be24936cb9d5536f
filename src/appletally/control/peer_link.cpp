// One link between control processes; see the header.
#include "appletally/control/peer_link.h"

#include "appletally/base/log.h"
#include "appletally/inner/rpc_wire.h"

#include <algorithm>

namespace appletally::control {

namespace {

    // A peer that takes nothing must not fill this process's memory with appends that it will ask for again anyway.
    constexpr size_t mostUnderWay = 256;
    constexpr size_t mostUnderWayBytes = 4u << 20;

    // Reports of many nodes leave as one message; the delay is part of an endpoint's way to the other nodes.
    constexpr base::Duration sharePause { 10 };

    constexpr uint64_t patientEvery = 3; // connects; see longConnectTimeout

    // Voters find each other again quickly: until then a leader may lack its majority.
    constexpr int mostCountedFailures = 1; // waits of at most 200 ms; there are a dozen control processes and no herd

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
    const bool patient = ++m_connects % patientEvery == 0;
    return inner::connect(m_io, m_membership, m_peer.address, inner::rpc::Role::PEER, patient ? inner::longConnectTimeout : inner::connectTimeout)
        .then([this](base::Result<kj::Own<inner::RpcLink>> linked) -> kj::Promise<base::Error> {
            if (!linked)
                return linked.error();
            m_link = kj::mv(linked.value());
            m_session = m_link->session.castAs<inner::rpc::Peer>();
            m_tasks->add(introduce());
            return inner::whenDisconnected(*m_link);
        })
        .then([this](const base::Error& problem) {
            lost(problem);
            m_backoff.failures = std::min(m_backoff.failures, mostCountedFailures);
            return m_timer.afterDelay(policy::waitAfterFailure(m_backoff, std::nullopt, inner::randomNumber()).ms * kj::MILLISECONDS);
        })
        .then([this] { return run(); });
}

kj::Promise<void> PeerLink::introduce()
{
    return recorded().then([this](const RecordedAnswer& answer) {
        m_replica = answer.replica;
        m_ready = true;
        policy::succeeded(m_backoff);
        m_connects = 0;
        base::logEvent(base::Event::LinkUp, m_peer.host.text + " at " + m_peer.address.text());
        m_pending = m_hooks.ownReports();
        sendShare();
        m_hooks.up(m_peer.host);
    });
}

void PeerLink::lost(const base::Error& problem)
{
    if (m_ready)
        base::logEvent(base::Event::LinkDown, m_peer.host.text + ": " + problem.text);
    m_ready = false;
    m_replica = {};
    m_underWay = 0;
    m_underWayBytes = 0;
    m_sharing = false;
    m_pending = {};
    m_tasks = kj::heap<kj::TaskSet>(*this);
    m_session = nullptr;
    m_link = nullptr;
}

void PeerLink::consensus(const consensus::Message& message)
{
    const std::string bytes = consensus::encode(message);
    if (!m_ready || m_underWay >= mostUnderWay || (m_underWay != 0 && m_underWayBytes + bytes.size() > mostUnderWayBytes)) {
        ++m_dropped;
        return;
    }
    ++m_underWay;
    m_underWayBytes += bytes.size();
    auto ask = m_session.consensusRequest();
    ask.setMessage(inner::toData(bytes));
    m_tasks->add(ask.send().ignoreResult().then([this, n = bytes.size()] {
        --m_underWay;
        m_underWayBytes -= n;
    }));
}

void PeerLink::share(const inner::NodeReport& report)
{
    if (!m_ready)
        return; // a new link is told everything
    add(m_pending, report);
    sendShare();
}

void PeerLink::sendShare()
{
    if (m_sharing || m_pending.empty())
        return;
    m_sharing = true;
    m_tasks->add(m_timer.afterDelay(sharePause.ms * kj::MILLISECONDS).then([this] {
                                                                         auto ask = m_session.shareRequest();
                                                                         inner::write(ask.initReport(), toReport(std::exchange(m_pending, {})));
                                                                         return ask.send().ignoreResult();
                                                                     })
                     .then([this] {
                         m_sharing = false;
                         sendShare();
                     }));
}

kj::Promise<RecordedAnswer> PeerLink::recorded()
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

kj::Promise<base::Result<base::ConfigVersion>> PeerLink::released(base::LogIndex index)
{
    KJ_REQUIRE(m_ready, "no link");
    auto ask = m_session.releasedRequest();
    ask.setIndex(index.value);
    return ask.send().then([](auto&& answer) -> base::Result<base::ConfigVersion> {
        if (inner::failed(answer.getFailure()))
            return inner::read(answer.getFailure());
        return base::ConfigVersion { answer.getVersion() };
    });
}

kj::Promise<ChangeAnswer> PeerLink::forward(const std::string& command)
{
    KJ_REQUIRE(m_ready, "no link");
    auto ask = m_session.forwardRequest();
    ask.setCommand(inner::toData(command));
    return ask.send().then([](auto&& answer) {
        return ChangeAnswer { inner::read(answer.getFailure()), { answer.getVersion() }, inner::text(answer.getText()) };
    });
}

nlohmann::json PeerLink::toJson() const
{
    return { { "host", m_peer.host.text }, { "address", m_peer.address.text() }, { "up", m_ready }, { "replica", m_replica.value },
        { "under_way", m_underWay }, { "dropped", m_dropped }, { "failures", m_backoff.failures } };
}

} // namespace appletally::control
