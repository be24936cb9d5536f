// Construction of a control process, its log hooks, the release of versions, and reports.
#include "appletally/control/process.h"

#include "appletally/base/log.h"
#include "appletally/config/codec.h"
#include "appletally/control/sessions.h"

namespace appletally::control {

namespace {

    // Every n-th heartbeat sends the full record, so a peer that lacks it gets it within 16 s.
    constexpr uint64_t fullRecordInterval = 8;

    // A version further behind the applied log index is not copied, since later ones follow in the same step.
    constexpr uint64_t maxSkippedVersions = 2;

    constexpr size_t maxKeptOutcomes = 256; // few proposals are pending at a time, and outcomes are read right after they are applied

    // A voter that is behind catches up within one or two heartbeats; after longer it has lost its links to the others.
    constexpr base::Duration releaseTimeout { 1000 };

    policy::ReconnectGate makeAdmissionGate(const ControlSettings& settings)
    {
        policy::ReconnectGate out;
        out.perSecond = settings.startsPerSecond;
        out.burst = settings.startBurst;
        return out;
    }

} // namespace

ControlProcess::ControlProcess(kj::AsyncIoContext& io, ControlSettings settings, std::optional<consensus::DiskLog> disk)
    : m_io(io)
    , m_timer(io.provider->getTimer())
    , m_settings(std::move(settings))
    , m_distributor(m_timer, { makeAdmissionGate(m_settings), m_settings.maxSubscribers, m_settings.batching }, m_endpoints)
    , m_tasks(kj::heap<kj::TaskSet>(*this))
    , m_port(io, m_settings.membership, [this](inner::rpc::Role role, const base::HostId& host) { return makeSession(*this, role, host); })
{
    m_endpoints.id = inner::randomNumber();
    m_documentQueue = kj::Promise<void>(kj::READY_NOW).fork();
    makeLinks();
    if (disk)
        makeReplica(std::move(*disk));
    else
        makeSourceClient();
    m_tasks->add(housekeeping());
}

ControlProcess::~ControlProcess() { m_tasks = nullptr; }

void ControlProcess::taskFailed(kj::Exception&& problem)
{
    if (problem.getType() != kj::Exception::Type::DISCONNECTED)
        base::logEvent(base::Event::LinkDown, "a task of the control process failed: " + inner::describe(problem));
}

base::Result<base::Address> ControlProcess::listen()
{
    m_lastConnectedAt = base::steadyNow(); // no peer was reachable while the log was applied, which may have taken long
    return m_port.listen(m_settings.listen);
}

// --- Construction ---

void ControlProcess::makeLinks()
{
    if (!discoversPeers()) {
        for (const auto* peers : { &m_settings.voters, &m_settings.relays }) {
            for (const ControlPeer& it : *peers)
                linkTo(it);
        }
    }
    for (const base::Address& it : m_settings.seeds)
        addPeer({ it.text() });
    m_bootReads = std::make_unique<BootReads>(
        m_timer, [this] { return possibleVoters(); }, [this]() -> std::optional<consensus::BootAnswer> { return m_replica && !m_replica->stopped() ? consensus::bootAnswer(m_replica->replica()) : std::nullopt; },
        [this](base::LogIndex it) {
            if (m_replica)
                onReleased(it);
        });
}

void ControlProcess::linkTo(const ControlPeer& peer)
{
    if (peer.host == m_settings.membership.host)
        return;
    const PeerHooks hooks { [](const base::HostId&) {}, [this] { return ownReports(); } };
    m_peers.push_back(std::make_unique<PeerLink>(m_io, m_settings.membership, peer, hooks));
}

// Links to discovered peers are kept: seeds only serve to find the first peers, and may be wrong, removed or unreachable
// later.
void ControlProcess::addPeer(const base::HostId& host)
{
    const bool known = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& it) { return it->host() == host; });
    const auto address = base::parseAddress(host.text);
    if (!known && address)
        linkTo({ host, address.value() });
}

void ControlProcess::addSeeds(const std::vector<base::Address>& seeds)
{
    for (const base::Address& it : seeds)
        addPeer({ it.text() });
}

void ControlProcess::addMemberPeers()
{
    if (!discoversPeers() || !m_replica)
        return;
    std::vector<std::string> sources;
    for (const consensus::Member& it : consensus::latestMembers(m_replica->replica()).list) {
        addPeer(it.host);
        sources.push_back(it.host.text);
    }
    m_distributor.setSources(std::move(sources));
}

