// Admission under random commands, checked against an oracle that only counts.
#include "appletally/policy/admission.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <set>

using namespace appletally;
using namespace appletally::policy;
using base::Duration;
using base::Time;

namespace {

struct Offered {
    Time deadline;
    Duration run;
};

// The caller's view: whether a request waits, runs or has its final outcome.
struct Oracle {
    Time now {};
    int slots = 4;
    uint64_t next = 1;
    bool draining = false;
};

// How often each kind of outcome occurred; a run without some of them proves nothing.
struct Reached {
    int ran = 0;
    int waited = 0;
    int startedLater = 0;
    int refusedAtOnce = 0;
    int refusedWaiting = 0;
} reached;

struct Simulation {
    Admission admission;
    Time now {};
    std::map<uint64_t, Offered> waiting;
    std::map<uint64_t, Offered> running;
    std::set<uint64_t> final;
};

void settle(Simulation& it, const Refusal& refusal, bool offeredNow)
{
    const uint64_t id = refusal.id.value;
    RC_ASSERT(it.running.count(id) == 0); // a running request is never refused
    RC_ASSERT(offeredNow || it.waiting.count(id) == 1); // one final outcome each
    RC_ASSERT(it.final.insert(id).second);
    ++(offeredNow ? reached.refusedAtOnce : reached.refusedWaiting);
    if (!offeredNow) { // no later than when it became infeasible; ticks come on whole milliseconds
        const Offered& of = it.waiting.at(id);
        RC_ASSERT(it.now <= of.deadline - of.run + Duration { 1 });
    }
    it.waiting.erase(id);
}

void begin(Simulation& it, uint64_t id)
{
    RC_ASSERT(it.waiting.count(id) == 1);
    RC_ASSERT(it.now + it.waiting.at(id).run <= it.waiting.at(id).deadline); // never started too late for its deadline
    it.running[id] = it.waiting.at(id);
    it.waiting.erase(id);
    RC_ASSERT(static_cast<int>(it.running.size()) <= it.admission.slots.limit);
}

void applyChanges(Simulation& it, const AdmissionChanges& changes)
{
    for (const Refusal& refusal : changes.refused)
        settle(it, refusal, false);
    for (const RequestId id : changes.start) {
        ++reached.startedLater;
        begin(it, id.value);
    }
}

void check(const Simulation& it)
{
    const Load now = load(it.admission, it.now);
    RC_ASSERT(now.running == static_cast<int>(it.running.size()));
    RC_ASSERT(now.waiting == static_cast<int>(it.waiting.size()));
    for (const auto& [id, of] : it.waiting)
        RC_ASSERT(it.now <= of.deadline); // none waits past its deadline
}

using Command = rc::state::Command<Oracle, Simulation>;

struct Offer : Command {
    // All runs of one route take equally long, so the oracle knows exactly which requests are infeasible.
    int route = *rc::gen::inRange(0, 4);
    int caller = *rc::gen::inRange(0, 3);
    int slack = *rc::gen::inRange(-10, 900);
    bool internal = *rc::gen::arbitrary<bool>();
    void apply(Oracle& it) const override { ++it.next; }
    void run(const Oracle& before, Simulation& it) const override
    {
        static const int runs[] = { 20, 5, 60, 350 };
        const Duration run { runs[route] };
        const Arrival arrival { { before.next }, { std::to_string(caller) }, { std::to_string(route) }, config::Priority(route), run,
            it.now + run + Duration { slack }, internal };
        it.waiting[before.next] = { arrival.deadline, run };
        const Decision decision = offer(it.admission, arrival, it.now);
        ++(decision.action == AdmissionAction::Run ? reached.ran : reached.waited);
        if (decision.action == AdmissionAction::Run)
            begin(it, before.next);
        if (decision.action == AdmissionAction::Refuse) {
            --reached.waited;
            settle(it, decision.refusal, true);
        }
        RC_ASSERT(slack >= 0 || decision.action == AdmissionAction::Refuse);
        RC_ASSERT(!before.draining || decision.action == AdmissionAction::Refuse);
        for (const Refusal& other : decision.displaced)
            settle(it, other, false);
        check(it);
    }
    void show(std::ostream& out) const override { out << "offer " << route << " caller " << caller << " slack " << slack; }
};

// Time passes; every tick is on time, and runs end when they should.
struct Pass : Command {
    int ms = *rc::gen::inRange(1, 400);
    void apply(Oracle& it) const override { it.now = it.now + Duration { ms }; }
    void run(const Oracle&, Simulation& it) const override
    {
        const Time end = it.now + Duration { ms };
        while (it.now < end) {
            it.now = std::min(end, nextTick(it.admission, it.now));
            applyChanges(it, tick(it.admission, it.now));
            check(it);
        }
    }
    void show(std::ostream& out) const override { out << "pass " << ms; }
};

struct Finish : Command {
    int which = *rc::gen::inRange(0, 10);
    bool cancelled = *rc::gen::arbitrary<bool>();
    void run(const Oracle&, Simulation& it) const override
    {
        if (it.running.empty())
            return;
        const auto at = std::next(it.running.begin(), which % static_cast<int>(it.running.size()));
        const auto [id, of] = *at;
        it.running.erase(at);
        RC_ASSERT(it.final.insert(id).second);
        applyChanges(it, finished(it.admission, { id }, cancelled ? RunEnd::Cancelled : RunEnd::Good, of.run, it.now));
        check(it);
    }
    void show(std::ostream& out) const override { out << "finish " << which; }
};

struct GiveUp : Command {
    int which = *rc::gen::inRange(0, 10);
    void run(const Oracle&, Simulation& it) const override
    {
        if (it.waiting.empty())
            return;
        const auto at = std::next(it.waiting.begin(), which % static_cast<int>(it.waiting.size()));
        const uint64_t id = at->first;
        it.waiting.erase(at);
        RC_ASSERT(it.final.insert(id).second);
        applyChanges(it, cancel(it.admission, { id }, it.now));
        check(it);
    }
    void show(std::ostream& out) const override { out << "give up " << which; }
};

struct Slots : Command {
    int count = *rc::gen::inRange(1, 12);
    void apply(Oracle& it) const override { it.slots = count; }
    void run(const Oracle&, Simulation& it) const override
    {
        applyChanges(it, setSlots(it.admission, count, it.now));
        RC_ASSERT(it.admission.slots.limit <= count);
        check(it);
    }
    void show(std::ostream& out) const override { out << "slots " << count; }
};

struct Drain : Command {
    Drain() { RC_PRE(*rc::gen::inRange(0, 8) == 0); } // nothing is admitted after it, so it must be rare
    void apply(Oracle& it) const override { it.draining = true; }
    void run(const Oracle&, Simulation& it) const override
    {
        applyChanges(it, drain(it.admission, it.now));
        check(it);
    }
    void show(std::ostream& out) const override { out << "drain"; }
};

} // namespace

TEST_CASE("every request gets one final outcome and none waits once it is infeasible", "[policy][fuzz]")
{
    // Bursts, long jobs, changing slots, cancelling callers and a shutdown, in any order. Guards against: a request
    // forgotten in the queue, whose caller gets no answer, and one that runs beyond the limit, which slows all others.
    const bool held = rc::check("admission", [] {
        for (int n = 0; n < 10; ++n) {
            Simulation simulation;
            applyChanges(simulation, setSlots(simulation.admission, 4, simulation.now));
            rc::state::check(Oracle {}, simulation, rc::state::gen::execOneOfWithArgs<Offer, Offer, Offer, Offer, Offer, Offer, Pass, Pass, Finish, Finish, Finish, GiveUp, Slots, Drain>());
        }
    });
    CHECK(held);
    UNSCOPED_INFO(reached.ran << " " << reached.waited << " " << reached.startedLater << " " << reached.refusedAtOnce << " " << reached.refusedWaiting);
    for (const int count : { reached.ran, reached.waited, reached.startedLater, reached.refusedAtOnce, reached.refusedWaiting })
        CHECK(count >= 50);
}
