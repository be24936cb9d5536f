// Runs one replica of the log in a KJ loop: clock ticks, disk writes, messages, and results of proposals.
//
// The disk is written and synced in the loop, before any message that depends on it is sent. A failed write or sync stops
// the replica permanently (DiskStopped): the other replicas see it as silent and continue without it.
//
// So does a snapshot that cannot be decoded (StateUnreadable), before it is written: an empty or outdated state must not
// vote, lead or answer reads as if it were the whole one, and the log on this disk stays as it was. Entries are removed from
// the log only for a snapshot that has been decoded.
#pragma once

#include "appletally/base/loop_stalls.h"
#include "appletally/consensus/disk_log.h"
#include "appletally/consensus/released.h"
#include "appletally/consensus/replica.h"

#include <deque>
#include <functional>
#include <kj/async-io.h>
#include <map>
#include <nlohmann/json.hpp>

namespace appletally::control {

// Called in the event loop, in log order.
struct ReplicaHooks {
    std::function<void(const consensus::Message&)> send; // may drop it
    std::function<base::Result<void>(const consensus::Snapshot&)> restore; // replaces the state by that of the snapshot
    std::function<void(const consensus::Entry&)> apply; // committed; called once per index
    std::function<base::Result<std::string>()> state; // encoded state after all applied entries; an error if it does not decode
    std::function<void(base::LogIndex)> released; // increases monotonically
    std::function<void(bool)> leads;
};

class ReplicaDriver : public kj::TaskSet::ErrorHandler {
public:
    // Hooks are not called before start(), which may call them before it returns.
    ReplicaDriver(kj::Timer&, consensus::DiskLog, const consensus::Config&, ReplicaHooks);
    void start();

    void received(consensus::Message);

    // Resolves once the entry is committed and applied. Errors: NotLeader, NoQuorum, DiskFailed, and OutcomePending: it
    // may or may not be committed; resend.
    kj::Promise<base::Result<base::LogIndex>> propose(std::string data);
    kj::Promise<base::Result<base::LogIndex>> readIndex(); // resolves once all entries accepted before the call are applied here
    kj::Promise<base::Result<base::LogIndex>> addMembers(std::vector<consensus::Member>);
    kj::Promise<base::Result<base::LogIndex>> removeMember(base::ReplicaId);

    const consensus::Replica& replica() const { return m_replica; }
    bool stopped() const { return m_failure.has_value(); }
    const std::optional<base::Error>& failure() const { return m_failure; } // set once stopped
    void closeDisk() { consensus::closeFolder(m_disk); } // only after a disk failure, so that the folder can be reopened
    const base::LoopStalls& stalls() const { return m_stalls; }
    nlohmann::json toJson() const;

private:
    using Answer = kj::Own<kj::PromiseFulfiller<base::Result<base::LogIndex>>>;

    void taskFailed(kj::Exception&&) override;
    kj::Promise<void> ticks();
    void processInput(consensus::Input);
    void stepOnce(consensus::Input);
    bool handleOutput(consensus::Ready&); // false: the replica has stopped
    void stop(base::Error);
    void answer(uint64_t id, const base::Result<base::LogIndex>&);
    void persist(const consensus::Persist&);
    void maybeSnapshot();
    kj::Promise<base::Result<base::LogIndex>> submit(uint64_t id, consensus::Input);

    kj::Timer& m_timer;
    consensus::DiskLog m_disk;
    consensus::Replica m_replica;
    ReplicaHooks m_hooks;
    std::optional<base::Error> m_failure; // set: the replica has stopped and takes no further input
    std::deque<consensus::Input> m_inputs; // queued while another input is processed
    bool m_driving = false;
    std::map<uint64_t, Answer> m_answers;
    uint64_t m_nextId = 1;
    base::LogIndex m_released;
    base::LogIndex m_snapshotIndex;
    uint64_t m_bytesSinceSnapshot = 0;
    base::Time m_appliedAt; // when entries were last applied
    uint64_t m_syncs = 0;
    base::LoopStalls m_stalls;
    kj::TaskSet m_tasks; // last member: its tasks use all others
};

} // namespace appletally::control
