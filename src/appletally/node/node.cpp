// Connects the parts of a node and applies the messages of control.
#include "appletally/node/node.h"

#include "appletally/base/log.h"
#include "appletally/base/loop_time.h"
#include "appletally/config/codec.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace appletally::node {

using base::Duration;
using base::Event;
using config::EndpointState;

constexpr Duration tickInterval { 50 };
constexpr Duration suspectRequestsCheckInterval { 10'000 };

// The upstream announces draining only this long before the end of drainTime. It keeps running while its node stops; if it
// drained for the whole stop, a service of three restarted one after the other had no upstream for a second. Other nodes
// learn of the draining within a tenth of this time.
constexpr Duration ownerDrainLead { 500 };

// Final answers are sent this long before the graceful shutdown timeout, so that they can reach their callers.
constexpr Duration finalAnswersLead { 300 };

// Below the second for which an upstream waits for its acknowledgement.
constexpr Duration leavingHeldTimeout { 850 };

static base::Incarnation freshIncarnation()
{
    // Increases with each start; the random low bits distinguish two starts within one millisecond.
    return { static_cast<uint64_t>(base::wallNow().ms) << 16 | (inner::randomNumber() & 0xffff) };
}

static http::ListenerLimits limitsOf(const NodeSettings& settings)
{
    http::ListenerLimits out = settings.limits;
    out.memoryBytes = settings.memoryBytes;
    return out;
}

Node::Node(event_base* loop, NodeSettings settings, base::Channel<inner::ToNode>& fromControl, ToControl toControl)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_fromControl(&fromControl)
    , m_toControl(std::move(toControl))
    , m_incarnation(freshIncarnation())
    , m_suspectRequests({ [this](const std::vector<config::SuspectRequest>& seen) { tellSuspectRequests(seen); },
          [this](const config::SuspectRequest& learned) { relaySuspectRequest(learned); } })
    , m_peers(loop, m_settings.membership,
          { [this](const base::HostId& host, const policy::Load& load) { m_ingress.onLoadReported(host, load); },
              [this](const std::vector<config::SuspectRequest>& told) { onSuspectRequestsTold(told); },
              [this](const base::HostId& host) { m_ingress.onSuspected(host); } })
    , m_claims(loop, m_settings.membership.host, m_incarnation, m_peers)
    , m_owner(loop, { m_settings.membership.host, m_settings.zone, m_incarnation, m_settings.dialect, m_settings.features, m_settings.admission, m_settings.announcementTimeout, m_settings.memoryBytes }, m_claims, m_suspectRequests,
          { [this] { announceEndpoint(); }, [this](const policy::Load& load) {
               m_ownerLinks.broadcastLoad(load);
               m_ingress.onLoadReported(m_settings.membership.host, load); } })
    , m_ownerLinks(
          loop, m_settings.membership, m_owner, m_settings.memoryBytes, [this](const base::HostId&, const std::string& body, const OwnerLinks::Answer& answer) { answer(m_claims.receive(body)); },
          [this](const std::vector<config::SuspectRequest>& told) { onSuspectRequestsTold(told); })
    , m_ingress(loop, { m_settings.membership.host, m_settings.zone, m_settings.service, limitsOf(m_settings), m_settings.dialect, m_settings.features }, m_owner, m_peers, m_claims, m_suspectRequests)
    , m_announcePort(loop, [this](const Announcement& it) { m_owner.announce(it); })
{
    m_controlReadable = event_new(
        loop, fromControl.fd(), EV_READ | EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<Node*>(self)->onControl(); }, this);
    event_add(m_controlReadable, nullptr);
    m_tick = event_new(
        loop, -1, EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<Node*>(self)->onTick(); }, this);
    const timeval every = base::toTimeval(tickInterval);
    event_add(m_tick, &every);
}

Node::~Node()
{
    event_free(m_controlReadable);
    event_free(m_tick);
}

base::Result<NodeAddresses> Node::listen()
{
    const auto inner = m_ownerLinks.listen(m_settings.inner);
    if (!inner)
        return inner.error();
    if (!m_settings.announce.ip.empty()) { // otherwise the upstream uses an ExtraPort
        const auto announce = m_announcePort.listen(m_settings.announce);
        if (!announce)
            return announce.error();
        m_addresses.announce = announce.value();
    }
    const auto callers = m_ingress.listen(m_settings.callers);
    if (!callers)
        return callers.error();
    m_addresses.callers = callers.value();
    m_addresses.inner = inner.value();
    return m_addresses;
}

void Node::onControl()
{
    for (const inner::ToNode& message : m_fromControl->take())
        std::visit([this](const auto& it) { onMessage(it); }, message);
}

