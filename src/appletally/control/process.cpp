// Putting a control process together, and the way of a version through it.
#include "appletally/control/process.h"

#include "appletally/base/log.h"
#include "appletally/config/codec.h"
#include "appletally/control/sessions.h"

namespace appletally::control {

namespace {

    // A peer that lacks a record, for whatever reason, has it after at most 16 s.
    constexpr uint64_t wholeRecordEvery = 8;

    // A version that is this far behind what the log hands out in the same step is not worth a copy.
    constexpr uint64_t mostSkipped = 2;

    constexpr size_t keptOutcomes = 256; // proposals under way are a handful; answers are looked up right after

    // A voter that is behind catches up within a heartbeat or two; longer means that it has lost the others.
    constexpr base::Duration releaseLimit { 1000 };

    policy::Gate startsGate(const ControlSettings& settings)
    {
        policy::Gate out;
        out.perSecond = settings.startsPerSecond;
        out.burst = settings.startsAtOnce;
        return out;
    }

} // namespace

ControlProcess::ControlProcess(kj::AsyncIoContext& io, ControlSettings settings, std::optional<consensus::DiskLog> disk)
    : m_io(io)
    , m_timer(io.provider->getTimer())
    , m_settings(std::move(settings))
    , m_distributor(m_timer, { startsGate(m_settings), m_settings.mostSubscribers, m_settings.batching }, m_endpoints)
    , m_tasks(kj::heap<kj::TaskSet>(*this))
    , m_port(io, m_settings.membership, [this](inner::rpc::Role role, const base::HostId& who) { return makeSession(*this, role, who); })
{
    m_endpoints.id = inner::randomNumber();
    m_documentTurn = kj::Promise<void>(kj::READY_NOW).fork();
    makeLinks();
    if (disk)
        makeReplica(std::move(*disk));
    else
        makeUpstream();
    m_tasks->add(housekeeping());
}

ControlProcess::~ControlProcess() { m_tasks = nullptr; }

void ControlProcess::taskFailed(kj::Exception&& problem)
{
    if (problem.getType() != kj::Exception::Type::DISCONNECTED)
        base::logEvent(base::Event::LinkDown, "control's task: " + inner::describe(problem));
}

base::Result<base::Address> ControlProcess::listen()
{
    m_enoughPeersAt = base::steadyNow(); // applying the log may have taken long; nobody could be reached meanwhile
    return m_port.listen(m_settings.listen);
}

// --- Parts ---

void ControlProcess::makeLinks()
{
    if (!findsPeers()) {
        for (const auto* peers : { &m_settings.voters, &m_settings.relays }) {
            for (const ControlPeer& it : *peers)
                linkTo(it);
        }
    }
    for (const base::Address& it : m_settings.seeds)
        learnPeer({ it.text() });
    m_bootReads = std::make_unique<BootReads>(
        m_timer, [this] { return possibleVoters(); }, [this]() -> std::optional<consensus::BootAnswer> { return m_replica && !m_replica->stopped() ? consensus::bootAnswer(m_replica->replica()) : std::nullopt; },
        [this](base::LogIndex it) {
            if (m_replica)
                releasedUpTo(it);
        });
}

void ControlProcess::linkTo(const ControlPeer& peer)
{
    if (peer.host == m_settings.membership.host)
        return;
    const PeerHooks hooks { [](const base::HostId&) {}, [this] { return ownReports(); } };
    m_peers.push_back(std::make_unique<PeerLink>(m_io, m_settings.membership, peer, hooks));
}

// Everyone keeps the links that it has learnt of: seeds are only a way to meet the first of the others, and may be wrong,
// gone or cut off later.
void ControlProcess::learnPeer(const base::HostId& host)
{
    const bool known = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& it) { return it->host() == host; });
    const auto address = base::parseAddress(host.text);
    if (!known && address)
        linkTo({ host, address.value() });
}

void ControlProcess::addSeeds(const std::vector<base::Address>& seeds)
{
    for (const base::Address& it : seeds)
        learnPeer({ it.text() });
}

void ControlProcess::learnMembers()
{
    if (!findsPeers() || !m_replica)
        return;
    std::vector<std::string> sources;
    for (const consensus::Member& it : consensus::latestMembers(m_replica->replica()).list) {
        learnPeer(it.host);
        sources.push_back(it.host.text);
    }
    m_distributor.setSources(std::move(sources));
}

