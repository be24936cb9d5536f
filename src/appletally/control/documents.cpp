// Whole documents and unnumbered moves of traffic, for an operators' port that speaks another protocol than ours.
//
// Documents are taken one at a time: each is judged against the one before it, so that only its difference goes into the
// log. Whoever does not lead says so, and the port sends the operator to the leader; a second way through a process that
// may have lost the leader would only be one more place where an answer can get lost.
#include "appletally/base/log.h"
#include "appletally/control/process.h"

#include <algorithm>

namespace appletally::control {

namespace {

    // How long an operator's answer waits for nodes to confirm that they have the version in force. They take a tenth of
    // it; one that takes longer is out of reach and must find another source first.
    constexpr base::Duration inForceLimit { 600 };

    constexpr size_t mostNodesNamed = 10; // in one line of the log

    base::Error notLeading() { return base::fail(base::Code::NotLeader, "another process leads"); }

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

kj::Promise<base::Result<const config::State*>> ControlProcess::agreed()
{
    using Answer = base::Result<const config::State*>;
    if (!m_replica || !m_leading)
        return Answer(notLeading());
    return m_replica->readIndex().then([this](const base::Result<base::LogIndex>& index) -> Answer {
        if (!index)
            return index.error();
        return &m_state;
    });
}

kj::Promise<base::Result<void>> ControlProcess::submitDocument(config::Document document)
{
    if (!m_replica || !m_leading)
        return base::Result<void>(notLeading());
    ++m_changesUnderWay;
    auto shared = std::make_shared<const config::Document>(std::move(document));
    auto proposed = m_documentTurn.addBranch().then([this, shared] { return proposeDocument(shared); }).fork();
    m_documentTurn = proposed.addBranch().ignoreResult().catch_([](kj::Exception&&) {}).fork(); // the next one has its turn whatever became of this one
    return proposed.addBranch()
        .then([this](base::Result<base::ConfigVersion> version) -> kj::Promise<base::Result<void>> {
            if (!version)
                return base::Result<void>(version.error());
            return inForceEverywhere(version.value()).then([]() -> base::Result<void> { return base::success(); });
        })
        .attach(kj::defer([this] { --m_changesUnderWay; }));
}

kj::Promise<base::Result<base::ConfigVersion>> ControlProcess::proposeDocument(const std::shared_ptr<const config::Document>& document)
{
    using Answer = base::Result<base::ConfigVersion>;
    if (!m_leading)
        return Answer(notLeading());
    const config::DocumentRecord& record = m_state.document;
    if (config::wasAccepted(record, document->id))
        return Answer(m_state.snapshot.version);
    if (document->id.base != record.current.number || document->id.number <= record.current.number)
        return judgeConflict(document);
    const config::SubmitDocument command { document->id, config::changeFrom(record.texts, *document), leadNow() };
    return proposeForVersion(command);
}

// The version that the command made, or in force where it changed nothing.
kj::Promise<base::Result<base::ConfigVersion>> ControlProcess::proposeForVersion(const config::Command& command)
{
    using Answer = base::Result<base::ConfigVersion>;
    return m_replica->propose(config::encodeForLog(command)).then([this](base::Result<base::LogIndex> index) -> Answer {
        if (!index)
            return index.error();
        const auto outcome = m_outcomes.find(index.value());
        if (outcome == m_outcomes.end())
            return base::fail(base::Code::OutcomePending, "committed, but its outcome is not at hand; resend");
        if (outcome->second.code != base::Code::Ok)
            return errorOf(outcome->second);
        return outcome->second.version;
    });
}

// A leader that is new may not have applied everything yet. Refused by what it knows then, a document that was accepted
// would be refused when it is resent; so a majority is asked first.
kj::Promise<base::Result<base::ConfigVersion>> ControlProcess::judgeConflict(const std::shared_ptr<const config::Document>& document)
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
            return Answer(base::fail(base::Code::VersionConflict, "document " + std::to_string(current.value) + " is in force, not " + std::to_string(document->id.base.value)));
        if (document->id.number <= current)
            return Answer(base::fail(base::Code::AnswersInvalid, "the document's number is not above " + std::to_string(current.value)));
        return proposeDocument(document);
    });
}

kj::Promise<void> ControlProcess::inForceEverywhere(base::ConfigVersion version)
{
    if (inForce(m_convergence, version) == m_convergence.nodes.size())
        return kj::READY_NOW;
    auto asked = kj::newPromiseAndFulfiller<void>();
    m_inForceWaiters.push_back({ version, kj::mv(asked.fulfiller) });
    return asked.promise.exclusiveJoin(m_timer.afterDelay(inForceLimit.ms * kj::MILLISECONDS).then([this, version] { answerBeforeAll(version); }));
}

void ControlProcess::answerBeforeAll(base::ConfigVersion version)
{
    ++m_answeredBeforeAll;
    const std::vector<base::HostId> lacking = nodesBelow(m_convergence, version);
    std::string names;
    for (size_t n = 0; n < std::min(lacking.size(), mostNodesNamed); ++n)
        names += " " + lacking[n].text;
    base::logEvent(base::Event::AcknowledgedBeforeAll, "version " + std::to_string(version.value) + ": " + std::to_string(lacking.size()) + " of " + std::to_string(m_convergence.nodes.size()) + " nodes have not confirmed it after " + std::to_string(inForceLimit.ms) + " ms:" + names);
}

void ControlProcess::wakeInForceWaiters()
{
    std::erase_if(m_inForceWaiters, [&](InForceWaiter& it) {
        if (!it.fulfiller->isWaiting())
            return true;
        const bool there = inForce(m_convergence, it.version) == m_convergence.nodes.size();
        if (there)
            it.fulfiller->fulfill();
        return there;
    });
}

// The one that most upstreams of the service run, besides the one that is to take over.
base::UpstreamVersion ControlProcess::versionWithTraffic(const base::ServiceName& service, const base::UpstreamVersion& besides) const
{
    config::ReadyByVersion counts = config::readyUpstreams(m_endpoints, service);
    counts.erase(besides);
    counts.erase(base::UpstreamVersion {});
    const auto most = std::max_element(counts.begin(), counts.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    return most == counts.end() ? base::UpstreamVersion {} : most->first;
}

kj::Promise<base::Result<void>> ControlProcess::moveTraffic(config::MoveTraffic command)
{
    using Answer = base::Result<void>;
    if (!m_replica || !m_leading)
        return Answer(notLeading());
    const auto known = m_state.traffic.find(command.service);
    command.from = known != m_state.traffic.end() && !known->second.empty() ? known->second : versionWithTraffic(command.service, command.to);
    command.at = leadNow();
    if (command.from.empty())
        return Answer(base::fail(base::Code::NotReady, "no upstream of " + command.service.text + " with another version is known yet"));
    ++m_changesUnderWay;
    return proposeForVersion(command)
        .then([](const base::Result<base::ConfigVersion>& version) -> Answer {
            if (!version)
                return version.error();
            return base::success();
        })
        .attach(kj::defer([this] { --m_changesUnderWay; }));
}

} // namespace appletally::control
