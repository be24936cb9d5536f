// Frame encoding with XXH3 checksums.
#include "appletally/consensus/frame.h"

#include <algorithm>
#include <cstring>
#include <xxhash.h>

namespace appletally::consensus {

static constexpr size_t lengthBytes = 4;
static constexpr size_t headerBytes = 16;
static constexpr size_t blockBytes = 512; // minimum unit of a disk write

static void appendLittleEndian(std::string& out, uint64_t value, size_t n)
{
    for (size_t i = 0; i < n; ++i)
        out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
}

static uint64_t readLittleEndian(std::string_view bytes)
{
    uint64_t result = 0;
    for (size_t i = bytes.size(); i > 0; --i)
        result = result << 8 | static_cast<uint8_t>(bytes[i - 1]);
    return result;
}

static uint64_t hash(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }
static uint64_t truncatedHash(std::string_view bytes) { return hash(bytes) & 0xffffffff; }

std::string frame(std::string_view payload)
{
    std::string result;
    appendLittleEndian(result, payload.size(), lengthBytes);
    appendLittleEndian(result, truncatedHash(result), lengthBytes);
    appendLittleEndian(result, hash(payload), 8);
    result += payload;
    return result;
}

static bool allZero(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [](char c) { return c == 0; });
}

// After a crash a file may have its new length with blocks that were never written and read as zeros. The data written
// here (text and CBOR) has no block of zeros.
static bool hasUnwrittenBlock(std::string_view file, size_t from, size_t end)
{
    size_t at = from;
    while (at < end) {
        const size_t next = std::min(end, (at / blockBytes + 1) * blockBytes);
        if (next - at >= headerBytes && allZero(file.substr(at, next - at)))
            return true;
        at = next;
    }
    return false;
}

Frames readFrames(std::string_view bytes)
{
    Frames result;
    size_t at = 0;
    while (at < bytes.size()) {
        const std::string_view rest = bytes.substr(at);
        const size_t bytesLeftInBlock = blockBytes - at % blockBytes; // the header may continue in a block that was never written
        if (rest.size() < headerBytes || allZero(rest) || (bytesLeftInBlock < headerBytes && allZero(rest.substr(bytesLeftInBlock)))) {
            result.status = FrameStatus::Torn;
            return result;
        }
        const std::string_view length = rest.substr(0, lengthBytes);
        if (readLittleEndian(rest.substr(lengthBytes, lengthBytes)) != truncatedHash(length)) {
            result.status = FrameStatus::Damaged;
            return result;
        }
        const size_t end = at + headerBytes + readLittleEndian(length);
        if (end > bytes.size()) {
            result.status = FrameStatus::Torn;
            return result;
        }
        const std::string_view payload = rest.substr(headerBytes, readLittleEndian(length));
        if (readLittleEndian(rest.substr(2 * lengthBytes, 8)) != hash(payload)) {
            const bool last = end == bytes.size();
            result.status = last && hasUnwrittenBlock(bytes, at + headerBytes, end) ? FrameStatus::Torn : FrameStatus::Damaged;
            return result;
        }
        result.payloads.push_back(payload);
        at = end;
        result.validBytes = at;
    }
    return result;
}

} // namespace appletally::consensus
