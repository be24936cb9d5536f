// Shares the subscribers among the sources of configuration.
//
// Load pattern: a mesh starts, or returns from a loss of power. The control process that is ready first is found by all
// nodes, and who has a source keeps it. Without this one process sends every change to every node while the others are
// idle, its part grows with the fleet whatever the number of control hosts, and its loss makes all nodes reconnect at once.
//
// Each source knows the load of the others and hands over a part of its excess in each step, so that many sources with too
// many subscribers do not fill the same one. A subscriber moves only to a source that accepts subscribers now.
#pragma once

#include "appletally/base/ids.h"

#include <cstdint>
#include <span>
#include <vector>

namespace appletally::policy {

struct SourceLoad {
    base::HostId source;
    base::ZoneName zone;
    size_t subscribers = 0;
};

struct SubscriberPlace {
    uint64_t id = 0;
    base::ZoneName zone; // empty: not known
};

struct Handover {
    uint64_t subscriber = 0;
    base::HostId to;
};

// Subscribers to hand over now; empty if `own` has about its part. `others`: the sources that accept subscribers.
// `subscribers`: those of `own` that may be moved. Those with a source of their own zone that has room move first.
std::vector<Handover> chooseHandovers(const SourceLoad& own, std::span<const SourceLoad> others, std::span<const SubscriberPlace> subscribers, uint64_t random);

} // namespace appletally::policy
