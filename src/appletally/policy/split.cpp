// Smooth weighted round robin: each part earns its weight, and the one with the most credit pays the total weight.
#include "appletally/policy/split.h"

namespace appletally::policy {

base::ServiceName nextSplit(SplitCredits& credits, const std::vector<config::RouteSplit>& splits)
{
    int64_t totalWeight = 0;
    const config::RouteSplit* next = nullptr;
    for (const config::RouteSplit& it : splits) {
        if (it.weight <= 0)
            continue;
        totalWeight += it.weight;
        credits[it.service] += it.weight;
        if (!next || credits[it.service] > credits[next->service])
            next = &it;
    }
    if (!next)
        return splits.front().service;
    credits[next->service] -= totalWeight;
    return next->service;
}

} // namespace appletally::policy
