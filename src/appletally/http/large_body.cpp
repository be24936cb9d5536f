// Mapped memory of a large body, and what the process uses in total.
#include "appletally/http/large_body.h"

#include <cstdio>
#include <cstring>
#include <malloc.h>
#include <sys/mman.h>
#include <unistd.h>
#include <xxhash.h>

namespace appletally::http {

std::shared_ptr<LargeBody> LargeBody::make(std::shared_ptr<policy::BodyMemory> memory, uint64_t capacity, uint64_t reserved)
{
    void* bytes = mmap(nullptr, capacity, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
    if (bytes != MAP_FAILED)
        return std::shared_ptr<LargeBody>(new LargeBody(std::move(memory), static_cast<char*>(bytes), capacity, reserved));
    policy::releaseBody(*memory, reserved, 0);
    return nullptr;
}

LargeBody::LargeBody(std::shared_ptr<policy::BodyMemory> memory, char* bytes, uint64_t capacity, uint64_t reserved)
    : m_memory(std::move(memory))
    , m_bytes(bytes)
    , m_capacity(capacity)
    , m_reserved(reserved)
    , m_digest(XXH3_createState())
{
    XXH3_64bits_reset(m_digest);
}

LargeBody::~LargeBody()
{
    munmap(m_bytes, m_capacity);
    XXH3_freeState(m_digest);
    policy::releaseBody(*m_memory, m_reserved, m_size);
}

bool LargeBody::append(evbuffer* buf)
{
    const size_t n = evbuffer_get_length(buf);
    if (n > m_capacity - m_size)
        return false;
    evbuffer_remove(buf, m_bytes + m_size, n);
    XXH3_64bits_update(m_digest, m_bytes + m_size, n);
    m_size += n;
    m_memory->received += n;
    return true;
}

uint64_t LargeBody::digest() const { return XXH3_64bits_digest(m_digest); }

uint64_t residentBytes()
{
    std::FILE* file = std::fopen("/proc/self/statm", "re");
    if (!file)
        return 0;
    unsigned long long pages = 0;
    const int n = std::fscanf(file, "%*u %llu", &pages);
    std::fclose(file);
    return n == 1 ? pages * static_cast<uint64_t>(sysconf(_SC_PAGESIZE)) : 0;
}

void releaseFreeMemory() { malloc_trim(0); }

} // namespace appletally::http