std::vector<PeerLink*> ControlProcess::possibleVoters()
{
    std::vector<PeerLink*> out;
    for (const auto& it : m_peers) {
        if (discoversPeers())
            out.push_back(it.get());
    }
    for (const auto& it : m_peers) {
        for (const ControlPeer& voter : m_settings.voters) {
            if (voter.host == it->host())
                out.push_back(it.get());
        }
    }
    return out;
}

void ControlProcess::makeReplica(consensus::DiskLog disk)
{
    const consensus::Snapshot snapshot = disk.snapshot;
    ReplicaHooks hooks;
    hooks.send = [this](const consensus::Message& it) { send(it); };
    hooks.restore = [this](const consensus::Snapshot& it) { return restore(it); };
    hooks.apply = [this](const consensus::Entry& it) { apply(it); };
    hooks.state = [this]() -> base::Result<std::string> {
        std::string out = config::encode(m_state);
        if (const auto decoded = config::decodeState(out); !decoded)
            return base::fail(decoded.error().code, "the state does not decode, so that the log keeps its entries: " + decoded.error().text);
        return out;
    };
    hooks.released = [this](base::LogIndex it) { onReleased(it); };
    hooks.leads = [this](bool leads) {
        m_leading = leads;
        m_leaderClock = base::anchorNow();
        m_rollouts = {};
        m_lostVoters = {};
        m_keeperChoice = {};
        m_keeperChange = {};
        base::logEvent(leads ? base::Event::BecameLeader : base::Event::LostLeadership, "term " + std::to_string(m_replica->replica().state.term.value));
    };
    consensus::Config config;
    config.oneReplicaPerHost = discoversPeers();
    config.maxVoters = m_settings.maxVoters;
    m_replica = std::make_unique<ReplicaDriver>(m_timer, std::move(disk), config, std::move(hooks));
    m_replaying = true;
    m_replica->start();
    m_replaying = false;
    if (m_state.snapshot.version.value != 0)
        logVersion();
}

void ControlProcess::makeSourceClient()
{
    inner::SourceClientSettings settings { m_settings.membership, {}, inner::rpc::Role::PEER };
    for (const ControlPeer& it : m_settings.voters)
        settings.sources.push_back(it.address);
    inner::SourceClientHooks hooks;
    hooks.released = [this](std::shared_ptr<const config::Snapshot> it) {
        recordAccepted(m_convergence, it->version, base::steadyNow());
        base::logEvent(base::Event::VersionReleased, "version " + std::to_string(it->version.value));
        m_distributor.contentReleased(std::move(it));
        onReleased({}); // completes pending waitForRelease() calls
    };
    m_sourceClient = std::make_unique<inner::SourceClient>(m_io, std::move(settings), std::move(hooks));
}

bool ControlProcess::knowsMembers() const { return !m_replica || !consensus::latestMembers(m_replica->replica()).list.empty(); }

bool ControlProcess::admitsPeer(const base::HostId& host)
{
    if (discoversPeers())
        addPeer(host);
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& it) { return it->host() == host; });
}

// --- The log ---

void ControlProcess::onConsensusMessage(consensus::Message message)
{
    if (m_replica)
        m_replica->received(std::move(message));
}

void ControlProcess::send(const consensus::Message& message)
{
    for (const auto& it : m_peers) {
        if (it->replica() == message.to)
            it->sendConsensus(message);
    }
}

base::Result<void> ControlProcess::restore(const consensus::Snapshot& snapshot)
{
    if (!snapshot.data)
        return base::success();
    auto state = config::decodeState(*snapshot.data);
    if (!state) // its checksum matches: it was written by another version of this program
        return base::fail(state.error().code, "the snapshot up to log index " + std::to_string(snapshot.meta.index.value) + " cannot be decoded: " + state.error().text);
    m_state = std::move(state.value());
    m_state.snapshot.sum = { config::contentHash(m_state.snapshot), true };
    m_appliedIndex = snapshot.meta.index;
    recordVersion();
    onReleased({});
    return base::success();
}

void ControlProcess::apply(const consensus::Entry& entry)
{
    if (entry.kind == consensus::EntryKind::Data)
        applyChange(entry);
    m_appliedIndex = entry.index;
    onReleased({}); // the entry may have been reported as released before it arrived
}