std::vector<PeerLink*> ControlProcess::possibleVoters()
{
    std::vector<PeerLink*> out;
    for (const auto& it : m_peers) {
        if (findsPeers())
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
    hooks.restore = [this](const consensus::Snapshot& it) { restore(it); };
    hooks.apply = [this](const consensus::Entry& it) { apply(it); };
    hooks.state = [this] { return config::encode(m_state); };
    hooks.released = [this](base::LogIndex it) { releasedUpTo(it); };
    hooks.leads = [this](bool leads) {
        m_leading = leads;
        m_leadClock = base::anchorNow();
        m_rollouts = {};
        m_lostVoters = {};
        m_keeperChoice = {};
        m_keeperChange = {};
        base::logEvent(leads ? base::Event::BecameLeader : base::Event::LostLeadership, "term " + std::to_string(m_replica->replica().state.term.value));
    };
    consensus::Config config;
    config.oneReplicaPerHost = findsPeers();
    config.mostVoters = m_settings.mostVoters;
    m_replica = std::make_unique<ReplicaDriver>(m_timer, std::move(disk), config, std::move(hooks));
    m_replaying = true;
    m_replica->start();
    m_replaying = false;
    if (m_state.snapshot.version.value != 0)
        logVersion();
}

void ControlProcess::makeUpstream()
{
    inner::SourceClientSettings settings { m_settings.membership, {}, inner::rpc::Role::PEER };
    for (const ControlPeer& it : m_settings.voters)
        settings.sources.push_back(it.address);
    inner::SourceClientHooks hooks;
    hooks.released = [this](std::shared_ptr<const config::Snapshot> it) {
        accepted(m_convergence, it->version, base::steadyNow());
        base::logEvent(base::Event::VersionReleased, "version " + std::to_string(it->version.value));
        m_distributor.contentReleased(std::move(it));
        releasedUpTo({}); // wakes those that wait for a version
    };
    m_upstream = std::make_unique<inner::SourceClient>(m_io, std::move(settings), std::move(hooks));
}

bool ControlProcess::knowsMembers() const { return !m_replica || !consensus::latestMembers(m_replica->replica()).list.empty(); }

bool ControlProcess::admitsPeer(const base::HostId& host)
{
    if (findsPeers())
        learnPeer(host);
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& it) { return it->host() == host; });
}

// --- The log ---

void ControlProcess::consensusMessage(consensus::Message message)
{
    if (m_replica)
        m_replica->received(std::move(message));
}

void ControlProcess::send(const consensus::Message& message)
{
    for (const auto& it : m_peers) {
        if (it->replica() == message.to)
            it->consensus(message);
    }
}

void ControlProcess::restore(const consensus::Snapshot& snapshot)
{
    if (!snapshot.data)
        return;
    auto state = config::decodeState(*snapshot.data);
    if (!state) { // its checksum held: written by a version of this program that this one cannot read
        base::logEvent(base::Event::LogFileDamaged, "the snapshot's state cannot be read: " + state.error().text);
        return;
    }
    m_state = std::move(state.value());
    m_state.snapshot.sum = { config::contentHash(m_state.snapshot), true };
    m_appliedIndex = snapshot.meta.index;
    noteVersion();
    releasedUpTo({});
}

void ControlProcess::apply(const consensus::Entry& entry)
{
    if (entry.kind == consensus::EntryKind::Data)
        applyChange(entry);
    m_appliedIndex = entry.index;
    releasedUpTo({}); // what is released may have been told before the entry came
}

void ControlProcess::applyChange(const consensus::Entry& entry)
{
    keepUnreleased();
    const base::ConfigVersion before = m_state.snapshot.version;
    const RolloutsById rollouts = m_state.snapshot.rollouts;
    config::Outcome outcome = config::apply(m_state, entry.index, entry.data);
    if (outcome.code != base::Code::Ok)
        base::logEvent(base::Event::SubmitRefused, outcome.text);
    m_outcomes[entry.index] = std::move(outcome);
    if (m_outcomes.size() > keptOutcomes)
        m_outcomes.erase(m_outcomes.begin());
    if (m_state.snapshot.version == before)
        return;
    noteVersion();
    if (!m_replaying)
        noteRollouts(rollouts);
}

// Versions are copied out of the state only when they are handed out, or when they may be and the next one comes: a
// process that starts again applies hundreds of entries of which nobody wants any but the last.
void ControlProcess::keepUnreleased()
{
    const auto newest = m_unreleased.find(m_state.snapshot.version);
    if (newest == m_unreleased.end() || newest->second)
        return;
    if (m_replica && m_replica->replica().applied.value > newest->first.value + mostSkipped)
        m_unreleased.erase(newest); // replaying: many more follow at once
    else
        newest->second = std::make_shared<config::Snapshot>(m_state.snapshot);
}

// Each replica logs what became of rollouts, so that the story is whole wherever the leader was.
void ControlProcess::noteRollouts(const RolloutsById& before)
{
    for (const auto& [id, it] : m_state.snapshot.rollouts) {
        auto old = before.find(id);
        const std::string text = id.text + ": " + std::to_string(it.share.value) + " per mille for " + it.to.text + "; " + describeReady(it);
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
        const bool takenBack = record.end == config::RolloutEnd::TakenBack;
        const base::Event event = completed ? base::Event::RolloutCompleted : (takenBack ? base::Event::RolloutTakenBack : base::Event::RolloutStopped);
        base::logEvent(event, id.text + ": " + record.why + "; " + describeReady(it));
    }
}

std::string ControlProcess::describeReady(const config::Rollout& it) const
{
    config::ReadyByVersion ready = config::readyUpstreams(m_endpoints, it.service);
    return "ready upstreams: " + std::to_string(ready[it.to]) + " of " + it.to.text + ", " + std::to_string(ready[it.from]) + " of " + it.from.text;
}

