// Goodput inside the deadline at 1, 2, 5 and 10 times the capacity of a service, against plain choices, over the decision
// modules and the load model of the tests. Simulated time: the figures don't depend on the machine.
//
// All streams grow with the load, commands as well. Prints one table; with --least PERCENT ends with 1 where the modules
// hold less of the capacity, or answer fewer than 99 of 100 commands in time.
#include "../tests/load_model.h"

#include <cstdio>
#include <tclap/CmdLine.h>

using namespace appletally::load_model;

namespace {

constexpr Duration runLength { 10'000 };
constexpr int seeds = 3;

struct Site {
    const char* name;
    int upstreams;
    int slots;
    Duration roundTrip;
};

struct Variant {
    const char* name;
    Queueing queueing;
    Choosing choosing;
    Retrying retrying;
    bool hedging;
};

constexpr Variant variants[] = {
    { "appletally", Queueing::Admission, Choosing::Routing, Retrying::Budget, true },
    { "round robin, unbounded queue", Queueing::Fifo, Choosing::RoundRobin, Retrying::None, false },
    { "same, given-up ones dropped", Queueing::FifoDropping, Choosing::RoundRobin, Retrying::None, false },
    { "same, three tries", Queueing::FifoDropping, Choosing::RoundRobin, Retrying::Unbounded, false },
};

// Each kind's share of the slot time at 1 times the capacity.
struct Kind {
    const char* route;
    Priority priority;
    double share;
    double meanRun;
    Duration timeout;
};
constexpr Kind kinds[] = {
    { "plug", Priority::Command, 0.04, 20, Duration { 1000 } },
    { "tariff", Priority::Lookup, 0.06, 5, Duration { 500 } },
    { "berth", Priority::Read, 0.70, 20, Duration { 2000 } },
    { "archive", Priority::Archive, 0.20, 400, Duration { 20'000 } },
};

Model prepare(const Site& site, const Variant& variant, double load, uint64_t seed)
{
    Model model;
    model.random.seed(seed);
    model.queueing = variant.queueing;
    model.choosing = variant.choosing;
    model.retrying = variant.retrying;
    model.hedging = variant.hedging;
    model.roundTrip = site.roundTrip;
    model.upstreams.resize(static_cast<size_t>(site.upstreams));
    for (size_t n = 0; n < model.upstreams.size(); ++n) {
        model.upstreams[n].slots = site.slots;
        model.upstreams[n].zone = static_cast<int>(n % 3);
    }
    const double slotMs = site.upstreams * site.slots * 1000.0 * load;
    for (const Kind& kind : kinds)
        for (int zone = 0; zone < 3; ++zone) {
            Stream stream { kind.route, kind.route, kind.priority, slotMs * kind.share / kind.meanRun / 3, kind.meanRun, kind.timeout };
            stream.zone = zone;
            stream.callers = 200;
            const bool tries = variant.retrying == Retrying::Unbounded && kind.priority != Priority::Archive;
            stream.attemptTimeout = tries ? kind.timeout / 3 : Duration {};
            model.streams.push_back(stream);
        }
    return model;
}

struct Row {
    double goodput = 0; // slot time of answers in time, as a share of the capacity
    double inTime[4] {}; // share of each kind answered in time
    int offered[4] {};
    int answered[4] {};
    int all = 0;
    int late = 0;
    std::vector<int64_t> refusedAfter;
    std::vector<int64_t> commandWaits;
    std::vector<int64_t> readWaits;
};

void add(Row& row, const Model& model, const Site& site)
{
    double work = 0;
    for (size_t n = 0; n < model.tallies.size(); ++n) {
        const Tally& it = model.tallies[n];
        const size_t kind = n / 3;
        work += it.inTime * (kinds[kind].meanRun + 0.5); // runs end on whole milliseconds
        row.offered[kind] += it.offered;
        row.answered[kind] += it.inTime;
        row.all += it.offered;
        row.late += it.late;
        row.refusedAfter.insert(row.refusedAfter.end(), it.refusedAfter.begin(), it.refusedAfter.end());
        if (kind == 0)
            row.commandWaits.insert(row.commandWaits.end(), it.waits.begin(), it.waits.end());
        if (kind == 2)
            row.readWaits.insert(row.readWaits.end(), it.waits.begin(), it.waits.end());
    }
    row.goodput += work / (site.upstreams * site.slots * static_cast<double>(runLength.ms)) / seeds;
}

void print(const Site& site, const Variant& variant, double load, const Row& row)
{
    std::printf("| %s | %g | %s | %.1f |", site.name, load, variant.name, row.goodput * 100);
    for (size_t kind = 0; kind < 4; ++kind)
        std::printf(" %.1f |", row.offered[kind] ? 100.0 * row.answered[kind] / row.offered[kind] : 0);
    std::printf(" %.1f | %ld | %ld | %ld |\n", 100.0 * row.late / row.all, static_cast<long>(quantile(row.commandWaits, 0.99)),
        static_cast<long>(quantile(row.readWaits, 0.5)), static_cast<long>(quantile(row.refusedAfter, 0.99)));
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Goodput under overload, over the decision modules");
    TCLAP::ValueArg<double> least("", "least", "percent of the capacity that must be held", false, 0, "PERCENT", line);
    TCLAP::SwitchArg own("", "own", "only the modules, without the plain choices", line);
    line.parse(argc, argv);

    std::puts("| service | load | choice | goodput % | commands in time % | lookups % | reads % | archives % | late % | command wait p99 ms | read wait "
              "p50 ms | refused after p99 ms |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    const Site sites[] = { { "plug control, 6 x 10", 6, 10, Duration { 3 } }, { "bake sheets, 3 x 6", 3, 6, Duration { 1 } } };
    bool held = true;
    for (const Site& site : sites)
        for (const double load : { 1.0, 2.0, 5.0, 10.0 })
            for (const Variant& variant : variants) {
                if (own.getValue() && &variant != &variants[0])
                    continue;
                Row row;
                for (uint64_t seed = 1; seed <= seeds; ++seed) {
                    Model model = prepare(site, variant, load, seed);
                    model.run(runLength);
                    add(row, model, site);
                }
                print(site, variant, load, row);
                if (&variant == &variants[0])
                    held = held && row.goodput * 100 >= least.getValue() && row.answered[0] >= 0.99 * row.offered[0];
            }
    return least.getValue() > 0 && !held ? 1 : 0;
}
