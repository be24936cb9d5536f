// Idle time of links; see link_keeping.h.
#include "appletally/policy/link_keeping.h"

#include <algorithm>

namespace appletally::policy {

base::Duration linkIdleTime(uint64_t uses)
{
    constexpr uint64_t enoughUses = maxLinkIdleTime.ms / linkIdleTimePerUse.ms;
    return linkIdleTimePerUse * static_cast<int64_t>(std::min(uses, enoughUses));
}

} // namespace appletally::policy
