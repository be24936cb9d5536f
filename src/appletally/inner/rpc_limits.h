// Limits and timeouts of the inner ports. Both sides of a link use the same values.
#pragma once

#include "appletally/base/clock.h"

#include <cstdint>

namespace appletally::inner {

// A larger message is rejected before its body is read. A full snapshot of 320 services is well under 1 MiB, and a few
// hundred links must not be able to exhaust the memory of one process.
constexpr uint64_t maxMessageBytes = 8u << 20;

// Total size of the calls of one connection that are in progress. Above it the connection is not read until some complete.
constexpr uint64_t maxPendingCallBytes = 16u << 20;

// Each side sends heartbeats at this interval and replaces a link that received no byte for rpcSilenceTimeout. A silent
// connection usually stays silent while new ones work, so waiting longer gains nothing; two lost heartbeats are tolerated.
// A node whose source is cut off or frozen must switch to another one well within two seconds, or it uses an old version
// after operators were notified that the new one is applied.
constexpr base::Duration rpcHeartbeatInterval { 400 };
constexpr base::Duration rpcSilenceTimeout { 1300 };

// Four round trips between regions. The kernel answers a connect in one round trip, however busy the process is. If it takes
// longer, the SYN was lost or the host is down, and the kernel retransmits only after one second, while a new connection
// would be answered at once.
constexpr base::Duration connectTimeout { 150 };

// On a congested link a connect waits behind queued data. A client that keeps retrying one address has to use this longer
// timeout now and then, or it never succeeds. It covers the kernel's first SYN retransmission.
constexpr base::Duration longConnectTimeout { 1200 };

// From accept or connect until the key is proved. A peer that only opens connections is disconnected after it, and a source
// that does not answer delays the search for another one this long. It covers one packet lost after the TCP handshake
// (retransmitted after 200 ms).
constexpr base::Duration authenticationTimeout { 1500 };

// Concurrent connections that are not authenticated yet. Authentication takes a few milliseconds, so 2,500 nodes that connect
// at once still get through.
constexpr size_t maxUnauthenticatedConnections = 512;

} // namespace appletally::inner
