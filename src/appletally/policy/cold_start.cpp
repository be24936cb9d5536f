// Keeps the end of the cold start; see cold_start.h.
#include "appletally/policy/cold_start.h"

#include <algorithm>

namespace appletally::policy {

namespace {

    // An announcement may be on its way for this long. One of the process before a restart, or sent just before the
    // upstream became cold, must not end the cold start.
    constexpr base::Duration announcementDelay { 1000 };

} // namespace

void announceCold(ColdStart& it, base::Duration remaining, bool newProcess, base::Time now)
{
    const bool mayBeOlder = !newProcess && now - it.suspectedAt < announcementDelay;
    it.until = mayBeOlder ? std::max(it.until, now + remaining) : now + remaining;
}

void suspectCold(ColdStart& it, base::Duration window, base::Time now)
{
    it.until = std::max(it.until, now + window);
    it.suspectedAt = now;
}

bool isCold(const ColdStart& it, base::Time now) { return now < it.until; }

std::optional<double> rateLimitFor(std::optional<double> named, std::optional<double> whileCold)
{
    if (!named || !whileCold)
        return named ? named : whileCold;
    return std::min(*named, *whileCold);
}

} // namespace appletally::policy
