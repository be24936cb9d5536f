// A short list and one timer; see the header.
#include "appletally/node/early_requests.h"

#include "appletally/base/loop_time.h"

#include <algorithm>
#include <utility>

namespace appletally::node {

// Callers wait several times as long as an answer is worth most, so an eighth leaves most of that time for the answer.
constexpr int64_t partOfTimeLeft = 8;
constexpr base::Duration longestKept { 500 };
constexpr size_t mostKept = 500; // more than a node's callers send in that time; bounds its memory

EarlyRequests::EarlyRequests(event_base* loop, Serve serve, Refuse refuse)
    : m_serve(std::move(serve))
    , m_refuse(std::move(refuse))
    , m_timer(event_new(
          loop, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<EarlyRequests*>(self)->onTimer(); }, this))
{
}

EarlyRequests::~EarlyRequests() { event_free(m_timer); }

bool EarlyRequests::keep(http::CallerExchange& exchange, base::Duration timeLeft)
{
    if (!m_expected || m_kept.size() >= mostKept)
        return false;
    const base::Time now = base::steadyNow();
    const base::Duration within = std::min(base::Duration { timeLeft.ms / partOfTimeLeft }, longestKept);
    m_kept.push_back({ &exchange, now, now + within });
    exchange.onGone = [this, gone = &exchange] { std::erase_if(m_kept, [&](const Kept& it) { return it.exchange == gone; }); };
    arm();
    return true;
}

void EarlyRequests::setExpected(bool expected)
{
    m_expected = expected;
    if (!expected)
        refuseAll();
}

void EarlyRequests::serveAll()
{
    for (const Kept& it : std::exchange(m_kept, {})) {
        it.exchange->onGone = nullptr;
        m_serve(*it.exchange, it.since);
    }
}

void EarlyRequests::refuseAll()
{
    for (const Kept& it : std::exchange(m_kept, {})) {
        it.exchange->onGone = nullptr;
        m_refuse(*it.exchange);
    }
}

void EarlyRequests::onTimer()
{
    const base::Time now = base::steadyNow();
    std::vector<Kept> over;
    for (const Kept& it : m_kept) {
        if (it.until <= now)
            over.push_back(it);
    }
    std::erase_if(m_kept, [&](const Kept& it) { return it.until <= now; });
    for (const Kept& it : over) {
        it.exchange->onGone = nullptr;
        m_refuse(*it.exchange);
    }
    arm();
}

void EarlyRequests::arm()
{
    if (m_kept.empty())
        return;
    const auto first = std::min_element(m_kept.begin(), m_kept.end(), [](const Kept& a, const Kept& b) { return a.until < b.until; });
    const timeval wait = base::toTimeval(std::max(first->until - base::steadyNow(), base::Duration { 1 }));
    event_add(m_timer, &wait);
}

} // namespace appletally::node
