// A request body above ListenerLimits::maxSmallBodyBytes: received once into memory of its own, then shared by all that read
// it, without a copy.
//
// The memory is mapped, not allocated: it counts as used only where it was written, never moves while the body grows, and
// returns to the system at once when the last reader is done.
#pragma once

#include "appletally/policy/body_memory.h"

#include <event2/buffer.h>
#include <memory>
#include <string_view>

struct XXH3_state_s;

namespace appletally::http {

class LargeBody {
public:
    // Takes over a reservation of `reserved` bytes. `capacity`: the largest size. Null: the system gave no memory; the
    // reservation is returned.
    static std::shared_ptr<LargeBody> make(std::shared_ptr<policy::BodyMemory>, uint64_t capacity, uint64_t reserved);
    ~LargeBody();
    LargeBody(const LargeBody&) = delete;
    LargeBody& operator=(const LargeBody&) = delete;

    void addReserved(uint64_t bytes) { m_reserved += bytes; } // already taken from the BodyMemory
    bool append(evbuffer*); // drains the buffer; false, without any effect: it is longer than the capacity
    std::string_view view() const { return { m_bytes, m_size }; }
    uint64_t size() const { return m_size; }
    uint64_t reserved() const { return m_reserved; }
    uint64_t digest() const; // XXH3 of all bytes so far

private:
    LargeBody(std::shared_ptr<policy::BodyMemory>, char* bytes, uint64_t capacity, uint64_t reserved);

    std::shared_ptr<policy::BodyMemory> m_memory;
    char* m_bytes;
    uint64_t m_capacity;
    uint64_t m_size = 0;
    uint64_t m_reserved;
    XXH3_state_s* m_digest; // updated as bytes arrive, so that no single step takes long
};

uint64_t residentBytes(); // of this process; 0: the system does not tell

// Returns memory that the allocator has kept after its use to the system; costs milliseconds where it has kept much.
void releaseFreeMemory();

} // namespace appletally::http
