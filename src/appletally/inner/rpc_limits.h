// Limits of the inner ports, each with its grounds. Both sides of a link use the same ones.
#pragma once

#include "appletally/base/clock.h"

#include <cstdint>

namespace appletally::inner {

// A message over this is refused before its body is read. A whole snapshot of 320 services is well under 1 MiB, and a
// few hundred links must not be able to ask one process for its memory.
constexpr uint64_t mostMessageBytes = 8u << 20;

// Calls of one connection that wait for their answers, in bytes; over it the connection is not read until some are done.
constexpr uint64_t mostPendingBytes = 16u << 20;

// Each side beats this often, and a link without a byte from the other side for rpcSilenceTimeout is replaced. Connections go
// silent for good while new ones work, so waiting longer gains nothing; two lost beats are forgiven. A node whose source
// is cut off or frozen has to be with another one well within two seconds, or it serves an old version after operators
// were told that the new one is in force.
constexpr base::Duration rpcHeartbeatInterval { 400 };
constexpr base::Duration rpcSilenceTimeout { 1300 };

// The kernel answers a connect in one round trip, however busy the process is. What takes longer was lost or went to a host
// without power, and is sent again only after a second: whoever waits for it meanwhile is served by nobody, though a new
// connection would be answered at once. Four round trips between regions.
constexpr base::Duration connectTimeout { 150 };

// A connect over a crowded link waits behind what is queued there. Whoever tries one address again and again has to wait
// this long now and then, or it never succeeds. The kernel's second try is within it.
constexpr base::Duration longConnectTimeout { 1200 };

// From accept or connect to a proven key. A peer that only opens connections is shed after it, and one that does not
// answer costs whoever looks for a source this long. One lost packet after the handshake (200 ms until it is sent again) fits.
constexpr base::Duration proofLimit { 1500 };

// Unproven connections at once. The proof takes a few milliseconds, so that a herd of 2,500 nodes still passes.
constexpr size_t mostUnproven = 512;

} // namespace appletally::inner
