// What the upstream says of itself in its answers, and the rate of requests that it gets: its limit, or less while it is
// cold.
#include "appletally/node/owner_call.h"

#include "appletally/base/log.h"

#include <cmath>

namespace appletally::node {

using base::Duration;
using base::Time;

constexpr Duration unreadableLogInterval { 10'000 };
constexpr double minLoggedChange = 0.1; // of a limit, as a part of the one before

void Owner::onNotices(const UpstreamNotices& notices, bool mayLift)
{
    logUnreadable(notices);
    if (notices.limit || (mayLift && m_limit && !notices.limitUnreadable))
        setLimit(notices.limit);
    if (notices.leaving && !m_leaving && m_upstream)
        onLeaving();
}

void Owner::onLeaving()
{
    const Time now = base::steadyNow();
    m_leaving = true;
    if (!m_upstream->id.empty())
        m_leavingProcess = { m_upstream->id, m_upstream->startedAtMs };
    m_drainingSince = m_drainingSince.value_or(now);
    base::logEvent(base::Event::UpstreamLeft, m_upstream->service.text + " " + m_upstream->version.text + " at " + m_upstream->address.text() + ": it said so in an answer");
    applyFollowup(policy::drain(m_admission, now));
    m_events.load(currentLoad());
    m_events.changed();
}

bool Owner::isLeaving(const Announcement& it) const
{
    return m_leavingProcess && m_leavingProcess->first == it.id && m_leavingProcess->second == it.startedAtMs;
}

void Owner::setLimit(std::optional<double> perSecond)
{
    if (!m_limit && !perSecond)
        return;
    const bool logged = m_limit && perSecond && std::abs(*perSecond - *m_limit) <= minLoggedChange * *m_limit;
    m_limit = perSecond;
    updateRate();
    if (!logged && m_upstream)
        base::logEvent(base::Event::UpstreamLimitChanged, m_upstream->service.text + " at " + m_upstream->address.text() + ": " + (perSecond ? std::to_string(*perSecond) + " requests a second" : "no limit"));
}

const config::Service* Owner::upstreamService() const
{
    if (!m_upstream || !m_snapshot)
        return nullptr;
    const auto it = m_snapshot->services.find(m_upstream->service);
    return it == m_snapshot->services.end() ? nullptr : &it->second;
}

void Owner::onRestartSuspected()
{
    const config::Service* service = upstreamService();
    if (!service || service->coldRate.thousandths == 0)
        return;
    policy::suspectCold(m_coldStart, service->coldWindow, base::steadyNow());
    updateRate();
}

void Owner::updateRate()
{
    const Time now = base::steadyNow();
    const config::Service* service = upstreamService();
    const bool cold = service && service->coldRate.thousandths > 0 && policy::isCold(m_coldStart, now);
    const auto rate = policy::rateLimitFor(m_limit, cold ? std::optional(service->coldRate.perSecond()) : std::nullopt);
    const bool endsWithColdStart = cold && rate != m_limit;
    const auto until = endsWithColdStart ? std::optional(m_coldStart.until) : std::nullopt;
    if (rate != m_rate || until != m_rateUntil) {
        m_rate = rate;
        m_rateUntil = until;
        applyFollowup(policy::setRate(m_admission, rate, now, until));
    }
    if (cold == m_cold)
        return;
    m_cold = cold;
    base::logEvent(cold ? base::Event::UpstreamCold : base::Event::UpstreamWarm, m_upstream ? m_upstream->service.text + " at " + m_upstream->address.text() : "no upstream");
    m_events.load(currentLoad());
}

void Owner::logUnreadable(const UpstreamNotices& notices)
{
    m_counts.unreadableLimits += notices.limitUnreadable ? 1 : 0;
    m_counts.unreadableLeavings += notices.leavingUnreadable ? 1 : 0;
    if (!notices.limitUnreadable && !notices.leavingUnreadable)
        return;
    const Time now = base::steadyNow();
    if (m_unreadableLoggedAt && now - *m_unreadableLoggedAt < unreadableLogInterval)
        return;
    m_unreadableLoggedAt = now;
    base::logEvent(base::Event::UpstreamNoticeUnreadable, m_upstream ? m_upstream->service.text + " at " + m_upstream->address.text() : "no upstream");
}

} // namespace appletally::node
