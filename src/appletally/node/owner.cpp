// The owner's view of its upstream: announcements, local version decisions, evidence. Calls are run in owner_run.cpp, the
// rate of requests is kept in owner_rate.cpp.
#include "appletally/node/owner_call.h"

#include "appletally/base/log.h"
#include "appletally/base/loop_time.h"
#include "appletally/policy/planned_stop.h"

#include <algorithm>
#include <strings.h>

namespace appletally::node {

using base::Code;
using base::Duration;
using base::Time;
using config::EndpointState;
using policy::RunEnd;

// A draining upstream keeps serving for about two seconds. Calls that still wait for a slot after one second are refused, so
// that they go elsewhere instead of reaching a stopped upstream.
constexpr Duration maxQueueTimeWhileDraining { 1000 };

constexpr Duration busyTickInterval { 5 }; // upper bound on the delay of a refusal that has become certain
constexpr Duration idleTickInterval { 250 }; // only announcements expire then; an idle node should use next to no CPU

Owner::Owner(event_base* loop, OwnerSettings settings, Claims& claims, SuspectRegistry& suspectRequests, Events events)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_claims(&claims)
    , m_suspectRequests(&suspectRequests)
    , m_events(std::move(events))
{
    m_admission.options = m_settings.admission;
    m_tick = event_new(
        loop, -1, EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<Owner*>(self)->onTick(); }, this);
    setTick(false);
}

void Owner::setTick(bool busy)
{
    if (m_tickBusy == busy)
        return;
    m_tickBusy = busy;
    const timeval every = base::toTimeval(busy ? busyTickInterval : idleTickInterval);
    event_add(m_tick, &every);
}

Owner::~Owner() { event_free(m_tick); }

Owner::ActiveCall* Owner::find(OwnerCallId id)
{
    auto it = m_calls.find(id);
    return it == m_calls.end() ? nullptr : it->second.get();
}

EndpointState Owner::state() const
{
    if (!m_upstream)
        return EndpointState::Gone;
    return m_draining || m_leaving ? EndpointState::Draining : m_upstream->state;
}

policy::Load Owner::currentLoad() const { return policy::load(m_admission, base::steadyNow()); }

bool Owner::isEvacuated() const { return m_snapshot && m_snapshot->evacuatedZones.contains(m_settings.zone); }

static base::Error zoneEvacuated(const base::ZoneName& zone)
{
    constexpr Duration otherNodesApply { 100 }; // the caller's node learns of the evacuation within this time
    return base::fail(Code::ZoneEvacuated, "availability zone " + zone.text + " is evacuated", otherNodesApply);
}

// Returns why the call cannot be offered to admission, if so; all of these errors are proven "not run".
std::optional<base::Error> Owner::findRefusal(const Call& call) const
{
    if (state() == EndpointState::Draining)
        return base::fail(Code::Draining, "the upstream is draining");
    if (state() != EndpointState::Ready || m_upstream->service != call.service)
        return base::fail(Code::NoUpstream, "no ready upstream of " + call.service.text + " here");
    if (isEvacuated())
        return zoneEvacuated(m_settings.zone);
    if (!m_snapshot && policy::isCold(m_coldStart, base::steadyNow()))
        return base::fail(Code::NotReady, "the upstream is cold, and the rate that it takes is not known yet");
    if (const auto it = m_localDecisions.find(m_upstream->version); it != m_localDecisions.end() && !policy::mayRun(it->second))
        return base::fail(Code::VersionRolledBack, it->second.reason);
    return {};
}

std::optional<base::Error> Owner::findStop(const Call& call) const
{
    if (!m_stop)
        return {};
    constexpr int spread = 2; // runs vary by about their own mean
    const Time now = base::steadyNow();
    const auto mean = policy::observedRun(m_admission.runs, call.route);
    if (policy::endsBefore(*m_stop, { mean ? std::optional(*mean * spread) : std::nullopt, call.expected, call.deadline - now, call.idempotent }, now))
        return {};
    return base::fail(Code::Draining, "the node beside the upstream is stopping, and the call would not end before");
}

