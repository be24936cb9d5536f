// Admission, classes, fairness, long jobs and the adaptive limit, measured by what callers receive.
#include "appletally/policy/collapse.h"
#include "load_model.h"

#include <catch2/catch.hpp>

using namespace appletally;
using namespace appletally::load_model;

namespace {

constexpr Duration runLength { 20'000 };

// One upstream under the given streams and rules.
Model under(Queueing queueing, std::vector<Stream> streams, int slots = 10, AdmissionOptions options = {}, uint64_t seed = 7)
{
    Model model;
    model.queueing = queueing;
    model.random.seed(seed);
    model.upstreams.resize(1);
    model.upstreams[0].slots = slots;
    model.upstreams[0].admission.options = options;
    model.streams = std::move(streams);
    model.run(runLength);
    return model;
}

Model underSlowdown(std::function<double(int, Time)> slowdown, std::vector<Stream> streams, AdmissionOptions options, uint64_t seed = 7)
{
    Model model;
    model.random.seed(seed);
    model.upstreams.resize(1);
    model.upstreams[0].slowdown = std::move(slowdown);
    model.upstreams[0].admission.options = options;
    model.streams = std::move(streams);
    model.run(runLength);
    return model;
}

// Slot time of answers in time, as a share of the upstream's capacity.
double capacityUsed(const Model& model)
{
    double work = 0;
    for (size_t n = 0; n < model.tallies.size(); ++n)
        work += model.tallies[n].inTime * (model.streams[n].meanRun + 0.5); // runs end on whole milliseconds
    return work / (model.upstreams[0].slots * static_cast<double>(runLength.ms));
}

std::string line(const Tally& it)
{
    return "offered " + std::to_string(it.offered) + " in time " + std::to_string(it.inTime) + " late " + std::to_string(it.late)
        + " refused " + std::to_string(it.refused) + " wait p50 " + std::to_string(quantile(it.waits, 0.5)) + " p99 "
        + std::to_string(quantile(it.waits, 0.99)) + " refused after p99 " + std::to_string(quantile(it.refusedAfter, 0.99)) + " p50 " + std::to_string(quantile(it.refusedAfter, 0.5)) + " back "
        + std::to_string(it.retried) + "/" + std::to_string(it.retriedInTime);
}

void show(const char* what, const Model& model)
{
    std::string text = what;
    for (size_t n = 0; n < model.tallies.size(); ++n)
        text += "\n  " + model.streams[n].caller + " " + model.streams[n].route + ": " + line(model.tallies[n]);
    UNSCOPED_INFO(text);
    if (getenv("SHOW"))
        puts(text.c_str());
}

} // namespace

TEST_CASE("ten times the capacity of one upstream", "[policy][overload]")
{
    // Guards against: commands lost behind reads under sustained overload. The upstream gets ten times its capacity,
    // among it commands and archives. With a plain queue a command waits behind thousands of reads whose callers have
    // given up.
    const auto [slots, slot] = GENERATE(table<int, const char*>({ { 10, "Marsa Volt" }, { 6, "Hlyab za Vsichki" } }));
    INFO(slot);
    const std::vector<Stream> streams = {
        { "crew", "plug", Priority::Command, 50, 20, Duration { 1000 } },
        { "agents", "berth", Priority::Read, slots * 485.0, 20, Duration { 2000 }, {}, Time { 1 << 30 }, false, false, 0, 500 },
        { "clerk", "archive", Priority::Archive, 5, 400, Duration { 20'000 } },
    };
    const Model with = under(Queueing::Admission, streams, slots);
    const Model plain = under(Queueing::Fifo, streams, slots);
    show("admission", with);
    show("first come, first served", plain);
    CHECK(capacityUsed(with) >= 0.9);
    CHECK(capacityUsed(plain) <= 0.2);
    CHECK(with.tallies[0].goodput() >= 0.99);
    CHECK(plain.tallies[0].goodput() <= 0.1);
    CHECK(quantile(with.tallies[0].waits, 0.99) <= 150);
    CHECK(with.tallies[2].inTime * 400 >= 0.06 * slots * runLength.ms); // of the minimum share of a tenth, less its first wait
    for (const Tally& it : with.tallies)
        CHECK(it.late == 0);
    CHECK(quantile(with.tallies[1].refusedAfter, 0.99) <= 100);
}

TEST_CASE("reads below bursts of commands and lookups are refused at once or served", "[policy][overload]")
{
    // Guards against: reads that wait half a second and are refused then. Half of the slots go to bursts of commands
    // and lookups, two to archives, and the reads are many times what is left. Admitted by the mean load of the other
    // classes, too many of them wait in vain.
    const std::vector<Stream> streams = {
        { "members", "choices", Priority::Read, 1050, 20, Duration { 2000 }, {}, Time { 1 << 30 }, false, false, 0, 200 },
        { "pauses", "pause", Priority::Command, 60, 20, Duration { 1000 }, {}, Time { 1 << 30 }, false, false, 0, 200 },
        { "lookups", "prices", Priority::Lookup, 360, 5, Duration { 500 }, {}, Time { 1 << 30 }, false, false, 0, 200 },
        { "bakers", "sheets", Priority::Archive, 15, 400, Duration { 20'000 }, {}, Time { 1 << 30 }, false, false, 0, 200 },
    };
    const Model model = under(Queueing::Admission, streams, 6);
    show("surges", model);
    CHECK(quantile(model.tallies[0].refusedAfter, 0.99) <= 5);
    CHECK(model.tallies[0].late == 0);
    CHECK(model.tallies[1].goodput() >= 0.99);
    CHECK(capacityUsed(model) >= 0.9);
}

TEST_CASE("a burst of half a second", "[policy][burst]")
{
    // Guards against: a burst that outlasts its cause. Ten times the capacity for half a second, then half of it again.
    // A plain queue works off the burst for callers that have given up, and later callers find it full for five seconds
    // more.
    const std::vector<Stream> streams = {
        { "calm", "berth", Priority::Read, 250, 20, Duration { 500 }, {}, Time { 1 << 30 }, false, false, 0, 40 },
        { "burst", "berth", Priority::Read, 5000, 20, Duration { 500 }, Time { 5000 }, Time { 5500 }, false, true, 0, 1000 },
    };
    const Model with = under(Queueing::Admission, streams);
    const Model plain = under(Queueing::Fifo, streams);
    show("admission", with);
    show("first come, first served", plain);
    CHECK(with.tallies[0].goodput() >= 0.95);
    CHECK(plain.tallies[0].goodput() <= 0.85);
    CHECK(with.tallies[1].inTime > plain.tallies[1].inTime);
    const Tally& burst = with.tallies[1];
    CHECK(burst.late == 0);
    CHECK(quantile(burst.refusedAfter, 0.5) <= 1);
    CHECK(burst.retried == burst.refused); // each refusal had a retry time,
    CHECK(burst.retriedInTime >= 0.9 * burst.retried); // and there were free slots then
}

TEST_CASE("one caller sends far more requests than the others", "[policy][hot-caller]")
{
    // Guards against: one caller that takes the slots of all others. It sends twice the whole capacity. First come,
    // first served gives it nearly all, and nine others, who together need half of the capacity, get what is left.
    std::vector<Stream> streams = { { "master", "berth", Priority::Read, 1000, 20, Duration { 1000 } } };
    for (int n = 0; n < 9; ++n)
        streams.push_back({ "agent" + std::to_string(n), "berth", Priority::Read, 28, 20, Duration { 1000 } });
    const Model with = under(Queueing::Admission, streams);
    AdmissionOptions unfair;
    unfair.fairness = false;
    const Model without = under(Queueing::Admission, streams, 10, unfair);
    show("fair", with);
    show("first come, first served", without);
    for (size_t n = 1; n < streams.size(); ++n) {
        CHECK(with.tallies[n].goodput() >= 0.99);
        CHECK(quantile(with.tallies[n].waits, 0.99) <= 200);
        CHECK(without.tallies[n].goodput() <= 0.6);
    }
    CHECK(with.tallies[0].inTime >= 0.4 * 500 * 20); // what the others leave is still the hot caller's
    CHECK(quantile(with.tallies[0].refusedAfter, 0.99) <= 10); // and its excess is refused at once
    CHECK(with.tallies[0].late <= 5);
    CHECK(capacityUsed(with) >= 0.9);
}

TEST_CASE("an internal service shares a route with people", "[policy][hot-caller]")
{
    // Guards against: a service that starves people on the same route and in the same class. It sends far more requests
    // than they do; first come, first served leaves them behind its queue.
    std::vector<Stream> streams = { { "catalogue", "routes", Priority::Lookup, 900, 20, Duration { 1000 }, {}, { 1 << 30 }, true } };
    for (int n = 0; n < 12; ++n)
        streams.push_back({ "driver" + std::to_string(n), "routes", Priority::Lookup, 10, 20, Duration { 1000 } });
    const Model with = under(Queueing::Admission, streams, 6);
    AdmissionOptions unfair;
    unfair.fairness = false;
    const Model without = under(Queueing::Admission, streams, 6, unfair);
    show("fair", with);
    show("first come, first served", without);
    for (size_t n = 1; n < streams.size(); ++n)
        CHECK(with.tallies[n].goodput() >= 0.98);
    CHECK(without.tallies[1].goodput() <= 0.6);
    CHECK(with.tallies[0].inTime >= 0.5 * 150 * 20); // the service gets all that the others leave
    CHECK(quantile(with.tallies[0].refusedAfter, 0.99) <= 100);
}

TEST_CASE("long jobs among short requests", "[policy][long-jobs]")
{
    // Guards against: long jobs in all slots. Archives run for 1.5 s and are never preempted; without a bound they fill
    // all slots and every page load waits for one to end.
    const int slots = GENERATE(10, 6);
    const std::vector<Stream> streams = {
        { "clerk", "archive", Priority::Archive, 12, 1500, Duration { 30'000 } },
        { "crew", "plug", Priority::Command, 10, 20, Duration { 500 } },
        { "agents", "berth", Priority::Read, slots * 20.0, 20, Duration { 1000 } },
    };
    const Model with = under(Queueing::Admission, streams, slots);
    AdmissionOptions unbounded;
    unbounded.limitLongJobs = false;
    const Model without = under(Queueing::Admission, streams, slots, unbounded);
    show("bounded", with);
    show("unbounded", without);
    CHECK(with.tallies[1].goodput() >= 0.99);
    CHECK(with.tallies[2].goodput() >= 0.99);
    CHECK(quantile(with.tallies[2].waits, 0.99) <= 200);
    CHECK(quantile(without.tallies[2].waits, 0.99) >= 2 * quantile(with.tallies[2].waits, 0.99));
    CHECK(with.tallies[0].inTime * 1500 >= 0.25 * 20'000 * slots * 0.9); // the part that they may hold is used
}

TEST_CASE("long jobs without short requests use all slots but those kept free", "[policy][long-jobs]")
{
    // Guards against: long jobs that wait beside idle slots. Without short requests they may use more than their share.
    const Model model = under(Queueing::Admission, { { "bakers", "sheets", Priority::Archive, 10, 800, Duration { 30'000 } } }, 6);
    show("dawn", model);
    CHECK(model.tallies[0].inTime * 800 >= 0.9 * 4 * runLength.ms);
}

TEST_CASE("an upstream that thrashes when all its slots are taken", "[policy][slow-upstream]")
{
    // Guards against: thrashing. The upstream announces ten slots, yet its own store handles only four at once well;
    // each one more slows all. Filled to its announced slots it does half of what it could.
    const auto thrashing = [](int running, Time) { return running <= 4 ? 1.0 : 1.0 + 0.75 * (running - 4); };
    const std::vector<Stream> streams = { { "agents", "berth", Priority::Read, 400, 20, Duration { 1000 } } };
    AdmissionOptions ceiling;
    ceiling.adaptiveLimit = false;
    double gain = 0;
    constexpr uint64_t seeds = 8;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        const Model with = underSlowdown(thrashing, streams, {}, seed);
        const Model without = underSlowdown(thrashing, streams, ceiling, seed);
        show("adaptive limit", with);
        show("announced slots", without);
        const double gained = static_cast<double>(with.tallies[0].inTime) / without.tallies[0].inTime;
        CHECK(gained >= 1.2);
        CHECK(with.upstreams[0].admission.slots.limit <= 7);
        gain += gained / seeds;
    }
    CHECK(gain >= 1.35);
}

TEST_CASE("an upstream that is merely slow keeps its slots", "[policy][slow-upstream]")
{
    // Guards against: a limit lowered in vain. The upstream is three times slower at any concurrency. A limit that only
    // watches run time would drop slot after slot, and lose throughput.
    const auto slow = [](int, Time now) { return now < Time { 3000 } ? 1.0 : 3.0; };
    const std::vector<Stream> streams = { { "agents", "berth", Priority::Read, 400, 20, Duration { 1000 } } };
    AdmissionOptions ceiling;
    ceiling.adaptiveLimit = false;
    const auto seed = static_cast<uint64_t>(GENERATE(range(1, 9)));
    const Model with = underSlowdown(slow, streams, {}, seed);
    const Model without = underSlowdown(slow, streams, ceiling, seed);
    show("adaptive limit", with);
    show("announced slots", without);
    CHECK(with.tallies[0].inTime >= 0.93 * without.tallies[0].inTime);
    CHECK(with.tallies[0].late <= 0.02 * with.tallies[0].offered);
}

TEST_CASE("an upstream that hung is used again after it recovers", "[policy][slow-upstream]")
{
    // Guards against: an upstream unused after a hang. Runs of callers with long deadlines take far longer than other
    // callers can wait. If only ended runs updated the estimate, all later callers would be refused for ever.
    const auto hanging = [](int, Time now) { return now > Time { 8000 } ? 1.0 : 200.0; };
    const std::vector<Stream> streams = {
        { "clerk", "berth", Priority::Read, 3, 20, Duration { 20'000 }, {}, Time { 7000 } },
        { "agents", "berth", Priority::Read, 250, 20, Duration { 1000 }, Time { 9000 } },
    };
    const Model model = underSlowdown(hanging, streams, {});
    show("hanging", model);
    CHECK(model.tallies[1].goodput() >= 0.85);
}

TEST_CASE("long jobs use more slots one second after the last short request", "[policy][long-jobs]")
{
    // Guards against: a long job that waits for an idle slot. Four arrive within a second of a short request; the
    // fourth must start as soon as that second is over.
    Admission it;
    const auto sheet = [](uint64_t id) {
        return Arrival { { id }, { "baker" }, { "sheets" }, Priority::Archive, Duration { 3000 }, Time { 60'000 } };
    };
    CHECK(offer(it, { { 1 }, { "driver" }, { "routes" }, Priority::Lookup, Duration { 10 }, Time { 1000 } }, Time { 0 }).action == AdmissionAction::Run);
    for (uint64_t id = 2; id <= 4; ++id)
        CHECK(offer(it, sheet(id), Time { 100 }).action == AdmissionAction::Run);
    CHECK(offer(it, sheet(5), Time { 100 }).action == AdmissionAction::Wait);
    CHECK(nextTick(it, Time { 100 }) == Time { 1000 });
    CHECK(tick(it, Time { 999 }).start.empty());
    CHECK(tick(it, Time { 1000 }).start == std::vector<RequestId> { { 5 } });
}

TEST_CASE("an upstream that sheds load gets a lower limit, which rises again later", "[policy][slow-upstream]")
{
    // Guards against: requests lost to an upstream that sheds load below its announced slots. Each shed lowers the
    // limit, which rises again only after several windows.
    ConcurrencyLimit it;
    CHECK(onShed(it, 7));
    CHECK(it.limit == 6);
    CHECK_FALSE(onShed(it, 9)); // of the same moment
    int answers = 0;
    while (it.limit == 6 && answers < 10'000) {
        onGoodAnswer(it, 1.0, true);
        ++answers;
    }
    CHECK(it.limit == 7);
    CHECK(answers >= 300);
    CHECK(answers <= 500);
    CHECK(setAnnounced(it, 3));
    CHECK(it.limit == 3);
}

TEST_CASE("a new upstream process starts without its predecessor's estimates, in slow start", "[policy][slow-upstream]")
{
    // Guards against: a new upstream process treated like its slow predecessor on the same host. Every caller with a
    // short deadline would be refused, and the slots would stay at the old limit.
    Admission it;
    const Arrival page { { 1 }, { "agent" }, { "berth" }, Priority::Read, Duration { 20 }, Time { 500 } };
    CHECK(load(it, Time { 0 }).slowStartProgress.value == 1000); // an upstream that is older than its node counts as warm
    CHECK(offer(it, page, Time { 0 }).action == AdmissionAction::Run);
    for (uint64_t id = 2; id < 40; ++id) {
        finished(it, { id - 1 }, RunEnd::Good, Duration { 900 }, Time { 0 });
        offer(it, { { id }, { "agent" }, { "berth" }, Priority::Read, Duration { 20 }, Time { 5000 } }, Time { 0 });
    }
    finished(it, { 39 }, RunEnd::Shed, Duration { 1 }, Time { 0 });
    CHECK(it.slots.limit == 1);
    CHECK(usualRun(it.runs, { "berth" }, Duration { 20 }) > Duration { 500 });
    upstreamStarted(it, Time { 1000 });
    CHECK(it.slots.limit == 10);
    CHECK(usualRun(it.runs, { "berth" }, Duration { 20 }) == Duration { 20 });
    CHECK(load(it, Time { 1000 }).slowStartProgress.value == 0);
    CHECK(load(it, Time { 6000 }).slowStartProgress.value == 500);
    CHECK(load(it, Time { 60'000 }).slowStartProgress.value == 1000);
}

TEST_CASE("refreshes of one page share one run and all get the answer", "[policy][hot-caller]")
{
    // Guards against: duplicate runs, and lost answers when the caller of the first request leaves. A page is refreshed
    // while its last load is still running, then the first tab is closed.
    Collapse it;
    const ReadKey key { { "master" }, { "berth" }, "/berths/7" };
    CHECK(join(it, key, { 1 }));
    CHECK_FALSE(join(it, key, { 2 }));
    CHECK_FALSE(join(it, key, { 3 }));
    CHECK(join(it, { { "agent" }, { "berth" }, "/berths/7" }, { 4 })); // another caller's answer may differ
    CHECK(join(it, { { "master" }, { "berth" }, "/berths/8" }, { 5 }));
    CHECK_FALSE(leave(it, { 1 })); // the run continues for the others
    CHECK_FALSE(leave(it, { 2 }));
    CHECK(ended(it, { 1 }) == std::vector<RequestId> { { 3 } });
    CHECK(ended(it, { 1 }).empty());
    CHECK(join(it, key, { 6 })); // a later read sees a later state
    CHECK_FALSE(join(it, key, { 7 }));
    CHECK_FALSE(leave(it, { 7 }));
    CHECK(leave(it, { 6 }) == RequestId { 6 }); // no waiters left: cancel the run
    CHECK(join(it, key, { 8 }));
    CHECK(ended(it, { 4 }) == std::vector<RequestId> { { 4 } });
    CHECK(ended(it, { 5 }) == std::vector<RequestId> { { 5 } });
    CHECK(ended(it, { 8 }) == std::vector<RequestId> { { 8 } });
    CHECK(it.sharedRuns.empty());
    CHECK(it.keyByRequest.empty());
}
