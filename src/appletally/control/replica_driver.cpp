// Event loop around consensus::step(); see the header.
#include "appletally/control/replica_driver.h"

#include "appletally/base/log.h"
#include "appletally/inner/cluster_key.h"

#include <algorithm>

namespace appletally::control {

namespace {

    // A restart reads and applies all entries after the last snapshot; within these limits that takes well under a second.
    constexpr uint64_t entriesPerSnapshot = 500;
    constexpr uint64_t bytesPerSnapshot = 4u << 20;

    // Fewer entries trigger a snapshot once changes have paused: no request waits for it then, and a later restart has
    // almost nothing to apply. Without it a process with a thirteenth of a core needs 0.6 s to apply 78 changes of 300
    // routes, during which its nodes serve no requests.
    constexpr uint64_t minEntriesForIdleSnapshot = 8;
    constexpr base::Duration idleSnapshotDelay { 500 };

    // After this time an operator gets OutcomePending, and resends.
    constexpr base::Duration proposalTimeout { 4000 };

} // namespace

ReplicaDriver::ReplicaDriver(kj::Timer& timer, consensus::DiskLog disk, const consensus::Config& config, ReplicaHooks hooks)
    : m_timer(timer)
    , m_disk(std::move(disk))
    , m_replica(consensus::make(consensus::durable(m_disk), config))
    , m_hooks(std::move(hooks))
    , m_snapshotIndex(m_disk.snapshot.meta.index)
    , m_tasks(*this)
{
}

void ReplicaDriver::start()
{
    processInput(consensus::Tick {});
    m_tasks.add(ticks());
}

void ReplicaDriver::taskFailed(kj::Exception&& problem)
{
    base::logEvent(base::Event::DiskStopped, std::string("a task of the replica failed: ") + problem.getDescription().cStr());
}

kj::Promise<void> ReplicaDriver::ticks()
{
    const base::Duration every = m_replica.config.heartbeat / 2;
    const base::Time due = base::steadyNow() + every;
    return m_timer.afterDelay(every.ms * kj::MILLISECONDS).then([this, due] {
        base::addStall(m_stalls, base::StallCause::LateTimer, std::max<int64_t>((base::steadyNow() - due).ms, 0) * 1000);
        processInput(consensus::Tick {});
        return ticks();
    });
}

void ReplicaDriver::received(consensus::Message message)
{
    if (message.to == m_replica.id)
        processInput(consensus::Received { std::move(message) });
}

kj::Promise<base::Result<base::LogIndex>> ReplicaDriver::submit(uint64_t id, consensus::Input input)
{
    if (m_failure)
        return base::Result<base::LogIndex>(*m_failure);
    auto pending = kj::newPromiseAndFulfiller<base::Result<base::LogIndex>>();
    m_answers[id] = kj::mv(pending.fulfiller);
    processInput(std::move(input));
    return pending.promise.exclusiveJoin(m_timer.afterDelay(proposalTimeout.ms * kj::MILLISECONDS).then([this, id]() -> base::Result<base::LogIndex> {
        m_answers.erase(id);
        return base::fail(base::Code::OutcomePending, "not committed within the timeout; resend to get the outcome");
    }));
}

kj::Promise<base::Result<base::LogIndex>> ReplicaDriver::propose(std::string data)
{
    const uint64_t id = m_nextId++;
    return submit(id, consensus::Propose { id, std::move(data) });
}

kj::Promise<base::Result<base::LogIndex>> ReplicaDriver::readIndex()
{
    const uint64_t id = m_nextId++;
    return submit(id, consensus::ReadIndex { id });
}

kj::Promise<base::Result<base::LogIndex>> ReplicaDriver::addMembers(std::vector<consensus::Member> members)
{
    const uint64_t id = m_nextId++;
    return submit(id, consensus::AddMembers { id, std::move(members) });
}

kj::Promise<base::Result<base::LogIndex>> ReplicaDriver::removeMember(base::ReplicaId replica)
{
    const uint64_t id = m_nextId++;
    return submit(id, consensus::RemoveMember { id, replica });
}

// --- Steps ---

void ReplicaDriver::processInput(consensus::Input input)
{
    m_inputs.push_back(std::move(input));
    if (m_driving)
        return;
    m_driving = true;
    while (!m_inputs.empty() && !m_failure) {
        consensus::Input next = std::move(m_inputs.front());
        m_inputs.pop_front();
        stepOnce(std::move(next));
    }
    m_inputs.clear();
    m_driving = false;
}

void ReplicaDriver::stepOnce(consensus::Input input)
{
    consensus::Ready ready = consensus::step(m_replica, std::move(input), base::steadyNow(), inner::randomNumber());
    if (!handleOutput(ready))
        return;
    if (ready.persist)
        persist(*ready.persist);
    const base::LogIndex released = consensus::releasedIndex(m_replica);
    if (released > m_released) {
        m_released = released;
        m_hooks.released(released);
    }
    maybeSnapshot();
}

bool ReplicaDriver::handleOutput(consensus::Ready& ready)
{
    if (ready.restore) {
        m_snapshotIndex = ready.restore->meta.index;
        m_bytesSinceSnapshot = 0;
        if (const auto restored = m_hooks.restore(*ready.restore); !restored) {
            base::logEvent(base::Event::StateUnreadable, restored.error().text);
            stop(restored.error());
            return false;
        }
    }
    for (const consensus::Message& it : ready.messages)
        m_hooks.send(it);
    for (const consensus::Entry& it : ready.committed) {
        const base::StallTimer timer(m_stalls, base::StallCause::Apply);
        m_bytesSinceSnapshot += it.data.size();
        m_hooks.apply(it);
    }
    // Set after the entries are applied: a start that takes half a second for its log must not count as a pause, since a
    // snapshot would delay it further.
    if (!ready.committed.empty())
        m_appliedAt = base::steadyNow();
    for (const consensus::Accepted& it : ready.accepted)
        answer(it.id, it.index);
    for (const consensus::Refused& it : ready.refused)
        answer(it.id, base::fail(it.code, it.leaderHost.empty() ? "no leader is known" : "the leader is " + it.leaderHost.text));
    for (const consensus::OutcomeUnknown& it : ready.unknown)
        answer(it.id, base::fail(base::Code::OutcomePending, "the leader changed; resend to get the outcome"));
    for (const consensus::ReadReady& it : ready.reads)
        answer(it.id, it.index);
    if (ready.becameLeader || ready.lostLeadership)
        m_hooks.leads(consensus::isLeader(m_replica));
    if (ready.membersChanged) {
        std::string text;
        for (const consensus::Member& it : consensus::committedMembers(m_replica).list)
            text += it.host.text + (it.role == consensus::Role::Voter ? " " : "(not voting) ");
        base::logEvent(base::Event::ReplicaAdded, "members now: " + text);
    }
    return true;
}

void ReplicaDriver::answer(uint64_t id, const base::Result<base::LogIndex>& result)
{
    auto it = m_answers.find(id);
    if (it == m_answers.end())
        return;
    it->second->fulfill(base::Result<base::LogIndex>(result));
    m_answers.erase(it);
}

void ReplicaDriver::persist(const consensus::Persist& persist)
{
    ++m_syncs;
    const auto written = [&] {
        const base::StallTimer timer(m_stalls, base::StallCause::Disk);
        return consensus::write(m_disk, persist);
    }();
    if (written) {
        m_inputs.push_front(consensus::Persisted { persist.sequence });
        return;
    }
    base::logEvent(base::Event::DiskStopped, written.error().text);
    stop(written.error());
}

void ReplicaDriver::stop(base::Error why)
{
    m_failure = std::move(why);
    for (auto& [id, it] : m_answers)
        it->fulfill(base::Result<base::LogIndex>(*m_failure));
    m_answers.clear();
}

void ReplicaDriver::maybeSnapshot()
{
    const uint64_t entries = m_replica.applied.value - m_snapshotIndex.value;
    const bool idle = entries >= minEntriesForIdleSnapshot && base::steadyNow() - m_appliedAt >= idleSnapshotDelay;
    const bool due = entries >= entriesPerSnapshot || m_bytesSinceSnapshot >= bytesPerSnapshot;
    if (m_failure || (!idle && !due))
        return;
    m_snapshotIndex = m_replica.applied; // also after an error: the next attempt follows after as many entries
    m_bytesSinceSnapshot = 0;
    const base::StallTimer timer(m_stalls, base::StallCause::Snapshot);
    auto state = m_hooks.state();
    if (!state) {
        base::logEvent(base::Event::SnapshotRefused, state.error().text);
        return;
    }
    base::logEvent(base::Event::SnapshotTaken, "up to log index " + std::to_string(m_snapshotIndex.value));
    m_inputs.push_back(consensus::SnapshotTaken { m_snapshotIndex, std::make_shared<const std::string>(std::move(state.value())) });
}

nlohmann::json ReplicaDriver::toJson() const
{
    nlohmann::json members = nlohmann::json::array();
    for (const consensus::Member& it : consensus::latestMembers(m_replica).list)
        members.push_back({ { "replica", it.id.value }, { "host", it.host.text }, { "votes", it.role == consensus::Role::Voter }, { "replaces", it.replaces.value } });
    static constexpr const char* standingNames[] = { "follower", "pre-candidate", "candidate", "leader" };
    return { { "replica", m_replica.id.value }, { "standing", standingNames[static_cast<size_t>(m_replica.raftRole)] }, { "term", m_replica.state.term.value },
        { "leader", m_replica.leader.value }, { "commit", m_replica.commit.value }, { "recorded_commit", m_replica.recordedCommit.value },
        { "released", m_released.value }, { "last_index", consensus::lastIndex(m_replica).value }, { "syncs", m_syncs },
        { "stopped", m_failure ? m_failure->text : "" }, { "members", std::move(members) } };
}

} // namespace appletally::control
