// Selects the hosts that keep the claims of a key: the three highest by rendezvous hashing among an agreed set.
//
// Load pattern: non-idempotent requests, spread over many keys, each resent by its caller through any node that still
// answers. If two nodes selected keepers from the hosts that each considers alive, they would contact different hosts
// and the request would run twice. Therefore the selection depends only on the key and the numbered set of the
// replicated log. With rendezvous hashing, a host that joins or leaves a set of n moves only about 3/n of the keys.
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

// With three, one may be lost or restarting and the other two still decide. Five would tolerate two losses, at the cost
// of five messages per keyed request instead of three and a wait for the slower majority that is a third longer.
constexpr size_t keepersPerKey = 3;

// A caller's identifier of one request to one service. The caller is part of it, so that nobody can read another
// caller's recorded answer by guessing its key.
struct ClaimKey {
    base::ServiceName service;
    base::CallerId caller;
    base::IdempotencyKey key;
    auto operator<=>(const ClaimKey&) const = default;
};

// Unambiguous encoding of a key: each part is preceded by its length, so that "a"+"bc" and "ab"+"c" differ.
std::string keyBytes(const ClaimKey&);

// Up to three hosts of `members`, highest weight first; fewer if the set is smaller.
std::vector<base::HostId> keepersAmong(const std::vector<config::Keeper>& members, const ClaimKey&);

// The keepers of a key. A majority of both groups has to grant; `previous` is empty unless the set is changing.
struct KeyKeepers {
    std::vector<base::HostId> current;
    std::vector<base::HostId> previous;

    std::vector<base::HostId> all() const; // each host once
};
KeyKeepers keepersOf(const config::KeeperSet&, const ClaimKey&);

// How many of a group of `n` keepers must grant, so that any two such subsets share a keeper.
constexpr size_t grantsNeeded(size_t n) { return n / 2 + 1; }

// Whether control may end a change of the set, that is, commit the same members without `previous`.
//
// A node that was cut off may still request claims under the number before the change, and old keepers that were cut
// off with it may still grant them. Then the key could run once under the old set and once under the new one. Ending
// the change is safe once all but one of the previous members are known to have applied the changing number (so that no
// two keepers of any key grant under the older number), and a claim's lifetime has passed since, so that every claim
// known only to the old keepers has expired. `claimLife`: see claim_keeper.h.
struct SetChange {
    config::KeeperSet set; // the changing set: `previous` is not empty
    std::map<base::HostId, base::Time> appliedSince; // first report of this or a later number, per host
};
bool mayEndChange(const SetChange&, base::Duration claimLife, base::Time now);

} // namespace appletally::policy
