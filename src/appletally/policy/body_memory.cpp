// Reservations of memory for request bodies; see body_memory.h.
#include "appletally/policy/body_memory.h"

namespace appletally::policy {

// What remains is for answers that wait, for the buffers of sockets, and for what the allocator keeps.
constexpr uint64_t usableQuarters = 3;

constexpr uint64_t leastBodyWindow = 16 * 1024;

static uint64_t otherUse(const BodyMemory& it, uint64_t residentBytes) { return residentBytes - std::min(residentBytes, it.received); }

void observeOtherUse(BodyMemory& it, uint64_t residentBytes) { it.leastOtherBytes = std::min(it.leastOtherBytes, otherUse(it, residentBytes)); }

BodyRoom reserveBody(BodyMemory& it, uint64_t bytes, uint64_t residentBytes)
{
    if (it.processBytes == 0) {
        it.reserved += bytes;
        return BodyRoom::Free;
    }
    const uint64_t usable = it.processBytes / 4 * usableQuarters;
    const uint64_t resident = residentBytes > 0 ? residentBytes : it.processBytes / 4 + it.received;
    const uint64_t other = otherUse(it, resident);
    observeOtherUse(it, resident);
    if (bytes > usable - std::min(usable, it.leastOtherBytes))
        return BodyRoom::Never;
    if (it.reserved + other + bytes > usable)
        return BodyRoom::Later;
    it.reserved += bytes;
    return BodyRoom::Free;
}

void releaseBody(BodyMemory& it, uint64_t reserved, uint64_t received)
{
    it.reserved -= std::min(reserved, it.reserved);
    it.received -= std::min(received, it.received);
}

uint64_t bodyWindow(uint64_t processBytes, int slots, uint64_t largest)
{
    if (processBytes == 0)
        return largest;
    return std::clamp<uint64_t>(processBytes / 16 / static_cast<uint64_t>(std::max(slots, 1)), leastBodyWindow, largest);
}

} // namespace appletally::policy
