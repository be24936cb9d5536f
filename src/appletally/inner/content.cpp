// Encoding and decoding of snapshots and deltas.
#include "appletally/inner/content.h"

#include "appletally/config/codec.h"

namespace appletally::inner {

EncodedVersion encodeVersion(const config::Snapshot& target, const config::Snapshot* from)
{
    if (!from)
        return { target.version, {}, config::compress(config::encode(target)) };
    return { target.version, from->version, config::compress(config::encode(config::difference(*from, target))) };
}

base::Result<bool> apply(config::AppliedConfig& applied, const EncodedVersion& encoded)
{
    auto plain = config::decompress(encoded.bytes);
    if (!plain)
        return plain.error();
    if (encoded.from.value == 0) {
        auto snapshot = config::decodeSnapshot(plain.value());
        if (!snapshot)
            return snapshot.error();
        return config::applySnapshot(applied, std::move(snapshot.value()));
    }
    auto delta = config::decodeDelta(plain.value());
    if (!delta)
        return delta.error();
    return config::applyDelta(applied, delta.value());
}

} // namespace appletally::inner
