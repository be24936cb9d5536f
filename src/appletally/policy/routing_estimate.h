// What a request can expect at an upstream, and what is learned from answers. Internal to policy/; see routing.h.
#pragma once

#include "appletally/policy/routing.h"

namespace appletally::policy {

constexpr double minTimeMs = 1; // shortest time to an answer; the clock has millisecond resolution

// The lowest cost is picked: by expected value if the request has a target latency, else by time.
double costOf(const Router&, const Target&, const PickRequest&, base::Time now);

double currentLatencyRatio(const Target&, base::Time now); // decays towards the usual one
void observeLatency(Router&, Target&, const AnswerReport&, base::Time now); // run time, latency and size of an answer

} // namespace appletally::policy
