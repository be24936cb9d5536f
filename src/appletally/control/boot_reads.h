// Asks the voters for their recorded commits, one round for all that wait: a rack of 40 nodes that starts at once costs
// the voters as much as one node.
#pragma once

#include "appletally/control/peer_link.h"

#include <functional>
#include <set>

namespace appletally::control {

class BootReads : public kj::TaskSet::ErrorHandler {
public:
    // `own`: this process's own answer, empty where it is no voter. `released`: told what the answers show to be released.
    BootReads(kj::Timer&, std::function<std::vector<PeerLink*>()> voters, std::function<std::optional<consensus::BootAnswer>()> own, std::function<void(base::LogIndex)> released);

    // The least log index to start from, proved by a majority of the voters asked after this call. NoQuorum.
    kj::Promise<base::Result<base::LogIndex>> read();

    uint64_t rounds() const { return m_rounds; }

private:
    using Waiter = kj::Own<kj::PromiseFulfiller<base::Result<base::LogIndex>>>;

    void taskFailed(kj::Exception&&) override { }
    void begin();
    void askOthers(uint64_t round);
    void addAnswer(uint64_t round, const consensus::BootAnswer&);
    void finish(uint64_t round, const base::Result<base::LogIndex>&);

    kj::Timer& m_timer;
    std::function<std::vector<PeerLink*>()> m_voters;
    std::function<std::optional<consensus::BootAnswer>()> m_own;
    std::function<void(base::LogIndex)> m_released;
    std::vector<consensus::BootAnswer> m_answers; // of the round under way
    std::set<base::HostId> m_asked; // in the round under way
    std::vector<Waiter> m_served; // by the round under way
    std::vector<Waiter> m_waiting; // came after it began: its answers may be older than they are
    bool m_running = false;
    uint64_t m_rounds = 0;
    kj::TaskSet m_tasks;
};

} // namespace appletally::control
