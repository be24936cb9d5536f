// Tokens that a node earns with its requests and spends on repeats of them. They expire.
//
// Load pattern: a service that fails as a whole, called from a thousand nodes that each call it twice a second. Tokens that
// are kept until they are spent add up to several for each node, and on the first failures all of them are spent at once,
// beyond what the service can bear. With expiry, what all nodes together have saved up is a share of the requests that the
// service received just before, however many nodes there are.
#pragma once

#include "appletally/base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace appletally::policy {

constexpr int64_t wholeToken = 1000; // tokens are counted in thousandths

// What any number of callers spend together in some time was earned in that time or within this before it.
constexpr base::Duration tokenLifetime { 10'000 };

// In thousandths of a token.
struct TokenWindow {
    static constexpr size_t slotCount = 10;
    std::array<int64_t, slotCount> unspent {}; // by the time at which they were earned
    std::array<int64_t, slotCount> earned {}; // spent or not; invariant: at least `unspent`
    int64_t newest = 0; // number of the newest slot since the clock's origin
};

// Drops expired tokens. Returns how many slots have begun since the last call, at most slotCount.
int64_t advance(TokenWindow&, base::Time now);

int64_t available(const TokenWindow&); // as of the last advance()
void earn(TokenWindow&, int64_t amount, int64_t limit); // up to `limit` in all
void spend(TokenWindow&, int64_t amount); // the oldest first

// Takes a whole token. A caller that does not earn one within tokenLifetime takes what it has, and gets true with the
// probability that this is of a whole token: such callers then spend, together, what they have together.
bool takeToken(TokenWindow&, uint64_t random);

} // namespace appletally::policy
