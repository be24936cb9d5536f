// Applies snapshots and deltas as a whole, and never a lower version than before.
#include "appletally/config/applied.h"

#include "appletally/config/codec.h"
#include "appletally/config/generate.h"

#include <algorithm>

namespace appletally::config {

using base::Code;

namespace {

    bool applyHeld(AppliedConfig& it)
    {
        if (!it.minVersion || !it.held || it.held->version < *it.minVersion || it.applied == it.held)
            return false;
        it.applied = it.held;
        return true;
    }

    base::Result<bool> hold(AppliedConfig& it, Snapshot snapshot)
    {
        if (auto checked = validate(snapshot); !checked) {
            it.refused = std::max(it.refused, snapshot.version);
            it.refusal = checked.error().text;
            return checked.error();
        }
        snapshot.sum = { contentHash(snapshot), true }; // base for the next delta
        it.held = std::make_shared<const Snapshot>(std::move(snapshot));
        return applyHeld(it);
    }

} // namespace

base::Result<bool> applySnapshot(AppliedConfig& it, Snapshot snapshot)
{
    if (snapshot.version <= heldVersion(it))
        return base::fail(Code::VersionTooOld, "snapshot version " + std::to_string(snapshot.version.value) + " rejected: version " + std::to_string(heldVersion(it).value) + " is already held");
    return hold(it, std::move(snapshot));
}

base::Result<bool> applyDelta(AppliedConfig& it, const Delta& delta)
{
    static const Snapshot nothing;
    auto patched = patch(it.held ? *it.held : nothing, delta);
    if (!patched)
        return patched.error();
    return hold(it, std::move(patched.value()));
}

bool raiseMinVersion(AppliedConfig& it, base::ConfigVersion version)
{
    it.minVersion = std::max(it.minVersion.value_or(version), version);
    return applyHeld(it);
}

base::ConfigVersion heldVersion(const AppliedConfig& it) { return it.held ? it.held->version : base::ConfigVersion {}; }

base::ConfigVersion appliedVersion(const AppliedConfig& it) { return it.applied ? it.applied->version : base::ConfigVersion {}; }

} // namespace appletally::config
