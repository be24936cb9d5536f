// The configuration that a node holds and applies. The only place that decides whether a snapshot may take effect.
//
// Versions never go back: a running node rejects lower versions. A restarted node, or a whole restarted rack, has lost
// its version, and a source that lags could return it to replaced limits, shares and routes; its callers would see a
// rolled-back upstream version take traffic again. So a node applies nothing ("not ready") until a majority of the
// voters has reported the recorded version, and then nothing below that version.
#pragma once

#include "appletally/base/result.h"
#include "appletally/config/delta.h"
#include "appletally/config/model.h"

#include <memory>
#include <optional>
#include <string>

namespace appletally::config {

struct AppliedConfig {
    std::shared_ptr<const Snapshot> held; // newest complete snapshot that passed validate(); base of the next delta
    std::shared_ptr<const Snapshot> applied; // null: not ready; otherwise the same as `held`
    std::optional<base::ConfigVersion> minVersion; // lowest version that may be applied; empty: not proven yet
    base::ConfigVersion refused; // highest version that failed validation; 0: none
    std::string refusal; // validation error of `refused`, for the dump
};

// Each returns whether a new version is applied now. On an error only `refused` and `refusal` may have changed:
//   VersionTooOld    not above the held version: duplicated, reordered, or from a source that lags
//   DeltaMismatch  request a snapshot, or a delta from heldVersion()
//   others           from validate(): rejected as a whole; the applied version stays
base::Result<bool> applySnapshot(AppliedConfig&, Snapshot);
base::Result<bool> applyDelta(AppliedConfig&, const Delta&);

// `version` is proven by reports of a majority of voters (consensus/released.h) that were requested after this process
// started. The minimum version only rises: a second, late proof changes nothing.
bool raiseMinVersion(AppliedConfig&, base::ConfigVersion);

base::ConfigVersion heldVersion(const AppliedConfig&);
base::ConfigVersion appliedVersion(const AppliedConfig&); // 0: not ready

} // namespace appletally::config
