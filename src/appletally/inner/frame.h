// Framing of messages on a byte stream: a length of four bytes in network order, then a Cap'n Proto message.
//
// The length is checked before anything is allocated, so that a peer that announces 4 GiB costs four bytes.
#pragma once

#include "appletally/base/result.h"

#include <capnp/serialize.h>
#include <cstdint>
#include <event2/buffer.h>

namespace appletally::inner {

// Fits a call with the largest headers and a small body; larger bodies are sent in pieces.
constexpr uint32_t maxFrameBytes = 2 * 1024 * 1024;
constexpr size_t frameHeaderBytes = 4;

bool appendFrame(evbuffer* out, capnp::MessageBuilder&); // false: larger than maxFrameBytes; nothing was appended

struct Frame {
    kj::Array<capnp::word> words; // empty: the frame is not complete yet
};

// Removes one frame from the front. After MessageTooLarge or MessageMalformed the connection has to be closed.
base::Result<Frame> takeFrame(evbuffer* in, uint32_t maxBytes = maxFrameBytes);

} // namespace appletally::inner