void Node::onMessage(const inner::SnapshotReleased& message)
{
    // The link never sends a lower version; going back would undo a version that was reported to an operator as applied.
    if (m_snapshot && message.snapshot->version <= m_snapshot->version)
        return;
    const base::StallTimer timer(m_stalls, base::StallCause::Apply);
    m_snapshot = message.snapshot;
    m_claims.apply(m_snapshot->keepers);
    m_owner.apply(m_snapshot);
    m_ingress.apply(m_snapshot);
    base::logEvent(Event::VersionApplied, std::to_string(m_snapshot->version.value));
    m_toControl(inner::AppliedVersionChanged { m_snapshot->version });
    openIngressIfReady();
}

void Node::openIngressIfReady()
{
    if (m_snapshot && m_endpointsReceived)
        m_ingress.open();
}

void Node::onMessage(const inner::EndpointsChanged& message)
{
    m_endpointsReceived = true;
    std::vector<config::Endpoint> others;
    for (const config::Endpoint& it : message.endpoints) {
        onSuspectRequestsTold(it.suspects);
        if (it.host != m_settings.membership.host)
            others.push_back(it); // for its own upstream, the node's local state is newer
        else {
            outrankPrevious(it.incarnation);
            learnLeaving(it.leaving);
        }
    }
    m_ingress.setEndpoints(others);
    openIngressIfReady();
}

// The time of day may have been set back since this host's previous process started; its records would count as later for as
// long as control keeps them. Once only: two processes with the name of one host must not outbid each other.
void Node::outrankPrevious(base::Incarnation known)
{
    if (m_outranked || !(m_incarnation < known))
        return;
    m_outranked = true;
    m_incarnation = { known.value + 1 };
    if (m_owner.upstream())
        announceEndpoint();
}

// May come after the list of endpoints: control processes tell each other with a delay.
void Node::learnLeaving(const std::optional<config::LeavingUpstream>& told)
{
    const auto later = config::laterLeaving(m_leaving, told);
    if (later == std::exchange(m_leaving, later))
        return;
    if (m_owner.upstream())
        announceEndpoint();
    if (onLeavingLearned)
        onLeavingLearned();
}

void Node::onMessage(const inner::EndpointListRead&)
{
    if (std::exchange(m_historyKnown, true))
        return;
    if (onHistoryKnown)
        onHistoryKnown();
}

void Node::recordLeaving(const config::LeavingUpstream& leaving, std::function<void(bool held)> done)
{
    m_leaving = leaving;
    announceEndpoint();
    m_pendingLeaving.push_back({ m_sequence, base::steadyNow(), std::move(done) });
}

// Later records repeat what earlier ones say of the last leaving, so that a later number confirms an earlier one.
void Node::onMessage(const inner::LeavingHeld& message)
{
    finishLeaving([&](const PendingLeaving& it) { return it.sequence <= message.sequence ? std::optional(true) : std::nullopt; });
}

void Node::finishLeaving(const std::function<std::optional<bool>(const PendingLeaving&)>& outcome)
{
    for (PendingLeaving& it : std::exchange(m_pendingLeaving, {})) {
        if (const auto held = outcome(it))
            it.done(*held);
        else
            m_pendingLeaving.push_back(std::move(it));
    }
}

void Node::onMessage(const inner::ControlReachable& message)
{
    if (m_controlReachable != message.reachable)
        base::logEvent(message.reachable ? Event::ControlFound : Event::ControlLost, "");
    m_controlReachable = message.reachable;
    m_ingress.setConfigurationExpected(message.reachable);
}

void Node::onMessage(const inner::DumpRequested& message) { m_toControl(inner::DumpAnswered { message.id, config::encode(toJson()) }); }

void Node::announceEndpoint()
{
    config::Endpoint it;
    it.host = m_settings.membership.host;
    it.zone = m_settings.zone;
    it.region = m_settings.region;
    it.inner = m_addresses.inner;
    it.state = m_owner.state();
    it.incarnation = m_incarnation;
    it.sequence = { ++m_sequence.value };
    if (const auto& upstream = m_owner.upstream()) {
        it.service = upstream->service;
        it.version = upstream->version;
        it.slots = upstream->slots;
    }
    it.suspects = m_suspectRequests.published();
    it.leaving = m_leaving;
    m_ingress.setEndpoints({ it });
    m_toControl(inner::EndpointAnnounced { it });
}

void Node::onSuspectRequestsTold(const std::vector<config::SuspectRequest>& told)
{
    for (const config::SuspectRequest& it : told)
        m_suspectRequests.onTold(it);
}

// Sent from node to node once for each link of the mesh, so only what is rare and must not wait: ends that confirm others,
// and everything while control is away, which takes seconds to show.
bool Node::isPassedOn(const config::SuspectRequest& it) const
{
    return !m_controlReachable || m_suspectRequests.standingOf(it.key).order > 1;
}

// Callers' nodes on links hear of it before the call's end; all others through control.
void Node::tellSuspectRequests(const std::vector<config::SuspectRequest>& seen)
{
    m_ownerLinks.broadcastLoad(m_owner.currentLoad(), seen);
    for (const config::SuspectRequest& it : seen) {
        if (isPassedOn(it))
            m_peers.tellSuspectRequests({ &it, 1 });
    }
    announceEndpoint();
}

