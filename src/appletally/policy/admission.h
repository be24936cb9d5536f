// Admission at the owner's node, beside one upstream: who runs, who waits and who is refused.
//
// Load pattern: more requests than slots, for a moment (a burst) or for long (overload), among them a few that someone
// waits for beside a machine. Without it: every request queues at the upstream, each waits for all the others, and at
// twice the capacity nearly every answer comes after its caller has given up, so that the upstream works for nobody.
//
// The rules, each of which a test switches off (AdmissionParts):
// - A request waits only if it can still make its deadline, and one that can be answered while that is worth most only as
//   long; otherwise it is refused at once, with when to come back.
// - Commands and lookups go before reads, reads before archives; each lower class keeps a small floor.
// - Within a class callers take turns by run time (fair_order.h).
// - Who is refused and has time left comes back in time, not only when there is room.
// - Within a class those who can still be answered while that is worth most go before those who cannot: after an outage
//   everybody comes back at once, the first have waited longest, and served in that order all are late.
// - Long jobs hold only a part of the slots, since nothing takes a slot back from a job that runs.
// - The slots in use follow what the upstream shows (concurrency_limit.h).
#pragma once

#include "appletally/base/result.h"
#include "appletally/config/model.h"
#include "appletally/policy/concurrency_limit.h"
#include "appletally/policy/fair_order.h"
#include "appletally/policy/load.h"
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
    base::Duration expected { 20 }; // the route's, from the configuration; observed runs replace it
    base::Time deadline; // an answer after this is of no use to the caller
    bool internal = false; // another service asks, not a person
    std::optional<base::Time> targetDeadline; // an answer after this is worth less to the caller; empty: not said
};

enum class AdmissionAction : uint8_t { Run,
    Wait,
    Refuse };

// A final "not run" answer, due at once.
struct Refusal {
    RequestId id;
    base::Code code = base::Code::Overloaded; // Overloaded, DeadlineTooNear or Draining
    base::Duration retryAfter {}; // when there should be room; zero: coming back with the same deadline is of no use
};

struct Decision {
    AdmissionAction action = AdmissionAction::Run;
    Refusal refusal; // of the request itself; only with Verdict::Refuse
    std::vector<Refusal> displaced; // waiting ones that can no longer make it because this one goes first
};

// What follows from an event: who starts now and who is refused now.
struct AdmissionChanges {
    std::vector<RequestId> start;
    std::vector<Refusal> refused;
};

enum class RunEnd : uint8_t {
    Good,
    Failed, // status 5xx, broken connection, timeout
    Shed, // the upstream itself refused because it is full
    Cancelled, // by us; says nothing about the upstream
};

// Switches for tests and measurements; a node leaves them as they are.
struct AdmissionOptions {
    bool classes = true; // false: all requests in one class
    bool fairness = true; // false: first come, first served within a class
    bool limitLongJobs = true;
    bool adaptiveLimit = true; // false: the announced slots are always used
    bool retryWithinTarget = true; // false: refused ones are told only when there should be room
    bool prioritizeTimely = true; // false: those whose answers would come too late to be worth most keep their place
};

struct Admission {
    struct Running {
        Arrival arrival;
        base::Time since;
        bool isLong = false;
        bool isTrial = false; // let in although the runs seen lately are too long for its caller
    };
    struct Waiting {
        Arrival arrival;
        base::Duration run; // what it takes at the upstream, as far as is known now
        double start = 0; // place on its class's line; see FairOrder
    };
    struct Class {
        std::vector<Waiting> queue; // by start, then as they came
        FairOrder order;
        double minShareDeficit = 0; // slot-milliseconds of its floor that this class has not got while it waited
        double recentSlots = 0; // slots that it held lately, a moving mean
        double recentOvertaking = 0; // slots' worth of work that lately came in ahead of the queue's end, a moving mean
    };

    AdmissionOptions options;
    ConcurrencyLimit slots;
    bool draining = false;
    std::map<RequestId, Running> running; // more than slots.limit only just after the limit was lowered
    std::array<Class, config::priorityCount> classes;
    RunEstimates runs;

    base::Time readySince { -slowStart.ms }; // of this upstream process
    base::Time accountedUntil; // `owed` and `used` are counted up to here
    base::Time lastShortArrival; // when a request that is not long last came
    base::Time retriesScheduledUntil; // refused ones were told to come back up to here
};

Decision offer(Admission&, const Arrival&, base::Time now);

// The upstream is done with a running request. `ran` is the time at the upstream alone.
AdmissionChanges finished(Admission&, RequestId, RunEnd, base::Duration ran, base::Time now);

// The caller gave up or went away, waiting or running; a running one's slot is free only if the upstream has let go of
// it: call this after the upstream's connection was closed. Unknown ids are passed over.
AdmissionChanges cancel(Admission&, RequestId, base::Time now);

// Call at nextTick() at the latest: refuses the waiting ones that can no longer make their deadline.
AdmissionChanges tick(Admission&, base::Time now);
base::Time nextTick(const Admission&, base::Time now);

// Another upstream process has begun to take work: what was learned of the one before (how long routes run, how many at
// once it does well) says nothing about it, and it is cold. Only with nothing running; call setSlots() next.
void upstreamStarted(Admission&, base::Time now);

AdmissionChanges setSlots(Admission&, int announced, base::Time now); // the upstream's announced ceiling
AdmissionChanges drain(Admission&, base::Time now); // no new work from now on; those that wait still run
Load load(const Admission&, base::Time now);

} // namespace appletally::policy