policy::LocalVersionMonitor* Owner::localDecision()
{
    if (!m_upstream)
        return nullptr;
    auto it = m_localDecisions.find(m_upstream->version);
    if (it == m_localDecisions.end()) {
        it = m_localDecisions.emplace(m_upstream->version, policy::startLocalVersionMonitor(m_settings.host, m_settings.incarnation, m_upstream->service, m_upstream->version, base::steadyNow())).first;
        if (m_snapshot)
            policy::onSnapshot(it->second, *m_snapshot);
    }
    return &it->second;
}

void Owner::onTick()
{
    const Time now = base::steadyNow();
    updateRate();
    noteStrayBytes();
    expireLostRuns();
    applyFollowup(policy::tick(m_admission, now));
    if (m_upstream && now - m_announcedAt > m_settings.announcementTimeout)
        removeUpstream("its announcement expired");
    if (m_drainingSince && now - *m_drainingSince > maxQueueTimeWhileDraining)
        refuseQueued(base::fail(Code::Draining, "the upstream is draining"));
    admitHeld();
    setTick(!m_calls.empty());
}

void Owner::noteStrayBytes()
{
    const bool before = std::exchange(m_connectionsUsedOnce, m_client && m_client->usesConnectionsOnce());
    if (m_connectionsUsedOnce && !before)
        base::logEvent(base::Event::StrayBytes, m_client->address().text());
}

void Owner::onUpstreamLeft()
{
    if (m_upstream)
        removeUpstream("it deregistered");
}

void Owner::removeUpstream(const std::string& why)
{
    base::logEvent(base::Event::UpstreamLeft, m_upstream->service.text + " " + m_upstream->version.text + ": " + why);
    m_upstream.reset();
    m_drainingSince.reset();
    m_admission.suspended = true;
    policy::drain(m_admission, base::steadyNow());
    refuseQueued(base::fail(Code::NoUpstream, "the upstream is gone"));
    m_events.load(currentLoad());
    m_events.changed();
}

void Owner::refuseQueued(const base::Error& error)
{
    std::vector<OwnerCallId> waiting;
    for (const auto& [id, it] : m_calls) {
        if (it->stage == Stage::Offered && (it->offered || it->heldSince))
            waiting.push_back(id);
    }
    for (const OwnerCallId id : waiting) {
        if (ActiveCall* it = find(id))
            releaseAndRefuse(*it, error);
    }
}

void Owner::announce(const Announcement& announcement)
{
    const bool first = !m_upstream;
    const bool becameReady = announcement.state == EndpointState::Ready && (first || m_upstream->state != EndpointState::Ready || m_upstream->version != announcement.version);
    const bool another = !isSameProcess(announcement);
    const bool restarted = another || m_process->startedAtMs != announcement.startedAtMs;
    const bool changed = first || restarted || m_upstream->state != announcement.state || m_upstream->slots != announcement.slots || m_upstream->service != announcement.service;
    m_announcedAt = base::steadyNow();
    if (restarted)
        onUpstreamEnded("another process announces itself");
    if (another) {
        replaceClient(announcement);
        policy::upstreamStarted(m_admission, m_announcedAt + std::min(announcement.slowStartRemaining, policy::slowStart) - policy::slowStart);
        m_rate.reset();
        m_rateUntil.reset();
    }
    m_upstream = m_process = announcement;
    const config::Service* service = upstreamService();
    if (announcement.coldRemaining)
        policy::announceCold(m_coldStart, *announcement.coldRemaining, restarted, m_announcedAt);
    else if (restarted)
        policy::announceCold(m_coldStart, service ? service->coldWindow : Duration {}, true, m_announcedAt);
    updateRate();
    if (restarted) {
        m_leaving = isLeaving(announcement);
        setLimit({});
    }
    if (becameReady)
        policy::onUpstreamReady(*localDecision(), m_announcedAt);
    if (!changed)
        return;
    m_admission.suspended = false;
    if (announcement.state == EndpointState::Draining || m_leaving) {
        m_drainingSince = m_drainingSince.value_or(m_announcedAt);
        applyFollowup(policy::drain(m_admission, m_announcedAt));
    } else if (!m_draining) {
        m_drainingSince.reset();
        m_admission.draining = false;
        applyFollowup(policy::setSlots(m_admission, announcement.slots, m_announcedAt));
    }
    base::logEvent(state() == EndpointState::Draining ? base::Event::UpstreamLeft : base::Event::UpstreamAnnounced,
        announcement.service.text + " " + announcement.version.text + " at " + announcement.address.text());
    m_events.load(currentLoad());
    m_events.changed();
}

