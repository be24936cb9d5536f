// Reads the voters' recorded commit indexes, which prove where a starting node may begin. All pending reads share one
// round, so 40 nodes that start at once cost the voters as much as one node.
#pragma once

#include "appletally/control/peer_link.h"

#include <functional>
#include <set>

namespace appletally::control {

class BootReads : public kj::TaskSet::ErrorHandler {
public:
    // `own`: the answer of this process, empty if it is not a voter. `onReleased` receives the released index that the
    // answers prove.
    BootReads(kj::Timer&, std::function<std::vector<PeerLink*>()> voters, std::function<std::optional<consensus::BootAnswer>()> own, std::function<void(base::LogIndex)> onReleased);

    // The minimum log index to start from, proven by a majority of voters that were queried after this call.
    // Error: NoQuorum.
    kj::Promise<base::Result<base::LogIndex>> read();

    uint64_t rounds() const { return m_rounds; }

private:
    using Waiter = kj::Own<kj::PromiseFulfiller<base::Result<base::LogIndex>>>;

    void taskFailed(kj::Exception&&) override { }
    void beginRound();
    void requestFromLinkedVoters(uint64_t round);
    void addAnswer(uint64_t round, const consensus::BootAnswer&);
    void finishRound(uint64_t round, const base::Result<base::LogIndex>&);

    kj::Timer& m_timer;
    std::function<std::vector<PeerLink*>()> m_voters;
    std::function<std::optional<consensus::BootAnswer>()> m_ownAnswer;
    std::function<void(base::LogIndex)> m_onReleased;
    std::vector<consensus::BootAnswer> m_answers; // of the current round
    std::set<base::HostId> m_requestedHosts; // in the current round
    std::vector<Waiter> m_currentWaiters; // answered by the current round
    std::vector<Waiter> m_nextWaiters; // arrived after the current round began, whose answers may predate them; answered by the next round
    bool m_running = false;
    uint64_t m_rounds = 0;
    kj::TaskSet m_tasks;
};

} // namespace appletally::control
