// Applying whole or not at all, and never back.
#include "appletally/config/applied.h"

#include "appletally/config/codec.h"
#include "appletally/config/generate.h"

#include <algorithm>

namespace appletally::config {

using base::Code;

namespace {

    bool putInForce(AppliedConfig& applied)
    {
        if (!applied.minVersion || !applied.held || applied.held->version < *applied.minVersion || applied.applied == applied.held)
            return false;
        applied.applied = applied.held;
        return true;
    }

    base::Result<bool> hold(AppliedConfig& applied, Snapshot snapshot)
    {
        if (auto checked = validate(snapshot); !checked) {
            applied.refused = std::max(applied.refused, snapshot.version);
            applied.refusal = checked.error().text;
            return checked.error();
        }
        snapshot.sum = { contentHash(snapshot), true }; // the next delta builds on it
        applied.held = std::make_shared<const Snapshot>(std::move(snapshot));
        return putInForce(applied);
    }

} // namespace

base::Result<bool> applySnapshot(AppliedConfig& applied, Snapshot snapshot)
{
    if (snapshot.version <= heldVersion(applied))
        return base::fail(Code::VersionTooOld, "snapshot " + std::to_string(snapshot.version.value) + " where " + std::to_string(heldVersion(applied).value) + " is held");
    return hold(applied, std::move(snapshot));
}

base::Result<bool> applyDelta(AppliedConfig& applied, const Delta& delta)
{
    static const Snapshot nothing;
    auto patched = patch(applied.held ? *applied.held : nothing, delta);
    if (!patched)
        return patched.error();
    return hold(applied, std::move(patched.value()));
}

bool raiseMinVersion(AppliedConfig& applied, base::ConfigVersion version)
{
    applied.minVersion = std::max(applied.minVersion.value_or(version), version);
    return putInForce(applied);
}

base::ConfigVersion heldVersion(const AppliedConfig& it) { return it.held ? it.held->version : base::ConfigVersion {}; }

base::ConfigVersion appliedVersion(const AppliedConfig& it) { return it.applied ? it.applied->version : base::ConfigVersion {}; }

} // namespace appletally::config