void ControlProcess::logVersion() const
{
    const std::string what = m_state.versions.empty() ? "" : ", " + m_state.versions.back().what;
    base::logEvent(base::Event::VersionAccepted, "version " + std::to_string(m_state.snapshot.version.value) + what);
}

void ControlProcess::noteVersion()
{
    const base::ConfigVersion version = m_state.snapshot.version;
    if (version.value == 0)
        return;
    m_unreleased[version] = nullptr;
    accepted(m_convergence, version, base::steadyNow());
    if (!m_replaying)
        logVersion();
}

void ControlProcess::releasedUpTo(base::LogIndex index)
{
    m_releasedIndex = std::max(m_releasedIndex, index);
    const base::Time now = base::steadyNow();
    auto end = m_unreleased.upper_bound({ m_releasedIndex.value });
    if (end != m_unreleased.begin()) {
        auto newest = std::prev(end)->second;
        if (!newest)
            newest = std::make_shared<config::Snapshot>(m_state.snapshot);
        for (auto it = m_unreleased.begin(); it != end; ++it)
            control::released(m_convergence, it->first, now);
        m_unreleased.erase(m_unreleased.begin(), end);
        base::logEvent(base::Event::VersionReleased, "version " + std::to_string(newest->version.value));
        m_distributor.contentReleased(newest);
    }
    wakeReleaseWaiters();
}

// Only once the state has got there: a replica that was away hears what is released before it has the entries, and told the
// version that it has by then, a node would start below what it had before.
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

kj::Promise<base::Result<base::ConfigVersion>> ControlProcess::released(base::LogIndex index)
{
    auto asked = kj::newPromiseAndFulfiller<base::Result<base::ConfigVersion>>();
    m_releaseWaiters.push_back({ index, kj::mv(asked.fulfiller) });
    releasedUpTo({}); // it may be already
    return asked.promise.exclusiveJoin(m_timer.afterDelay(releaseLimit.ms * kj::MILLISECONDS).then([this]() -> base::Result<base::ConfigVersion> {
        std::erase_if(m_releaseWaiters, [](ReleaseWaiter& it) { return !it.fulfiller->isWaiting(); });
        return base::fail(base::Code::NoQuorum, "this process is behind what the voters recorded");
    }));
}

kj::Promise<base::Result<base::ConfigVersion>> ControlProcess::bootFloor()
{
    using Answer = base::Result<base::ConfigVersion>;
    return m_bootReads->read().then([this](base::Result<base::LogIndex> index) -> kj::Promise<Answer> {
        if (!index)
            return Answer(index.error());
        if (m_replica)
            return released(index.value());
        // A relay knows versions, not log indexes: a voter turns one into the other.
        for (PeerLink* it : possibleVoters()) {
            if (!it->up())
                continue;
            return it->released(index.value()).then([this](Answer version) -> kj::Promise<Answer> {
                if (!version)
                    return version;
                return released({ version.value().value });
            });
        }
        return Answer(base::fail(base::Code::NoQuorum, "no voter is linked"));
    });
}

// --- Reports ---

void ControlProcess::nodeReport(const inner::NodeReport& report)
{
    add(m_own, report);
    const inner::NodeReport shared = forPeers(report); // before the registry knows it
    for (const auto& it : m_peers)
        it->share(shared);
    take(report);
}

void ControlProcess::peerReport(const inner::NodeReport& report) { take(report); }

// Peers need a record only where it is new; else the sign of life will do, at a fifth of the bytes.
inner::NodeReport ControlProcess::forPeers(const inner::NodeReport& report) const
{
    inner::NodeReport out { {}, report.appliedVersions, report.evidence, {} };
    for (const inner::EndpointHeartbeat& it : report.endpoints) {
        auto known = m_endpoints.entries.find(it.endpoint.host);
        const bool same = known != m_endpoints.entries.end() && !known->second.ranOut && known->second.endpoint.incarnation == it.endpoint.incarnation
            && known->second.endpoint.sequence == it.endpoint.sequence;
        if (same && it.heartbeat % wholeRecordEvery != 0)
            out.renewals.push_back({ it.endpoint.host, it.endpoint.incarnation, it.endpoint.sequence, it.heartbeat });
        else
            out.endpoints.push_back(it);
    }
    return out;
}

void ControlProcess::take(const inner::NodeReport& report)
{
    const base::Time now = base::steadyNow();
    const uint64_t before = m_endpoints.lastChange;
    for (const inner::EndpointHeartbeat& it : report.endpoints)
        config::put(m_endpoints, it.endpoint, it.heartbeat, now);
    for (const config::EndpointRenewal& it : report.renewals)
        config::renew(m_endpoints, it, now);
    if (m_endpoints.lastChange != before)
        m_distributor.endpointsChanged();
    heard(m_convergence, report.appliedVersions, now);
    wakeInForceWaiters();
    inner::NodeReport evidence;
    evidence.evidence = report.evidence;
    add(m_all, evidence);
    onEvidence(m_rollouts, m_state, report.evidence);
}

PendingReport ControlProcess::ownReports() const { return m_own; }

} // namespace appletally::control