void Node::relaySuspectRequest(const config::SuspectRequest& learned)
{
    if (!isPassedOn(learned))
        return;
    m_ownerLinks.broadcastLoad(m_owner.currentLoad(), { &learned, 1 });
    m_peers.tellSuspectRequests({ &learned, 1 });
}

void Node::onTick()
{
    const base::Time now = base::steadyNow();
    base::addStall(m_stalls, base::StallCause::LateTimer, std::max<int64_t>((now - m_tickedAt - tickInterval).ms, 0) * 1000);
    m_tickedAt = now;
    finishLeaving([&](const PendingLeaving& it) { return now - it.since > leavingHeldTimeout ? std::optional(false) : std::nullopt; });
    const Duration every = m_snapshot ? m_snapshot->timing.report : Duration { 200 };
    if (now - m_reportedAt >= every) {
        m_reportedAt = now;
        std::vector<config::Evidence> evidence = m_owner.takeEvidence();
        if (!evidence.empty())
            m_toControl(inner::EvidenceCollected { std::move(evidence) });
    }
    if (now - m_suspectRequestsCheckedAt >= suspectRequestsCheckInterval) {
        m_suspectRequestsCheckedAt = now;
        m_suspectRequests.forgetOld();
    }
    if (!m_stopped)
        return;
    const Duration stopping = now - m_stopAt;
    drainOwnerWhenDue(stopping);
    if (stopping >= m_settings.drainTime && !m_acceptingStopped) {
        m_acceptingStopped = true;
        m_ingress.stop();
    }
    if (!m_finalAnswersSent && now >= answersDue()) {
        m_finalAnswersSent = true;
        m_ingress.answerPendingRequests();
    }
    const bool idle = m_acceptingStopped && m_ingress.idle() && m_owner.idle() && m_claims.idle();
    if (idle)
        m_ownerLinks.finish();
    const bool done = idle && m_ownerLinks.links() == 0;
    if (!done && stopping < m_settings.gracefulShutdownTimeout)
        return;
    if (!done)
        base::logEvent(Event::GracefulShutdownTimedOut, "requests were still active, or answers not delivered, after " + std::to_string(m_settings.gracefulShutdownTimeout.ms) + " ms");
    const auto stopped = std::move(m_stopped);
    m_stopped = nullptr;
    stopped();
}

base::Time Node::answersDue() const
{
    return m_stopAt + m_settings.gracefulShutdownTimeout - std::min(finalAnswersLead, m_settings.gracefulShutdownTimeout / 4);
}

void Node::drainOwnerWhenDue(Duration stopping)
{
    if (m_ownerDraining || stopping < m_settings.drainTime - ownerDrainLead)
        return;
    m_ownerDraining = true;
    m_owner.drain();
}

void Node::stop(std::function<void()> stopped)
{
    base::logEvent(Event::Stopping, "draining for " + std::to_string(m_settings.drainTime.ms) + " ms, exiting within " + std::to_string(m_settings.gracefulShutdownTimeout.ms) + " ms");
    m_stopped = std::move(stopped);
    m_stopAt = base::steadyNow();
    m_ingress.drain(answersDue());
    m_owner.stopBy(answersDue());
    drainOwnerWhenDue({});
}

bool Node::ready() const { return m_snapshot && m_endpointsReceived && !m_stopped; }

std::string Node::metrics() const
{
    base::MetricsText out;
    m_ingress.writeMetrics(out);
    m_owner.writeMetrics(out);
    m_ownerLinks.writeMetrics(out);
    m_suspectRequests.writeMetrics(out);
    out.add("appletally_config_version", "", static_cast<double>(m_snapshot ? m_snapshot->version.value : 0));
    out.add("appletally_control_reachable", "", m_controlReachable ? 1 : 0);
    out.add("appletally_node_links", "direction=\"in\"", static_cast<double>(m_ownerLinks.links()));
    out.add("appletally_node_links", "direction=\"out\"", static_cast<double>(m_peers.links()));
    writeMetrics(m_stalls, out);
    return out.text();
}

nlohmann::json Node::toJson() const
{
    nlohmann::json out;
    out["program"] = "appletally-node";
    out["host"] = m_settings.membership.host.text;
    out["zone"] = m_settings.zone.text;
    out["versionApplied"] = m_snapshot ? m_snapshot->version.value : 0;
    out["controlReachable"] = m_controlReachable;
    out["owner"] = m_owner.toJson();
    out["ingress"] = m_ingress.toJson();
    const InnerCounts& in = m_ownerLinks.counts();
    out["claims"] = m_claims.toJson();
    out["suspects"] = m_suspectRequests.toJson();
    out["links"] = { { "in", m_ownerLinks.links() }, { "out", m_peers.links() }, { "accepted", in.accepted }, { "refused", in.refused }, { "lost", in.lost } };
    out["events"] = base::recentEvents();
    return out;
}

} // namespace appletally::node
