// Framing on libevent buffers.
#include "appletally/inner/frame.h"

#include <arpa/inet.h>

namespace appletally::inner {

bool appendFrame(evbuffer* out, capnp::MessageBuilder& message)
{
    if (capnp::computeSerializedSizeInWords(message) > maxFrameBytes / sizeof(capnp::word))
        return false;
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    const uint32_t length = htonl(static_cast<uint32_t>(bytes.size()));
    evbuffer_add(out, &length, sizeof length);
    evbuffer_add(out, bytes.begin(), bytes.size());
    return true;
}

base::Result<Frame> takeFrame(evbuffer* in, uint32_t maxBytes)
{
    uint32_t length = 0;
    if (evbuffer_copyout(in, &length, sizeof length) < static_cast<ssize_t>(sizeof length))
        return Frame {};
    length = ntohl(length);
    if (length > maxBytes)
        return base::fail(base::Code::MessageTooLarge, "frame too large: " + std::to_string(length) + " bytes");
    if (length == 0 || length % sizeof(capnp::word) != 0)
        return base::fail(base::Code::MessageMalformed, "invalid frame length: " + std::to_string(length) + " bytes");
    if (evbuffer_get_length(in) < frameHeaderBytes + length)
        return Frame {};
    evbuffer_drain(in, frameHeaderBytes);
    Frame frame { kj::heapArray<capnp::word>(length / sizeof(capnp::word)) };
    evbuffer_remove(in, frame.words.asBytes().begin(), length);
    return frame;
}

} // namespace appletally::inner
