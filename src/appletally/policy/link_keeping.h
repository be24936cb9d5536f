// How long a node keeps a link to another node on which nothing happens.
//
// Load pattern: a thousand nodes that each call upstreams beside all others, twice a second. Two nodes meet every few
// minutes, but with a fixed time of a minute each keeps a link to a hundred others, whose heartbeats are hundreds of times
// as many messages as the calls. Links between nodes that meet every second must stay, or calls wait for handshakes.
//
// So a link earns its time by its use: one that was used once is closed when its heartbeats have cost as much as another
// handshake would, one in regular use is kept.
#pragma once

#include "appletally/base/clock.h"

#include <cstdint>

namespace appletally::policy {

constexpr base::Duration linkIdleTimePerUse { 3000 }; // 15 heartbeats; a handshake is 8 packets
constexpr base::Duration maxLinkIdleTime { 60'000 };

// `uses`: calls and other messages so far, at least one.
base::Duration linkIdleTime(uint64_t uses);

} // namespace appletally::policy
