// Implemented as a list with a single timer.
#include "appletally/node/early_requests.h"

#include "appletally/base/loop_time.h"

#include <algorithm>
#include <utility>

namespace appletally::node {

// Callers' timeouts are several times the target latency, so waiting an eighth leaves most of the target for the answer.
constexpr int64_t timeLeftDivisor = 8;
constexpr base::Duration maxQueueTime { 500 };
constexpr size_t maxQueuedRequests = 500; // bounds the memory; more than a node's callers send within maxQueueTime

EarlyRequests::EarlyRequests(event_base* loop, Serve serve, Refuse refuse)
    : m_serve(std::move(serve))
    , m_refuse(std::move(refuse))
    , m_timer(event_new(
          loop, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<EarlyRequests*>(self)->onTimer(); }, this))
{
}

EarlyRequests::~EarlyRequests() { event_free(m_timer); }

bool EarlyRequests::enqueue(http::CallerExchange& exchange, base::Duration timeLeft)
{
    if (!m_configurationExpected || m_queue.size() >= maxQueuedRequests)
        return false;
    const base::Time now = base::steadyNow();
    const base::Duration within = std::min(base::Duration { timeLeft.ms / timeLeftDivisor }, maxQueueTime);
    m_queue.push_back({ &exchange, now, now + within });
    exchange.onGone = [this, gone = &exchange] { std::erase_if(m_queue, [&](const QueuedRequest& it) { return it.exchange == gone; }); };
    arm();
    return true;
}

void EarlyRequests::setConfigurationExpected(bool expected)
{
    m_configurationExpected = expected;
    if (!expected)
        refuseAll();
}

void EarlyRequests::serveAll()
{
    for (const QueuedRequest& it : std::exchange(m_queue, {})) {
        it.exchange->onGone = nullptr;
        m_serve(*it.exchange, it.arrivedAt);
    }
}

void EarlyRequests::refuseAll()
{
    for (const QueuedRequest& it : std::exchange(m_queue, {})) {
        it.exchange->onGone = nullptr;
        m_refuse(*it.exchange);
    }
}

void EarlyRequests::onTimer()
{
    const base::Time now = base::steadyNow();
    std::vector<QueuedRequest> expired;
    for (const QueuedRequest& it : m_queue) {
        if (it.expiresAt <= now)
            expired.push_back(it);
    }
    std::erase_if(m_queue, [&](const QueuedRequest& it) { return it.expiresAt <= now; });
    for (const QueuedRequest& it : expired) {
        it.exchange->onGone = nullptr;
        m_refuse(*it.exchange);
    }
    arm();
}

void EarlyRequests::arm()
{
    if (m_queue.empty())
        return;
    const auto first = std::min_element(m_queue.begin(), m_queue.end(), [](const QueuedRequest& a, const QueuedRequest& b) { return a.expiresAt < b.expiresAt; });
    const timeval wait = base::toTimeval(std::max(first->expiresAt - base::steadyNow(), base::Duration { 1 }));
    event_add(m_timer, &wait);
}

} // namespace appletally::node
