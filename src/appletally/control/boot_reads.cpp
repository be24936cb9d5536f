// Batched majority reads for starting nodes.
#include "appletally/control/boot_reads.h"

namespace appletally::control {

// A voter that does not answer within this will not: a round trip between zones takes 3 ms.
constexpr base::Duration roundLimit { 1000 };

// Voters whose links come up while a round is under way are asked then. Where all processes have just started, the first
// round began before there was any link; without this its nodes waited for its limit, a second in which they served nobody.
constexpr base::Duration askOthersEvery { 50 };

BootReads::BootReads(kj::Timer& timer, std::function<std::vector<PeerLink*>()> voters, std::function<std::optional<consensus::BootAnswer>()> own, std::function<void(base::LogIndex)> released)
    : m_timer(timer)
    , m_voters(std::move(voters))
    , m_own(std::move(own))
    , m_released(std::move(released))
    , m_tasks(*this)
{
}

kj::Promise<base::Result<base::LogIndex>> BootReads::read()
{
    auto asked = kj::newPromiseAndFulfiller<base::Result<base::LogIndex>>();
    m_waiting.push_back(kj::mv(asked.fulfiller));
    if (!m_running)
        begin();
    return kj::mv(asked.promise);
}

void BootReads::begin()
{
    m_running = true;
    const uint64_t round = ++m_rounds;
    m_served = std::exchange(m_waiting, {});
    m_answers.clear();
    m_asked.clear();
    m_tasks.add(m_timer.afterDelay(roundLimit.ms * kj::MILLISECONDS).then([this, round] {
        finish(round, base::fail(base::Code::NoQuorum, "no majority of the voters answered"));
    }));
    askOthers(round);
}

// What each answers is later than the begin of the round, however late it is asked.
void BootReads::askOthers(uint64_t round)
{
    if (const auto own = m_own())
        addAnswer(round, *own);
    if (!m_running || round != m_rounds)
        return;
    for (PeerLink* it : m_voters()) {
        if (!it->up() || !m_asked.insert(it->host()).second)
            continue;
        m_tasks.add(it->recorded().then([this, round](RecordedAnswer answer) {
            if (answer.boot)
                addAnswer(round, *answer.boot);
        }));
    }
    m_tasks.add(m_timer.afterDelay(askOthersEvery.ms * kj::MILLISECONDS).then([this, round] {
        if (m_running && round == m_rounds)
            askOthers(round);
    }));
}

void BootReads::addAnswer(uint64_t round, const consensus::BootAnswer& answer)
{
    if (!m_running || round != m_rounds)
        return;
    m_answers.push_back(answer);
    if (const auto released = consensus::provenReleasedIndex(m_answers))
        m_released(*released);
    if (const auto proven = consensus::minBootIndex(m_answers))
        finish(round, *proven);
}

void BootReads::finish(uint64_t round, const base::Result<base::LogIndex>& result)
{
    if (!m_running || round != m_rounds)
        return;
    m_running = false;
    for (Waiter& it : m_served)
        it->fulfill(base::Result<base::LogIndex>(result));
    m_served.clear();
    if (!m_waiting.empty())
        begin();
}

} // namespace appletally::control