// One that was only removed, because its announcement expired, goes on with its runs.
bool Owner::isSameProcess(const Announcement& it) const
{
    if (!m_process || m_process->address != it.address || m_process->version != it.version || m_process->id != it.id)
        return false;
    const bool bornKnown = m_process->startedAtMs != 0 && it.startedAtMs != 0;
    return bornKnown ? m_process->startedAtMs == it.startedAtMs : m_upstream.has_value();
}

// Ending a run frees its slot. Nothing may start before the next process is in place: it would be sent to the process that
// is gone.
void Owner::replaceClient(const Announcement& next)
{
    m_admission.suspended = true;
    finishLostCalls();
    std::vector<OwnerCallId> all;
    for (const auto& [id, it] : m_calls)
        all.push_back(id);
    for (const OwnerCallId id : all) {
        if (ActiveCall* it = find(id))
            failRun(*it, base::fail(Code::OutcomeUnknown, "the upstream was replaced"));
    }
    const bool takesWaiting = m_process && m_process->service == next.service && m_process->version == next.version;
    if (!takesWaiting)
        refuseQueued(base::fail(Code::NoUpstream, "an upstream of another service or version has taken its place"));
    m_client = std::make_unique<http::UpstreamClient>(m_loop, next.address);
}

void Owner::stopBy(Time stop) { m_stop = stop; }

void Owner::drain()
{
    if (m_draining)
        return;
    m_draining = true;
    applyFollowup(policy::drain(m_admission, base::steadyNow()));
    m_events.load(currentLoad());
    m_events.changed();
}

void Owner::apply(std::shared_ptr<const config::Snapshot> snapshot)
{
    const bool wasEvacuated = isEvacuated();
    const bool wasUnconfigured = !m_snapshot;
    m_snapshot = std::move(snapshot);
    for (auto& [version, it] : m_localDecisions)
        policy::onSnapshot(it, *m_snapshot);
    if (isEvacuated() && !wasEvacuated)
        refuseQueued(zoneEvacuated(m_settings.zone));
    const bool unknownStart = wasUnconfigured && m_upstream && !m_upstream->coldRemaining;
    if (unknownStart || (!isEvacuated() && wasEvacuated)) // without requests its caches went cold
        onRestartSuspected();
    updateRate();
}

void Owner::record(const ActiveCall& it, RunEnd how)
{
    if (how != RunEnd::Good && how != RunEnd::Failed)
        return;
    auto found = m_localDecisions.find(it.version);
    if (found == m_localDecisions.end())
        return;
    const bool before = found->second.stopped;
    policy::onLocalAnswer(found->second, { it.call.route, how == RunEnd::Failed, Duration { it.ranMicros / 1000 }, it.upstreamBusy, it.call.baseline }, base::steadyNow());
    if (!before && found->second.stopped) {
        base::logEvent(base::Event::VersionStoppedLocally, it.version.text + ": " + found->second.reason);
        m_events.changed();
    }
}

