// A configuration version as sent between processes: a full snapshot or a delta from another version, compressed.
#pragma once

#include "appletally/base/result.h"
#include "appletally/config/applied.h"

#include <string>

namespace appletally::inner {

struct EncodedVersion {
    base::ConfigVersion version;
    base::ConfigVersion from; // 0: full snapshot
    std::string bytes; // compressed
};

EncodedVersion encodeVersion(const config::Snapshot& target, const config::Snapshot* from); // null: full snapshot

// Returns whether a new version was applied. Errors as in config/applied.h, and MessageMalformed.
base::Result<bool> apply(config::AppliedConfig&, const EncodedVersion&);

} // namespace appletally::inner
