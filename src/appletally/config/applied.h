// What one node holds and has in force. The one place that decides whether a snapshot may take effect.
//
// Never back: a running node refuses lower versions. A restarted one has forgotten its version, and its whole rack may
// have; a source that lags would lead it back to limits, shares and routes that were replaced, which its callers would
// see as a withdrawn upstream version taking traffic again. So until a majority of the voters has said what is
// recorded, nothing is in force ("not ready"), and then nothing below what they said.
#pragma once

#include "appletally/base/result.h"
#include "appletally/config/delta.h"
#include "appletally/config/model.h"

#include <memory>
#include <optional>
#include <string>

namespace appletally::config {

struct Applied {
    std::shared_ptr<const Snapshot> held; // newest that arrived whole and passed validate(); deltas build on it
    std::shared_ptr<const Snapshot> inForce; // null: not ready. Else the same as `held`
    std::optional<base::ConfigVersion> floor; // lowest version that may be in force; empty: not proven yet
    base::ConfigVersion refused; // highest version that failed its check; 0: none
    std::string refusal; // why it failed, for the dump
};

// Each returns whether something new is in force now. On an error nothing has changed but `refused`:
//   VersionTooOld    not above what is held: doubled, crossed, or from a source that lags
//   DeltaMismatch    ask for a snapshot, or for a delta from heldVersion()
//   others           from validate(): refused whole; what is in force stays
base::Result<bool> applySnapshot(Applied&, Snapshot);
base::Result<bool> applyDelta(Applied&, const Delta&);

// From the words of a majority of voters (consensus/released.h), asked for after this process began. The floor only
// rises: a second proof that comes late changes nothing.
bool raiseFloor(Applied&, base::ConfigVersion);

base::ConfigVersion heldVersion(const Applied&);
base::ConfigVersion versionInForce(const Applied&); // 0: not ready

} // namespace appletally::config
