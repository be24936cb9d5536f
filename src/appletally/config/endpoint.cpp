// The order of leavings at one host; see endpoint.h.
#include "appletally/config/endpoint.h"

#include <utility>

namespace appletally::config {

std::optional<LeavingUpstream> laterLeaving(const std::optional<LeavingUpstream>& a, const std::optional<LeavingUpstream>& b)
{
    if (!a || !b)
        return a ? a : b;
    return std::pair(a->startedAtMs, a->sequence) < std::pair(b->startedAtMs, b->sequence) ? b : a;
}

} // namespace appletally::config
