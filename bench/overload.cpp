// Measures goodput (answers within the deadline) at 1, 2, 5 and 10 times the capacity of a service, with the decision
// modules and with simple baseline strategies, over the load model of the tests. Time is simulated, so the figures do not
// depend on the machine.
//
// All request streams grow with the load, commands included. Prints one table. With --least PERCENT the program exits
// with 1 if the modules' goodput is below this share of the capacity, or if fewer than 99 of 100 commands are answered in time.
#include "../tests/load_model.h"

#include <cstdio>
#include <tclap/CmdLine.h>

using namespace appletally::load_model;

namespace {

constexpr Duration simulatedDuration { 10'000 };
constexpr int seedCount = 3;

struct Service {
    const char* name;
    int upstreams;
    int slots;
    Duration roundTrip;
};

struct Strategy {
    const char* name;
    Queueing queueing;
    Choosing choosing;
    Retrying retrying;
    bool hedging;
};

constexpr Strategy strategies[] = {
    { "appletally", Queueing::Admission, Choosing::Routing, Retrying::Budget, true },
    { "round robin, unbounded queue", Queueing::Fifo, Choosing::RoundRobin, Retrying::None, false },
    { "same, abandoned requests dropped", Queueing::FifoDropping, Choosing::RoundRobin, Retrying::None, false },
    { "same, three attempts", Queueing::FifoDropping, Choosing::RoundRobin, Retrying::Unbounded, false },
};

// The request kinds, with their shares of the slot time at 1 times the capacity.
struct RequestKind {
    const char* route;
    Priority priority;
    double share;
    double meanRun;
    Duration timeout;
};
constexpr RequestKind requestKinds[] = {
    { "plug", Priority::Command, 0.04, 20, Duration { 1000 } },
    { "tariff", Priority::Lookup, 0.06, 5, Duration { 500 } },
    { "berth", Priority::Read, 0.70, 20, Duration { 2000 } },
    { "archive", Priority::Archive, 0.20, 400, Duration { 20'000 } },
};

Model makeModel(const Service& service, const Strategy& strategy, double load, uint64_t seed)
{
    Model model;
    model.random.seed(seed);
    model.queueing = strategy.queueing;
    model.choosing = strategy.choosing;
    model.retrying = strategy.retrying;
    model.hedging = strategy.hedging;
    model.roundTrip = service.roundTrip;
    model.upstreams.resize(static_cast<size_t>(service.upstreams));
    for (size_t n = 0; n < model.upstreams.size(); ++n) {
        model.upstreams[n].slots = service.slots;
        model.upstreams[n].zone = static_cast<int>(n % 3);
    }
    const double slotMs = service.upstreams * service.slots * 1000.0 * load;
    for (const RequestKind& kind : requestKinds)
        for (int zone = 0; zone < 3; ++zone) {
            Stream stream { kind.route, kind.route, kind.priority, slotMs * kind.share / kind.meanRun / 3, kind.meanRun, kind.timeout };
            stream.zone = zone;
            stream.callers = 200;
            const bool retries = strategy.retrying == Retrying::Unbounded && kind.priority != Priority::Archive;
            stream.attemptTimeout = retries ? kind.timeout / 3 : Duration {};
            model.streams.push_back(stream);
        }
    return model;
}

struct Row {
    double goodput = 0; // slot time of answers in time, as a share of the capacity
    double inTime[4] {}; // share answered in time, by kind
    int offered[4] {};
    int answeredInTime[4] {};
    int offeredTotal = 0;
    int late = 0;
    std::vector<int64_t> rejectedAfterMs;
    std::vector<int64_t> commandWaitsMs;
    std::vector<int64_t> readWaitsMs;
};

void addResults(Row& row, const Model& model, const Service& service)
{
    double usefulSlotMs = 0;
    for (size_t n = 0; n < model.tallies.size(); ++n) {
        const Tally& it = model.tallies[n];
        const size_t kind = n / 3;
        usefulSlotMs += it.inTime * (requestKinds[kind].meanRun + 0.5); // runs are rounded up to whole milliseconds, 0.5 ms on average
        row.offered[kind] += it.offered;
        row.answeredInTime[kind] += it.inTime;
        row.offeredTotal += it.offered;
        row.late += it.late;
        row.rejectedAfterMs.insert(row.rejectedAfterMs.end(), it.refusedAfter.begin(), it.refusedAfter.end());
        if (kind == 0)
            row.commandWaitsMs.insert(row.commandWaitsMs.end(), it.waits.begin(), it.waits.end());
        if (kind == 2)
            row.readWaitsMs.insert(row.readWaitsMs.end(), it.waits.begin(), it.waits.end());
    }
    row.goodput += usefulSlotMs / (service.upstreams * service.slots * static_cast<double>(simulatedDuration.ms)) / seedCount;
}

void printRow(const Service& service, const Strategy& strategy, double load, const Row& row)
{
    std::printf("| %s | %g | %s | %.1f |", service.name, load, strategy.name, row.goodput * 100);
    for (size_t kind = 0; kind < 4; ++kind)
        std::printf(" %.1f |", row.offered[kind] ? 100.0 * row.answeredInTime[kind] / row.offered[kind] : 0);
    std::printf(" %.1f | %ld | %ld | %ld |\n", 100.0 * row.late / row.offeredTotal, static_cast<long>(quantile(row.commandWaitsMs, 0.99)),
        static_cast<long>(quantile(row.readWaitsMs, 0.5)), static_cast<long>(quantile(row.rejectedAfterMs, 0.99)));
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Goodput under overload, over the decision modules");
    TCLAP::ValueArg<double> minPercent("", "least", "minimum goodput of the modules, in percent of the capacity", false, 0, "PERCENT", line);
    TCLAP::SwitchArg modulesOnly("", "own", "only the modules, without the baseline strategies", line);
    line.parse(argc, argv);

    std::puts("| service | load | strategy | goodput % | commands in time % | lookups % | reads % | archives % | late % | command wait p99 ms | read wait "
              "p50 ms | rejected after p99 ms |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    const Service services[] = { { "plug control, 6 x 10", 6, 10, Duration { 3 } }, { "bake sheets, 3 x 6", 3, 6, Duration { 1 } } };
    bool meetsMinimum = true;
    for (const Service& service : services)
        for (const double load : { 1.0, 2.0, 5.0, 10.0 })
            for (const Strategy& strategy : strategies) {
                if (modulesOnly.getValue() && &strategy != &strategies[0])
                    continue;
                Row row;
                for (uint64_t seed = 1; seed <= seedCount; ++seed) {
                    Model model = makeModel(service, strategy, load, seed);
                    model.run(simulatedDuration);
                    addResults(row, model, service);
                }
                printRow(service, strategy, load, row);
                if (&strategy == &strategies[0])
                    meetsMinimum = meetsMinimum && row.goodput * 100 >= minPercent.getValue() && row.answeredInTime[0] >= 0.99 * row.offered[0];
            }
    return minPercent.getValue() > 0 && !meetsMinimum ? 1 : 0;
}