void ControlProcess::applyChange(const consensus::Entry& entry)
{
    copyUnreleased();
    const base::ConfigVersion before = m_state.snapshot.version;
    const RolloutsById rollouts = m_state.snapshot.rollouts;
    config::Outcome outcome = config::apply(m_state, entry.index, entry.data);
    if (outcome.code != base::Code::Ok)
        base::logEvent(base::Event::SubmitRefused, outcome.text);
    m_outcomes[entry.index] = std::move(outcome);
    if (m_outcomes.size() > maxKeptOutcomes)
        m_outcomes.erase(m_outcomes.begin());
    if (m_state.snapshot.version == before)
        return;
    recordVersion();
    if (!m_replaying)
        logRolloutChanges(rollouts);
}

// A version is copied only when it is released, or when it may still be released and the next change arrives. A restarting
// process applies hundreds of entries, of which only the last version is needed.
void ControlProcess::copyUnreleased()
{
    const auto newest = m_unreleased.find(m_state.snapshot.version);
    if (newest == m_unreleased.end() || newest->second)
        return;
    if (m_replica && m_replica->replica().applied.value > newest->first.value + maxSkippedVersions)
        m_unreleased.erase(newest); // replaying the log: later versions follow at once
    else
        newest->second = std::make_shared<config::Snapshot>(m_state.snapshot);
}

// Every replica logs rollout changes, so that its log is complete whichever replica was the leader.
void ControlProcess::logRolloutChanges(const RolloutsById& before)
{
    for (const auto& [id, it] : m_state.snapshot.rollouts) {
        auto old = before.find(id);
        const std::string text = id.text + ": " + std::to_string(it.share.value) + " per mille for " + it.to.text + "; " + describeReadyUpstreams(it);
        if (old == before.end())
            base::logEvent(base::Event::RolloutStarted, text);
        else if (old->second.share < it.share)
            base::logEvent(base::Event::RolloutShareRaised, text);
    }
    for (const auto& [id, it] : before) {
        if (m_state.snapshot.rollouts.contains(id) || m_state.ended.empty())
            continue;
        const config::RolloutRecord& record = m_state.ended.back();
        const bool completed = record.end == config::RolloutEnd::Completed;
        const bool rolledBack = record.end == config::RolloutEnd::RolledBack;
        const base::Event event = completed ? base::Event::RolloutCompleted : (rolledBack ? base::Event::RolloutRolledBack : base::Event::RolloutStopped);
        base::logEvent(event, id.text + ": " + record.reason + "; " + describeReadyUpstreams(it));
    }
}

std::string ControlProcess::describeReadyUpstreams(const config::Rollout& it) const
{
    config::ReadyByVersion ready = config::readyUpstreams(m_endpoints, it.service);
    return "ready upstreams: " + std::to_string(ready[it.to]) + " of " + it.to.text + ", " + std::to_string(ready[it.from]) + " of " + it.from.text;
}

void ControlProcess::logVersion() const
{
    const std::string what = m_state.versions.empty() ? "" : ", " + m_state.versions.back().summary;
    base::logEvent(base::Event::VersionAccepted, "version " + std::to_string(m_state.snapshot.version.value) + what);
}

void ControlProcess::recordVersion()
{
    const base::ConfigVersion version = m_state.snapshot.version;
    if (version.value == 0)
        return;
    m_unreleased[version] = nullptr;
    recordAccepted(m_convergence, version, base::steadyNow());
    if (!m_replaying)
        logVersion();
}

void ControlProcess::onReleased(base::LogIndex index)
{
    m_releasedIndex = std::max(m_releasedIndex, index);
    const base::Time now = base::steadyNow();
    auto end = m_unreleased.upper_bound({ m_releasedIndex.value });
    if (end != m_unreleased.begin()) {
        auto newest = std::prev(end)->second;
        if (!newest)
            newest = std::make_shared<config::Snapshot>(m_state.snapshot);
        for (auto it = m_unreleased.begin(); it != end; ++it)
            control::recordReleased(m_convergence, it->first, now);
        m_unreleased.erase(m_unreleased.begin(), end);
        base::logEvent(base::Event::VersionReleased, "version " + std::to_string(newest->version.value));
        m_distributor.contentReleased(newest);
    }
    wakeReleaseWaiters();
}

// Waits for the applied index as well: a replica that catches up receives the released index before the entries. If it
// answered with its present version, a node could start with an older version than it had before.
void ControlProcess::wakeReleaseWaiters()
{
    const base::ConfigVersion version = m_distributor.content() ? m_distributor.content()->version : base::ConfigVersion {};
    std::erase_if(m_releaseWaiters, [&](ReleaseWaiter& it) {
        const bool there = m_replica ? it.index <= std::min(m_releasedIndex, m_appliedIndex) : it.index.value <= version.value;
        if (there)
            it.fulfiller->fulfill(base::Result<base::ConfigVersion>(version));
        return there;
    });
}

