// Applying whole or not at all, and never back.
#include "appletally/config/applied.h"

#include "appletally/config/codec.h"
#include "appletally/config/generate.h"

#include <algorithm>

namespace appletally::config {

using base::Code;

namespace {

    bool putInForce(Applied& applied)
    {
        if (!applied.floor || !applied.held || applied.held->version < *applied.floor || applied.inForce == applied.held)
            return false;
        applied.inForce = applied.held;
        return true;
    }

    base::Result<bool> hold(Applied& applied, Snapshot snapshot)
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

base::Result<bool> applySnapshot(Applied& applied, Snapshot snapshot)
{
    if (snapshot.version <= heldVersion(applied))
        return base::fail(Code::VersionTooOld, "snapshot " + std::to_string(snapshot.version.value) + " where " + std::to_string(heldVersion(applied).value) + " is held");
    return hold(applied, std::move(snapshot));
}

base::Result<bool> applyDelta(Applied& applied, const Delta& delta)
{
    static const Snapshot nothing;
    auto patched = patch(applied.held ? *applied.held : nothing, delta);
    if (!patched)
        return patched.error();
    return hold(applied, std::move(patched.value()));
}

bool raiseFloor(Applied& applied, base::ConfigVersion version)
{
    applied.floor = std::max(applied.floor.value_or(version), version);
    return putInForce(applied);
}

base::ConfigVersion heldVersion(const Applied& it) { return it.held ? it.held->version : base::ConfigVersion {}; }

base::ConfigVersion versionInForce(const Applied& it) { return it.inForce ? it.inForce->version : base::ConfigVersion {}; }

} // namespace appletally::config
