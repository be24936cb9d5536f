// A configuration version as it travels: whole or as a delta from another version, compressed.
#pragma once

#include "appletally/base/result.h"
#include "appletally/config/applied.h"

#include <string>

namespace appletally::inner {

struct EncodedVersion {
    base::ConfigVersion version;
    base::ConfigVersion from; // 0: whole
    std::string bytes; // compressed
};

EncodedVersion encodeVersion(const config::Snapshot& target, const config::Snapshot* from); // null: whole

// Returns whether something new is in force. Errors as in config/applied.h, and MessageMalformed.
base::Result<bool> apply(config::Applied&, const EncodedVersion&);

} // namespace appletally::inner
