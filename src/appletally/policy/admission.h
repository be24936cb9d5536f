// Admission control at the owner, beside one upstream: decides which requests run, wait or are refused.
//
// Load pattern: more requests than slots, for a moment (a burst) or for long (overload), among them a few commands that
// somebody waits for beside a machine. Without it every request queues at the upstream and waits for all the others; at
// twice the capacity nearly every answer comes after its caller has given up, so that the upstream does no useful work.
//
// The rules, each of which a test switches off (AdmissionOptions):
// - A request waits only if it can still meet its deadline, and one that can still meet its target latency waits no
//   longer than that allows. Otherwise it is refused at once, with a time to retry after.
// - Commands and lookups go before reads, reads before archives; each lower class has a small minimum share.
// - Within a class callers share run time fairly (fair_order.h).
// - A refused request with a target latency is retried while the target can be met, even if a free slot is not certain
//   by then.
// - Within a class requests that can still meet their target go before those that cannot. After an outage all callers
//   return at once; served first come, first served, the oldest are late already and make all others late.
// - Long jobs hold only a part of the slots, since a running job is never preempted.
// - The number of slots in use adapts to the upstream's throughput (concurrency_limit.h).
// - Requests start no faster than the upstream names (rate_limit.h); those that would wait too long for it are refused
//   like those that would wait too long for a slot.
#pragma once

#include "appletally/base/result.h"
#include "appletally/config/model.h"
#include "appletally/policy/concurrency_limit.h"
#include "appletally/policy/fair_order.h"
#include "appletally/policy/load.h"
#include "appletally/policy/rate_limit.h"
#include "appletally/policy/run_estimate.h"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace appletally::policy {

struct Arrival {
    RequestId id; // not in use by another request of this Admission
    base::CallerId caller;
    base::RouteName route;
    config::Priority priority = config::Priority::Read;
    base::Duration expected { 20 }; // configured run time of the route; observed runs replace it
    base::Time deadline; // an answer after this is of no use to the caller
    bool internal = false; // sent by another service, not by a person
    std::optional<base::Time> targetDeadline; // an answer after this is late and of less value to the caller; empty: no target
};

enum class AdmissionAction : uint8_t { Run,
    Wait,
    Refuse };

// A final "not run" answer, to be sent at once.
struct Refusal {
    RequestId id;
    base::Code code = base::Code::Overloaded; // Overloaded, DeadlineTooNear or Draining
    base::Duration retryAfter {}; // estimated time until a slot is free; zero: a retry with the same deadline cannot succeed
};

struct Decision {
    AdmissionAction action = AdmissionAction::Run;
    Refusal refusal; // of the request itself; only with AdmissionAction::Refuse
    std::vector<Refusal> displaced; // waiting requests that can no longer meet their deadline because this one goes first
};

// The result of an event: the requests to start and those to refuse.
struct AdmissionChanges {
    std::vector<RequestId> start;
    std::vector<Refusal> refused;
};

enum class RunEnd : uint8_t {
    Good,
    Failed, // status 5xx, broken connection, timeout
    Shed, // rejected by the upstream itself because it is full
    Cancelled, // by this node; says nothing about the upstream
};

// Switches for tests and measurements; a node keeps the defaults.
struct AdmissionOptions {
    bool classes = true; // false: all requests in one class
    bool fairness = true; // false: first come, first served within a class
    bool limitLongJobs = true;
    bool adaptiveLimit = true; // false: all announced slots are always used
    bool retryWithinTarget = true; // false: refused requests are always retried when a slot is expected to be free
    bool prioritizeTimely = true; // false: requests that can no longer meet their target keep their place
};

struct Admission {
    struct Running {
        Arrival arrival;
        base::Time since;
        bool isLong = false;
        bool isTrial = false; // admitted although recent runs are too long for its caller
    };
    struct Waiting {
        Arrival arrival;
        base::Duration run; // current estimate of the run time at the upstream
        double start = 0; // virtual start time; see FairOrder
    };
    struct Class {
        std::vector<Waiting> queue; // by start, then by arrival
        FairOrder order;
        double minShareDeficit = 0; // slot-milliseconds of its minimum share that this class did not get while requests waited
        double recentSlots = 0; // moving mean of the slots held by this class
        double recentStarts = 0; // moving mean of the requests a second of this class that started
        double recentOvertaking = 0; // moving mean, in slots, of the work that was queued ahead of the end of the queue
    };

    AdmissionOptions options;
    ConcurrencyLimit slots;
    std::optional<RateLimit> rate; // empty: the upstream names none
    bool draining = false;
    bool suspended = false; // there is no upstream, or it is being replaced: nothing starts, requests wait
    std::map<RequestId, Running> running; // more than slots.limit only just after the limit was lowered
    std::array<Class, config::priorityCount> classes;
    RunEstimates runs;

    base::Time readySince { -slowStart.ms }; // of this upstream process
    base::Time accountedUntil; // minShareDeficit, recentSlots and recentOvertaking are updated up to here
    base::Time lastShortArrival; // last arrival of a request that is not long
    base::Time retriesScheduledUntil; // refused requests have been assigned retry times up to here
};

Decision offer(Admission&, const Arrival&, base::Time now);

// The upstream has finished a running request. `ran` is the time at the upstream alone.
AdmissionChanges finished(Admission&, RequestId, RunEnd, base::Duration ran, base::Time now);

// The caller cancelled or disconnected; the request may wait or run. The slot of a running request is free only when
// the upstream has stopped working on it, so call this after the upstream's connection was closed. Unknown ids are
// ignored.
AdmissionChanges cancel(Admission&, RequestId, base::Time now);

// Call at nextTick() at the latest. Refuses waiting requests that can no longer meet their deadline.
AdmissionChanges tick(Admission&, base::Time now);
base::Time nextTick(const Admission&, base::Time now);

// A new upstream process takes work. The run times and the concurrency limit learned from the previous process don't
// apply to it, and it is in slow start. Call only with nothing running; call setSlots() next.
void upstreamStarted(Admission&, base::Time now);

AdmissionChanges setSlots(Admission&, int announced, base::Time now); // upper limit announced by the upstream
// Bounds the requests that start. `until`: when the bound ends by itself; empty: not known.
AdmissionChanges setRate(Admission&, std::optional<double> perSecond, base::Time now, std::optional<base::Time> until = {});
AdmissionChanges drain(Admission&, base::Time now); // refuses new requests from now on; waiting ones still run
Load load(const Admission&, base::Time now);

} // namespace appletally::policy
