// Frames: checksummed records in the files of a data folder, and the classification of one that fails verification.
//
// A frame is: length (4 bytes), checksum of the length (4), checksum of the payload (8), payload; all little-endian,
// checksums are XXH3. The length has its own checksum because a flipped bit in it would otherwise look like a frame
// torn by a crash, and durable data would be dropped silently.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace appletally::consensus {

std::string frame(std::string_view payload);

enum class FrameStatus : uint8_t {
    Complete,
    Torn, // the last frame is truncated or was never filled: a write interrupted by a crash
    Damaged, // bytes that were completely written have changed
};

struct Frames {
    std::vector<std::string_view> payloads; // up to the first invalid frame; views into the bytes given
    uint64_t validBytes = 0;
    FrameStatus status = FrameStatus::Complete;
};

Frames readFrames(std::string_view bytes);

} // namespace appletally::consensus
