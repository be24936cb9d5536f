// Whole documents, traffic changes and evacuations without numbers, for an operators' port with another protocol.
//
// Documents are processed one at a time: each is compared with its predecessor, so that only the difference goes into the
// log. A follower answers NotLeader and the port redirects the operator to the leader; forwarding through a process that
// may have lost its link to the leader would be another place where an answer can get lost.
#include "appletally/base/log.h"
#include "appletally/control/process.h"

#include <algorithm>

namespace appletally::control {

namespace {

    // How long an operator's answer waits until all nodes have confirmed that they applied the version. They take a tenth
    // of it; a node that takes longer is unreachable and must first find another source.
    constexpr base::Duration appliedTimeout { 600 };

    constexpr size_t maxLoggedNodes = 10; // per log line

    base::Error notLeader() { return base::fail(base::Code::NotLeader, "this process is not the leader"); }

    base::Error errorOf(const config::Outcome& outcome) { return { outcome.code, outcome.text, {} }; }

} // namespace

base::HostId ControlProcess::leaderHost() const
{
    if (!m_replica)
        return {};
    const consensus::Replica& replica = m_replica->replica();
    const consensus::Member* leader = consensus::findMember(consensus::latestMembers(replica), replica.leader);
    return leader ? leader->host : base::HostId {};
}

kj::Promise<base::Result<const config::State*>> ControlProcess::committedState()
{
    using Answer = base::Result<const config::State*>;
    if (!m_replica || !m_leading)
        return Answer(notLeader());
    return m_replica->readIndex().then([this](const base::Result<base::LogIndex>& index) -> Answer {
        if (!index)
            return index.error();
        return &m_state;
    });
}

kj::Promise<base::Result<void>> ControlProcess::submitDocument(config::Document document)
{
    if (!m_replica || !m_leading)
        return base::Result<void>(notLeader());
    ++m_pendingChanges;
    auto shared = std::make_shared<const config::Document>(std::move(document));
    auto proposed = m_documentQueue.addBranch().then([this, shared] { return proposeDocument(shared); }).fork();
    m_documentQueue = proposed.addBranch().ignoreResult().catch_([](kj::Exception&&) {}).fork(); // the next document follows whether or not this one succeeds
    return proposed.addBranch()
        .then([this](base::Result<base::ConfigVersion> version) -> kj::Promise<base::Result<void>> {
            if (!version)
                return base::Result<void>(version.error());
            return waitUntilApplied(version.value()).then([]() -> base::Result<void> { return base::success(); });
        })
        .attach(kj::defer([this] { --m_pendingChanges; }));
}

kj::Promise<base::Result<base::ConfigVersion>> ControlProcess::proposeDocument(const std::shared_ptr<const config::Document>& document)
{
    using Answer = base::Result<base::ConfigVersion>;
    if (!m_leading)
        return Answer(notLeader());
    const config::DocumentRecord& record = m_state.document;
    if (config::wasAccepted(record, document->id))
        return Answer(m_state.snapshot.version);
    if (document->id.base != record.current.number || document->id.number <= record.current.number)
        return recheckConflict(document);
    const config::SubmitDocument command { document->id, config::changeFrom(record.texts, *document), leaderTime() };
    return proposeForVersion(command);
}

// Returns the version that the command created, or the current one if it changed nothing.
kj::Promise<base::Result<base::ConfigVersion>> ControlProcess::proposeForVersion(const config::Command& command)
{
    using Answer = base::Result<base::ConfigVersion>;
    return m_replica->propose(config::encodeForLog(command)).then([this](base::Result<base::LogIndex> index) -> Answer {
        if (!index)
            return index.error();
        const auto outcome = m_outcomes.find(index.value());
        if (outcome == m_outcomes.end())
            return base::fail(base::Code::OutcomePending, "committed, but its outcome is not in memory; resend");
        if (outcome->second.code != base::Code::Ok)
            return errorOf(outcome->second);
        return outcome->second.version;
    });
}

// A new leader may not have applied all committed entries yet, and would then reject the resend of a document that was
// accepted. Therefore a conflict is checked again after a linearizable read.
kj::Promise<base::Result<base::ConfigVersion>> ControlProcess::recheckConflict(const std::shared_ptr<const config::Document>& document)
{
    using Answer = base::Result<base::ConfigVersion>;
    return m_replica->readIndex().then([this, document](const base::Result<base::LogIndex>& index) -> kj::Promise<Answer> {
        if (!index)
            return Answer(index.error());
        const config::DocumentRecord& record = m_state.document;
        const config::DocumentNumber current = record.current.number;
        if (config::wasAccepted(record, document->id))
            return Answer(m_state.snapshot.version);
        if (document->id.base != current)
            return Answer(base::fail(base::Code::VersionConflict, "document " + std::to_string(current.value) + " is current, not " + std::to_string(document->id.base.value)));
        if (document->id.number <= current)
            return Answer(base::fail(base::Code::AnswersInvalid, "the document's number must be above " + std::to_string(current.value)));
        return proposeDocument(document);
    });
}

kj::Promise<void> ControlProcess::waitUntilApplied(base::ConfigVersion version)
{
    if (countApplied(m_convergence, version) == m_convergence.nodes.size())
        return kj::READY_NOW;
    auto waiter = kj::newPromiseAndFulfiller<void>();
    m_appliedWaiters.push_back({ version, kj::mv(waiter.fulfiller) });
    return waiter.promise.exclusiveJoin(m_timer.afterDelay(appliedTimeout.ms * kj::MILLISECONDS).then([this, version] { onAppliedTimeout(version); }));
}

void ControlProcess::onAppliedTimeout(base::ConfigVersion version)
{
    ++m_appliedTimeouts;
    const std::vector<base::HostId> lacking = nodesBelow(m_convergence, version);
    std::string names;
    for (size_t n = 0; n < std::min(lacking.size(), maxLoggedNodes); ++n)
        names += " " + lacking[n].text;
    base::logEvent(base::Event::AcknowledgedBeforeAll, "version " + std::to_string(version.value) + ": " + std::to_string(lacking.size()) + " of " + std::to_string(m_convergence.nodes.size()) + " nodes have not confirmed it within " + std::to_string(appliedTimeout.ms) + " ms:" + names);
}

void ControlProcess::wakeAppliedWaiters()
{
    std::erase_if(m_appliedWaiters, [&](AppliedWaiter& it) {
        if (!it.fulfiller->isWaiting())
            return true;
        const bool there = countApplied(m_convergence, it.version) == m_convergence.nodes.size();
        if (there)
            it.fulfiller->fulfill();
        return there;
    });
}

// The version that most upstreams of the service run, other than `besides` and the empty version.
base::UpstreamVersion ControlProcess::mostDeployedVersion(const base::ServiceName& service, const base::UpstreamVersion& besides) const
{
    config::ReadyByVersion counts = config::readyUpstreams(m_endpoints, service);
    counts.erase(besides);
    counts.erase(base::UpstreamVersion {});
    const auto most = std::max_element(counts.begin(), counts.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    return most == counts.end() ? base::UpstreamVersion {} : most->first;
}

kj::Promise<base::Result<void>> ControlProcess::setZoneEvacuated(config::SetZoneEvacuated command)
{
    using Answer = base::Result<void>;
    if (!m_replica || !m_leading)
        return Answer(notLeader());
    if (!isKnownZone(command.zone))
        return Answer(base::fail(base::Code::AnswersInvalid, "no availability zone " + command.zone.text));
    command.at = leaderTime();
    ++m_pendingChanges;
    return proposeForVersion(command)
        .then([this](const base::Result<base::ConfigVersion>& version) -> kj::Promise<Answer> {
            if (!version)
                return Answer(version.error());
            return waitUntilApplied(version.value()).then([]() -> Answer { return base::success(); });
        })
        .attach(kj::defer([this] { --m_pendingChanges; }));
}

// The end of an evacuation is accepted for every zone that is evacuated, whatever the settings name now.
bool ControlProcess::isKnownZone(const base::ZoneName& zone) const
{
    if (m_settings.zones.empty() || m_state.snapshot.evacuatedZones.contains(zone))
        return true;
    return std::find(m_settings.zones.begin(), m_settings.zones.end(), zone) != m_settings.zones.end();
}

kj::Promise<base::Result<void>> ControlProcess::moveTraffic(config::MoveTraffic command)
{
    using Answer = base::Result<void>;
    if (!m_replica || !m_leading)
        return Answer(notLeader());
    const auto known = m_state.traffic.find(command.service);
    command.from = known != m_state.traffic.end() && !known->second.empty() ? known->second : mostDeployedVersion(command.service, command.to);
    command.at = leaderTime();
    if (command.from.empty())
        return Answer(base::fail(base::Code::NotReady, "no upstream of " + command.service.text + " with another version is known yet"));
    ++m_pendingChanges;
    return proposeForVersion(command)
        .then([](const base::Result<base::ConfigVersion>& version) -> Answer {
            if (!version)
                return version.error();
            return base::success();
        })
        .attach(kj::defer([this] { --m_pendingChanges; }));
}

} // namespace appletally::control