kj::Promise<base::Result<base::ConfigVersion>> ControlProcess::waitForRelease(base::LogIndex index)
{
    auto waiter = kj::newPromiseAndFulfiller<base::Result<base::ConfigVersion>>();
    m_releaseWaiters.push_back({ index, kj::mv(waiter.fulfiller) });
    onReleased({}); // may already be released
    return waiter.promise.exclusiveJoin(m_timer.afterDelay(releaseTimeout.ms * kj::MILLISECONDS).then([this]() -> base::Result<base::ConfigVersion> {
        std::erase_if(m_releaseWaiters, [](ReleaseWaiter& it) { return !it.fulfiller->isWaiting(); });
        return base::fail(base::Code::NoQuorum, "this process has not caught up with the commit index that the voters recorded");
    }));
}

kj::Promise<base::Result<base::ConfigVersion>> ControlProcess::minBootVersion()
{
    using Answer = base::Result<base::ConfigVersion>;
    return m_bootReads->read().then([this](base::Result<base::LogIndex> index) -> kj::Promise<Answer> {
        if (!index)
            return Answer(index.error());
        if (m_replica)
            return waitForRelease(index.value());
        // A relay knows versions, not log indexes; a voter translates the index into a version.
        for (PeerLink* it : possibleVoters()) {
            if (!it->up())
                continue;
            return it->requestReleasedVersion(index.value()).then([this](Answer version) -> kj::Promise<Answer> {
                if (!version)
                    return version;
                return waitForRelease({ version.value().value });
            });
        }
        return Answer(base::fail(base::Code::NoQuorum, "no voter is linked"));
    });
}

// --- Reports ---

void ControlProcess::onNodeReport(const inner::NodeReport& report)
{
    add(m_localReports, report);
    const inner::NodeReport shared = reportForPeers(report); // before applyReport() updates the registry
    for (const auto& it : m_peers)
        it->queueReport(shared);
    applyReport(report);
}

void ControlProcess::onPeerReport(const inner::NodeReport& report) { applyReport(report); }

void ControlProcess::onSourceStatus(const SourceStatus& status) { m_sourceStatus[status.load.source] = status; }

// Peers need a record only if it is new; otherwise a renewal is enough, at a fifth of the size.
inner::NodeReport ControlProcess::reportForPeers(const inner::NodeReport& report) const
{
    inner::NodeReport out { {}, report.appliedVersions, report.evidence, {} };
    for (const inner::EndpointHeartbeat& it : report.endpoints) {
        auto known = m_endpoints.entries.find(it.endpoint.host);
        const bool same = known != m_endpoints.entries.end() && !known->second.expired && known->second.endpoint.incarnation == it.endpoint.incarnation
            && known->second.endpoint.sequence == it.endpoint.sequence;
        if (same && it.heartbeat % fullRecordInterval != 0)
            out.renewals.push_back({ it.endpoint.host, it.endpoint.incarnation, it.endpoint.sequence, it.heartbeat });
        else
            out.endpoints.push_back(it);
    }
    return out;
}

void ControlProcess::applyReport(const inner::NodeReport& report)
{
    const base::Time now = base::steadyNow();
    const uint64_t before = m_endpoints.lastChange;
    EndpointUrgency urgency = EndpointUrgency::Batched;
    for (const inner::EndpointHeartbeat& it : report.endpoints) {
        const auto known = m_endpoints.entries.find(it.endpoint.host);
        const bool sameSuspects = known == m_endpoints.entries.end() ? it.endpoint.suspects.empty() : it.endpoint.suspects == known->second.endpoint.suspects;
        if (config::put(m_endpoints, it.endpoint, it.heartbeat, now) && !sameSuspects)
            urgency = EndpointUrgency::Suspects;
    }
    for (const config::EndpointRenewal& it : report.renewals)
        config::renew(m_endpoints, it, now);
    if (m_endpoints.lastChange != before)
        m_distributor.endpointsChanged(urgency);
    recordReports(m_convergence, report.appliedVersions, now);
    wakeAppliedWaiters();
    inner::NodeReport evidence;
    evidence.evidence = report.evidence;
    add(m_allEvidence, evidence);
    onEvidence(m_rollouts, m_state, report.evidence);
}

PendingReport ControlProcess::ownReports() const { return m_localReports; }

} // namespace appletally::control
