// Smooth weighted turns: each part earns its weight, and who has most pays for all.
#include "appletally/policy/split.h"

namespace appletally::policy {

base::ServiceName nextSplit(SplitTurns& turns, const std::vector<config::RouteSplit>& splits)
{
    int64_t all = 0;
    const config::RouteSplit* next = nullptr;
    for (const config::RouteSplit& it : splits) {
        if (it.weight <= 0)
            continue;
        all += it.weight;
        turns[it.service] += it.weight;
        if (!next || turns[it.service] > turns[next->service])
            next = &it;
    }
    if (!next)
        return splits.front().service;
    turns[next->service] -= all;
    return next->service;
}

} // namespace appletally::policy
