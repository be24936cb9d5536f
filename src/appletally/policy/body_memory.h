// Decides which large request bodies a node takes in, so that all of them together fit the memory that it may use.
//
// Load pattern: a few callers upload tens of megabytes each, at once, beside thousands of small requests. A process above
// its memory limit is killed, and with it every request that it has passed on. So a body is only read once there is room for
// all of it; one that has no room yet waits unread, and its caller's sending is paused by TCP. Small bodies are not counted.
#pragma once

#include <algorithm>
#include <cstdint>

namespace appletally::policy {

struct BodyMemory {
    uint64_t processBytes = 0; // that the process may use in total; 0: not bounded
    uint64_t reserved = 0; // by bodies that are being received or are held
    uint64_t received = 0; // of the reserved bytes: in memory already; invariant: at most `reserved`
    uint64_t leastOtherBytes = UINT64_MAX; // lowest use of the process beside bodies so far
};

enum class BodyRoom : uint8_t { Free, // and reserved now
    Later, // other bodies or answers hold it
    Never }; // not even if the process held nothing else than it needs when idle

// `residentBytes`: what the process uses now, including received bodies; 0: not known. After Free, the caller must return
// the bytes with releaseBody().
BodyRoom reserveBody(BodyMemory&, uint64_t bytes, uint64_t residentBytes);
// What the process uses at a moment without load tells which bodies are impossible; the first body may come in a burst.
void observeOtherUse(BodyMemory&, uint64_t residentBytes);
void releaseBody(BodyMemory&, uint64_t reserved, uint64_t received);

// The part of a body that an owner requests from a caller's node in advance. All slots together hold at most a sixteenth of
// the process's memory in such bytes, or the least window each.
uint64_t bodyWindow(uint64_t processBytes, int slots, uint64_t largest);

} // namespace appletally::policy
