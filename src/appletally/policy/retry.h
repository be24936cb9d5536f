// Retries and deadlines at the ingress.
//
// Load pattern: a failing or full service, called through up to seven layers, each of which could retry. Without bounds
// three attempts at each of seven layers make 2187 calls out of one, and a service that was full for a moment cannot
// recover. The budget holds over all nodes together: a service that fails as a whole gets, from any number of nodes, no
// more retries than its first attempts and its fixed allowance earn.
//
// While upstreams refuse more than the budget can repeat, it is kept for callers that have been refused before: a caller
// that is refused once can still be answered in time when it returns, one that is refused twice mostly cannot.
#pragma once

#include "appletally/base/ids.h"
#include "appletally/base/result.h"
#include "appletally/policy/token_window.h"

namespace appletally::policy {

// One per service and node. Each first attempt earns `perFirstAttempt`, each retry that may add load and each hedge costs a
// token. In addition all nodes together earn a fixed allowance, so that a service that is hardly ever called may be retried
// as well.
struct RetryBudget {
    base::PerMille perFirstAttempt { 100 };
    int64_t allowance = 3000; // of this node, in thousandths of a token per tokenLifetime; see allowanceOf()
    TokenWindow tokens {};
    bool started = false; // has earned its first allowance
    double refusedShare = 0; // moving mean of attempts that the upstream refused, per first attempt
};

// Allowance of each node of a mesh, in thousandths of a token per tokenLifetime.
int64_t allowanceOf(size_t nodes);
int64_t available(RetryBudget&, base::Time now); // in thousandths
bool takeToken(RetryBudget&, base::Time now, uint64_t random);

// An attempt that did not end in a complete good answer.
struct FailedAttempt {
    bool idempotent = false;
    base::Code code = base::Code::OutcomeUnknown; // returned by the owner, or determined by this node
    bool refusedDownstream = false; // the answer says (by a header) that a layer further down refused or has retried already
    int attempts = 1; // sent so far, this one included
    base::Time deadline;
    base::Duration expected { 20 }; // usual time to an answer
    int maxAttempts = 3; // the route's; with three availability zones, one attempt in each
    bool callerReturned = false; // after an earlier refusal
};

struct RetryDecision {
    bool retry = false;
    base::Duration after {}; // delay before the next attempt; zero: at once, on another host
    base::Code code = base::Code::Ok; // the caller's final answer if not retried; never turns "may have run" into "not run"
};

void accrue(RetryBudget&, base::Time now); // at each first attempt
RetryDecision mayRetry(RetryBudget&, const FailedAttempt&, base::Time now, uint64_t random);

// Whether an attempt that ended so may have reached an upstream and counts against the route's attempts. Otherwise a node has
// rejected it before.
bool mayHaveReachedUpstream(base::Code);

// When a caller may send a request again that its upstream refused though this node had let it in: a slot is free there after
// about a usual run. Spread over as long again, so that callers refused together do not return together.
base::Duration retryAfterShed(base::Duration usualRun, uint64_t random);

// True: the answer to the layer above must carry the header that stops its retries. Only the layer next to a failure
// retries; also if its budget is spent, since a full budget further up would only bypass it.
bool stopsRetriesAbove(base::Code final);

// The caller's final code after several attempts, the last of which ended with `last`. If an earlier one may have run,
// a last one that did not run proves nothing: on "not run" the caller would repeat by hand what has been done already.
base::Code finalCode(bool mayHaveRun, base::Code last);

// Time left for the next hop: the remaining time minus the way there and back. Zero or less: don't send.
base::Duration timeLeft(base::Time deadline, base::Time now, base::Duration oneWay);

} // namespace appletally::policy
