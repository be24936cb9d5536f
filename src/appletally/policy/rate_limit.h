// Limits the requests that an upstream gets in time: a token bucket with the rate that the upstream named.
//
// Load pattern: an upstream in need (a failing disk, a slow dependency of its own) takes fewer requests a second than its
// slots let through. Slots bound the requests at one moment; short runs turn them over many times a second, so the
// upstream gets as much as before. The node beside it is its only door, so a bucket there holds for all callers together.
#pragma once

#include "appletally/base/clock.h"

#include <optional>

namespace appletally::policy {

struct RateLimit {
    double perSecond = 0; // invariant: at least minRequestRate
    double tokens = 0; // at refilledAt; one is taken by each request
    base::Time refilledAt;
    std::optional<base::Time> until; // the limit ends then; empty: not known
};

RateLimit startRateLimit(double perSecond, base::Time now); // without tokens: the upstream has just had its requests
void changeRate(RateLimit&, double perSecond, base::Time now);
bool hasEnded(const RateLimit&, base::Time now);

bool mayTake(const RateLimit&, base::Time now);
void take(RateLimit&, base::Time now); // call only if mayTake()

// Until a request can start that has `ahead` others before it and gets this part of the rate, above 0 and at most 1. At
// the end of the limit all that wait may start.
base::Duration waitFor(const RateLimit&, double ahead, double part, base::Time now);

} // namespace appletally::policy
