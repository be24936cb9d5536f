// Retries and deadlines at the caller's node.
//
// Load pattern: a failing or full service, called through up to seven layers, each of which could try again. Without
// bounds three tries at each of seven layers make 2187 calls out of one, and a service that was merely full for a
// moment never gets room to recover.
#pragma once

#include "appletally/base/ids.h"
#include "appletally/base/result.h"

namespace appletally::policy {

// Tokens in thousandths: each first try earns `perFirstTry`, each retry that may add load costs 1000. One per service
// and node. It begins with three retries, so that a service that is hardly ever called may be retried as well.
struct RetryBudget {
    base::PerMille perFirstAttempt { 100 };
    int64_t tokens = 3000; // invariant: 0 <= tokens <= the bucket's size
};

// A try that did not end in a whole good answer.
struct FailedAttempt {
    bool idempotent = false;
    base::Code code = base::Code::OutcomeUnknown; // what the owner's node said, or what this node concluded
    bool refusedDownstream = false; // the answer says (by a header) that a layer further down refused or has retried already
    int attempts = 1; // sent so far, this one included
    base::Time deadline;
    base::Duration expected { 20 }; // usual time to an answer
    int maxAttempts = 3; // the route's; with three availability zones, one try in each
};

struct RetryDecision {
    bool retry = false;
    base::Duration after {}; // wait this long before the next try; zero: at once, on another host
    base::Code code = base::Code::Ok; // the caller's final answer if not; never turns "may have run" into "not run"
};

void accrue(RetryBudget&); // at each first try
RetryDecision mayRetry(RetryBudget&, const FailedAttempt&, base::Time now, uint64_t random);

// True: the answer to the layer above must carry the header that stops its retries. The layer next to a failure is the
// one that tries again; also where its budget was spent, since a full budget further up would only go round it.
bool stopsRetriesAbove(base::Code final);

// What the caller is told after several tries, the last of which ended with `last`. If an earlier one may have run, a
// last one that did not run proves nothing: "not run" would have the caller do by hand what has been done already.
base::Code finalCode(bool mayHaveRun, base::Code last);

// What the next hop is told it has left: the remaining time minus the way there and back. Zero or less: don't send.
base::Duration timeLeft(base::Time deadline, base::Time now, base::Duration oneWay);

} // namespace appletally::policy
