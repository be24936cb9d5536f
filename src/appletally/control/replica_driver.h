// Drives one replica of the log within a KJ loop: clock ticks, its disk, its messages, and answers to proposals.
//
// The disk is written and synced within the loop, before anything that depends on it leaves. A write or sync that
// fails stops the replica for good (DiskStopped): to the others it looks like one that went silent, and they go on.
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

// Called within the loop, in the order of the log.
struct ReplicaHooks {
    std::function<void(const consensus::Message&)> send; // may drop it
    std::function<void(const consensus::Snapshot&)> restore; // the state starts over from these bytes
    std::function<void(const consensus::Entry&)> apply; // committed; each index once in this process's life
    std::function<std::string()> state; // the state's bytes after all entries applied
    std::function<void(base::LogIndex)> released; // rises
    std::function<void(bool)> leads;
};

class ReplicaDriver : public kj::TaskSet::ErrorHandler {
public:
    // Hooks may be called before the constructor's caller goes on only from start().
    ReplicaDriver(kj::Timer&, consensus::DiskLog, const consensus::Config&, ReplicaHooks);
    void start();

    void received(consensus::Message);

    // Resolves once the entry is committed and applied. NotLeader, NoQuorum, OutcomePending (it may or may not be
    // committed: resend), DiskFailed.
    kj::Promise<base::Result<base::LogIndex>> propose(std::string data);
    kj::Promise<base::Result<base::LogIndex>> readIndex(); // resolves once everything accepted before is applied here
    kj::Promise<base::Result<base::LogIndex>> addMembers(std::vector<consensus::Member>);
    kj::Promise<base::Result<base::LogIndex>> removeMember(base::ReplicaId);

    const consensus::Replica& replica() const { return m_replica; }
    bool stopped() const { return m_failure.has_value(); }
    void closeDisk() { consensus::closeFolder(m_disk); } // of a stopped one, so that it can be opened again
    const base::LoopStalls& stalls() const { return m_stalls; }
    nlohmann::json toJson() const;

private:
    using Answer = kj::Own<kj::PromiseFulfiller<base::Result<base::LogIndex>>>;

    void taskFailed(kj::Exception&&) override;
    kj::Promise<void> ticks();
    void drive(consensus::Input);
    void stepOnce(consensus::Input);
    void hand(consensus::Ready&);
    void answer(uint64_t id, const base::Result<base::LogIndex>&);
    void persist(const consensus::Persist&);
    void maybeSnapshot();
    kj::Promise<base::Result<base::LogIndex>> ask(uint64_t id, consensus::Input);

    kj::Timer& m_timer;
    consensus::DiskLog m_disk;
    consensus::Replica m_replica;
    ReplicaHooks m_hooks;
    std::optional<base::Error> m_failure; // set: the replica is stepped no more
    std::deque<consensus::Input> m_inputs; // that came up while one was being stepped
    bool m_driving = false;
    std::map<uint64_t, Answer> m_answers;
    uint64_t m_nextId = 1;
    base::LogIndex m_released;
    base::LogIndex m_snapshotAt;
    uint64_t m_bytesSinceSnapshot = 0;
    base::Time m_appliedAt; // when entries were last applied
    uint64_t m_syncs = 0;
    base::LoopStalls m_stalls;
    kj::TaskSet m_tasks; // last: its tasks use all above
};

} // namespace appletally::control