std::vector<config::Evidence> Owner::takeEvidence()
{
    std::vector<config::Evidence> out;
    for (const auto& [version, decision] : m_localDecisions) {
        // Reported only during a rollout: without this limit, counters that no decision uses made up two thirds of control's
        // traffic. They are cumulative, so a rollout's first report includes the history that the new version is compared with.
        if (!m_snapshot || !config::rolloutRuns(*m_snapshot, decision.service))
            continue;
        for (const config::Evidence& it : policy::evidenceReports(decision)) {
            const uint64_t seen = it.answers + it.coldAnswers + (it.stoppedHere ? 1 : 0);
            uint64_t& reported = m_reportedAnswers[{ it.route, version }];
            if (reported == seen)
                continue;
            reported = seen;
            out.push_back(it);
        }
    }
    return out;
}

void Owner::writeMetrics(base::MetricsText& out) const
{
    const auto count = [&](const char* name, const char* label, uint64_t n) { out.add(name, label, static_cast<double>(n)); };
    count("appletally_calls_total", "outcome=\"ran\"", m_counts.ran);
    count("appletally_calls_total", "outcome=\"refused\"", m_counts.refused);
    count("appletally_calls_total", "outcome=\"cancelled\"", m_counts.cancelled);
    count("appletally_calls_total", "outcome=\"failed\"", m_counts.failed);
    count("appletally_upstream_ends_total", "", m_counts.upstreamEnds);
    out.add("appletally_upstream_run_ms", "", m_runTime);
    const policy::Load load = currentLoad();
    out.add("appletally_upstream_calls", "stage=\"running\"", load.running);
    out.add("appletally_upstream_calls", "stage=\"waiting\"", load.waiting);
    out.add("appletally_upstream_slots", "", load.slots);
    out.add("appletally_upstream_limit", "", m_limit.value_or(0));
    out.add("appletally_upstream_cold", "", m_cold ? 1 : 0);
    out.add("appletally_upstream_leaving", "", m_leaving ? 1 : 0);
    count("appletally_upstream_notices_unreadable_total", "field=\"limit\"", m_counts.unreadableLimits);
    count("appletally_upstream_notices_unreadable_total", "field=\"leaving\"", m_counts.unreadableLeavings);
    if (!m_client)
        return;
    const http::ClientCounts& connections = m_client->counts();
    count("appletally_upstream_connections_total", "kind=\"new\"", connections.dialed);
    count("appletally_upstream_connections_total", "kind=\"kept\"", connections.reused);
    count("appletally_upstream_connections_total", "kind=\"stray_answer\"", connections.unsolicitedAnswers);
    count("appletally_upstream_connections_total", "kind=\"stray_bytes\"", connections.unsolicitedBytes);
    count("appletally_upstream_connections_total", "kind=\"ended_idle\"", connections.endedIdle);
    out.add("appletally_upstream_connections_used_once", "", m_client->usesConnectionsOnce() ? 1 : 0);
}

nlohmann::json Owner::toJson() const
{
    nlohmann::json out;
    const policy::Load load = currentLoad();
    if (m_upstream) {
        out["upstream"] = { { "id", m_upstream->id }, { "service", m_upstream->service.text }, { "version", m_upstream->version.text }, { "address", m_upstream->address.text() },
            { "slots", m_upstream->slots }, { "state", static_cast<int>(state()) } };
    }
    out["load"] = { { "running", load.running }, { "waiting", load.waiting }, { "slots", load.slots }, { "draining", load.draining } };
    out["counts"] = { { "ran", m_counts.ran }, { "refused", m_counts.refused }, { "cancelled", m_counts.cancelled }, { "failed", m_counts.failed } };
    out["runMicros"] = m_runTime.toJson();
    for (const auto& [version, decision] : m_localDecisions) {
        out["versions"][version.text] = { { "judged", decision.monitored }, { "stopped", decision.stopped }, { "why", decision.reason } };
        for (const config::Evidence& it : policy::evidenceReports(decision))
            out["evidence"].push_back({ { "route", it.route.text }, { "version", it.version.text }, { "answers", it.answers }, { "failures", it.failures } });
    }
    return out;
}

} // namespace appletally::node
