// Which hosts keep the claims of one key: the three highest by rendezvous hashing among an agreed set.
//
// Load pattern: non-idempotent requests, spread over many keys, each resent by its caller through whatever node still
// answers. If two nodes chose keepers from what each believes to be alive, they would ask different hosts and the request
// would run twice; so the choice depends on nothing but the key and the numbered set of the replicated log. Rendezvous
// hashing, because a host that joins or leaves a set of n moves only about 3/n of the keys.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"
#include "appletally/config/model.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace appletally::policy {

// Three: one may be lost or restarting and the other two still decide. Five would bear two losses, at five messages for
// each keyed request instead of three and a third more waiting for the slower majority.
constexpr size_t keepersOfKey = 3;

// One caller's own identity for one request to one service. The caller is part of it, so that nobody can read another's
// recorded answer by guessing its key.
struct ClaimKey {
    base::ServiceName service;
    base::CallerId caller;
    base::IdempotencyKey key;
    auto operator<=>(const ClaimKey&) const = default;
};

// Unambiguous bytes of a key: each part goes with its length, so that "a"+"bc" and "ab"+"c" differ.
std::string keyBytes(const ClaimKey&);

// Up to three hosts of `members`, best first; fewer where the set is smaller.
std::vector<base::HostId> keepersAmong(const std::vector<config::Keeper>& members, const ClaimKey&);

// The keepers of a key. Both groups have to grant; `previous` is empty unless the set is changing.
struct KeyKeepers {
    std::vector<base::HostId> current;
    std::vector<base::HostId> previous;

    std::vector<base::HostId> all() const; // each host once
};
KeyKeepers keepersOf(const config::KeeperSet&, const ClaimKey&);

// How many of a group of `n` keepers must grant: any two such groups share a keeper.
constexpr size_t grantsNeeded(size_t n) { return n / 2 + 1; }

// When control may end a change of the set, that is, agree on the same members without `previous`.
//
// A node that was cut off may still ask under the number before the change, and old keepers that were cut off with it may
// still grant; then the key could run once under the old set and once under the new one. Ending the change is safe once
// all but one of the previous members are known to have the changing number in force (so that no two keepers of any key
// grant under the older number), and a claim's whole life has passed since, so that each claim that only the old keepers
// know has run out. `claimLife`: see claim_keeper.h.
struct SetChange {
    config::KeeperSet set; // the changing one: `previous` is not empty
    std::map<base::HostId, base::Time> appliedSince; // first report of this or a later number, per host
};
bool mayEndChange(const SetChange&, base::Duration claimLife, base::Time now);

} // namespace appletally::policy
