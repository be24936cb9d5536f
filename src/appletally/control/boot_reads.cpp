// Batched majority reads for starting nodes; see the header.
#include "appletally/control/boot_reads.h"

namespace appletally::control {

// A round trip between availability zones takes 3 ms, so a voter that has not answered by then is down or unreachable.
constexpr base::Duration roundTimeout { 1000 };

// Voters whose links come up during a round are queried at this interval. When all processes have just started, the first
// round begins before there is any link; without this its nodes would wait for the timeout of 1 s and serve no request.
constexpr base::Duration newVoterPollInterval { 50 };

BootReads::BootReads(kj::Timer& timer, std::function<std::vector<PeerLink*>()> voters, std::function<std::optional<consensus::BootAnswer>()> own, std::function<void(base::LogIndex)> onReleased)
    : m_timer(timer)
    , m_voters(std::move(voters))
    , m_ownAnswer(std::move(own))
    , m_onReleased(std::move(onReleased))
    , m_tasks(*this)
{
}

kj::Promise<base::Result<base::LogIndex>> BootReads::read()
{
    auto waiter = kj::newPromiseAndFulfiller<base::Result<base::LogIndex>>();
    m_nextWaiters.push_back(kj::mv(waiter.fulfiller));
    if (!m_running)
        beginRound();
    return kj::mv(waiter.promise);
}

void BootReads::beginRound()
{
    m_running = true;
    const uint64_t round = ++m_rounds;
    m_currentWaiters = std::exchange(m_nextWaiters, {});
    m_answers.clear();
    m_requestedHosts.clear();
    m_tasks.add(m_timer.afterDelay(roundTimeout.ms * kj::MILLISECONDS).then([this, round] {
        finishRound(round, base::fail(base::Code::NoQuorum, "no majority of the voters answered"));
    }));
    requestFromLinkedVoters(round);
}

// May be called repeatedly in a round: an answer is valid for the round as long as it was requested after the round began.
void BootReads::requestFromLinkedVoters(uint64_t round)
{
    if (const auto own = m_ownAnswer())
        addAnswer(round, *own);
    if (!m_running || round != m_rounds)
        return;
    for (PeerLink* it : m_voters()) {
        if (!it->up() || !m_requestedHosts.insert(it->host()).second)
            continue;
        m_tasks.add(it->requestRecordedCommit().then([this, round](RecordedAnswer answer) {
            if (answer.boot)
                addAnswer(round, *answer.boot);
        }));
    }
    m_tasks.add(m_timer.afterDelay(newVoterPollInterval.ms * kj::MILLISECONDS).then([this, round] {
        if (m_running && round == m_rounds)
            requestFromLinkedVoters(round);
    }));
}

void BootReads::addAnswer(uint64_t round, const consensus::BootAnswer& answer)
{
    if (!m_running || round != m_rounds)
        return;
    m_answers.push_back(answer);
    if (const auto released = consensus::provenReleasedIndex(m_answers))
        m_onReleased(*released);
    if (const auto proven = consensus::minBootIndex(m_answers))
        finishRound(round, *proven);
}

void BootReads::finishRound(uint64_t round, const base::Result<base::LogIndex>& result)
{
    if (!m_running || round != m_rounds)
        return;
    m_running = false;
    for (Waiter& it : m_currentWaiters)
        it->fulfill(base::Result<base::LogIndex>(result));
    m_currentWaiters.clear();
    if (!m_nextWaiters.empty())
        beginRound();
}

} // namespace appletally::control
