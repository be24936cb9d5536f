// The response body that the stand-in upstream sends and the stand-in caller checks: one line with the request's tag and
// the version, then filler bytes derived from the tag, so that a chunk of another request's response is detected at any position.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <xxhash.h>

namespace standin {

constexpr const char* tagHeader = "Request-Tag";
constexpr const char* hashHeader = "Body-Hash"; // XXH3 of the whole body, hex
constexpr size_t chunkBytes = 64 * 1024;

inline std::string firstLine(const std::string& tag, const std::string& version) { return "tag " + tag + " version " + version + "\n"; }

// Returns the filler bytes from `offset` on, at most chunkBytes.
inline std::string filler(std::string_view tag, uint64_t offset, uint64_t totalBytes)
{
    const uint64_t shift = XXH3_64bits(tag.data(), tag.size()) % 251;
    std::string out(std::min<uint64_t>(chunkBytes, totalBytes - offset), '\0');
    for (size_t n = 0; n < out.size(); ++n)
        out[n] = static_cast<char>('a' + (offset + n + shift) % 251 % 26);
    return out;
}

class Hash {
public:
    Hash() { XXH3_64bits_reset(m_state); }
    ~Hash() { XXH3_freeState(m_state); }
    Hash(const Hash&) = delete;
    Hash& operator=(const Hash&) = delete;
    void add(std::string_view bytes) { XXH3_64bits_update(m_state, bytes.data(), bytes.size()); }
    std::string hex() const
    {
        char buf[17];
        snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(XXH3_64bits_digest(m_state)));
        return buf;
    }

private:
    XXH3_state_t* m_state = XXH3_createState();
};

inline std::string bodyHash(const std::string& tag, const std::string& line, uint64_t fillerBytes)
{
    Hash hash;
    hash.add(line);
    for (uint64_t offset = 0; offset < fillerBytes; offset += chunkBytes)
        hash.add(filler(tag, offset, fillerBytes));
    return hash.hex();
}

} // namespace standin
