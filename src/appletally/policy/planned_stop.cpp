// See planned_stop.h.
#include "appletally/policy/planned_stop.h"

#include <algorithm>

namespace appletally::policy {

bool endsBefore(base::Time stop, const ExpectedEnd& it, base::Time now)
{
    const base::Duration unseen = it.idempotent ? it.expected : it.longest;
    const base::Duration time = it.seen ? std::max(*it.seen, it.expected) : unseen;
    return now + std::min(time, it.longest) <= stop;
}

} // namespace appletally::policy
