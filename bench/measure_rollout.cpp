// Simulates rollouts of good and bad versions by scenario and traffic, with the modules that control processes and nodes
// use. Reports how many good versions completed in time, how many bad versions were rolled back, and how many requests
// failed or were too slow meanwhile. Run by `scripts/measure rollout`.
#include "../tests/rollout_simulation.h"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace rollout_test;

namespace {

struct Scenario {
    std::string name;
    Fault fault;
    Conditions conditions;
    bool bad = false;
};

std::vector<Scenario> makeScenarios()
{
    std::vector<Scenario> out;
    const auto good = [&](const char* name, Conditions conditions, double slower = 1) {
        Fault fault;
        fault.slower = slower;
        out.push_back({ name, fault, conditions, false });
    };
    const auto bad = [&](const char* name, Fault fault) { out.push_back({ name, fault, {}, true }); };
    good("plain", {});
    good("a fifth slower", {}, 1.2);
    good("cold start", { .coldStart = true });
    good("overload of both", { .overload = true });
    good("dependency fails for both", { .routeOutage = true });
    good("busier hosts", { .newBusier = true });
    good("noisy neighbour", { .noisyNeighbour = true });
    good("control unreachable for a while", { .controlGone = true });
    bad("fails always, immediately", { .failures = 1 });
    bad("fails 20%, immediately", { .failures = 0.2 });
    bad("fails 5%, immediately", { .failures = 0.05 });
    bad("three times slower, immediately", { .slower = 3 });
    bad("stalls 10%, immediately", { .stalls = 0.1 });
    bad("fails always, later", { .failures = 1, .from = 0.25 });
    bad("fails 20%, later", { .failures = 0.2, .from = 0.25 });
    bad("three times slower, later", { .slower = 3, .from = 0.25 });
    bad("fails 50% under load", { .failures = 0.5, .onlyBusy = true });
    bad("four times slower under load", { .slower = 4, .onlyBusy = true });
    bad("fails 50% on one route", { .failures = 0.5, .onlyRoute = 2 });
    bad("three times slower on one route", { .slower = 3, .onlyRoute = 2 });
    bad("fails 30% on a rare route", { .failures = 0.3, .onlyRoute = 3 });
    bad("never leaves its cold start", { .neverWarm = true });
    return out;
}

struct Row {
    int cases = 0;
    int completed = 0; // before the completion deadline
    int rolledBack = 0;
    uint64_t badAnswers = 0;
    double worstBadShare = 0; // share of the worst route's requests, the largest of all cases
    std::vector<int64_t> firstBadToZeroMs;
    int64_t maxDecisionToZeroMs = 0;
    int shareChanges = 0;
};

Row measure(const Scenario& scenario, double requestsPerSecond, config::OptimizationGoal weighing, int cases)
{
    Row row;
    for (int seed = 1; seed <= cases; ++seed) {
        Case it;
        it.seed = static_cast<uint64_t>(seed);
        it.perSecond = requestsPerSecond;
        it.fault = scenario.fault;
        it.conditions = scenario.conditions;
        it.weighing = weighing;
        it.callerBaselines = std::getenv("NO_BASELINES") == nullptr;
        const Outcome out = RolloutSimulation(it).run();
        if (std::getenv("WHY") && (out.end == RolloutAction::RollBack) != scenario.bad)
            std::fprintf(stderr, "%s, %.0f/s, seed %d: %s\n", scenario.name.c_str(), requestsPerSecond, seed, out.reason.c_str());
        ++row.cases;
        row.completed += out.end == RolloutAction::Complete && out.endedAt.ms <= it.window.ms ? 1 : 0;
        row.rolledBack += out.end == RolloutAction::RollBack ? 1 : 0;
        row.badAnswers += out.affected;
        row.worstBadShare = std::max(row.worstBadShare, out.affectedShare);
        row.shareChanges += out.raises;
        if (out.end == RolloutAction::RollBack) {
            row.firstBadToZeroMs.push_back(out.firstAffectedToZero.ms);
            row.maxDecisionToZeroMs = std::max(row.maxDecisionToZeroMs, out.decisionToZero.ms);
        }
    }
    std::sort(row.firstBadToZeroMs.begin(), row.firstBadToZeroMs.end());
    return row;
}

int64_t quantile(const std::vector<int64_t>& sorted, double q)
{
    return sorted.empty() ? 0 : sorted[std::min(sorted.size() - 1, static_cast<size_t>(q * static_cast<double>(sorted.size())))];
}

void printRow(const Scenario& scenario, double requestsPerSecond, const Row& it)
{
    std::printf("| %s | %.0f | %d | %d | %d | %.1f | %.2f%% | %lld | %lld | %lld | %.1f |\n", scenario.name.c_str(), requestsPerSecond, it.cases, it.completed, it.rolledBack,
        static_cast<double>(it.badAnswers) / it.cases, 100 * it.worstBadShare, static_cast<long long>(quantile(it.firstBadToZeroMs, 0.5)),
        static_cast<long long>(quantile(it.firstBadToZeroMs, 0.95)), static_cast<long long>(it.maxDecisionToZeroMs), static_cast<double>(it.shareChanges) / it.cases);
}

struct Totals {
    int good = 0;
    int goodCompleted = 0;
    int goodRolledBack = 0;
    int bad = 0;
    int badRolledBack = 0;
    int badOverOnePercent = 0; // rows whose worst case has more than 1% bad answers
};

void printTable(config::OptimizationGoal weighing, int cases)
{
    const std::vector<Scenario> scenarios = makeScenarios();
    const std::vector<double> traffic { 2, 20, 200 };
    std::vector<Row> rows(scenarios.size() * traffic.size());
    // One thread per traffic level, which leaves processor time for other work on the machine.
    std::vector<std::thread> threads;
    for (size_t level = 0; level < traffic.size(); ++level)
        threads.emplace_back([&, level] {
            for (size_t n = 0; n < scenarios.size(); ++n)
                rows[n * traffic.size() + level] = measure(scenarios[n], traffic[level], weighing, cases);
        });
    for (std::thread& it : threads)
        it.join();
    std::printf("\n%s\n\n", weighing == config::OptimizationGoal::SpeedAndRollback ? "Weighing speed and rollback (Marsa Volt)" : "Weighing completion and bytes (Hlyab za Vsichki)");
    std::printf("| version | requests/s | cases | completed in time | rolled back | bad answers per case | worst route's bad share | first bad answer to zero, median ms | p95 ms | decision to zero, max ms | shares set per case |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    Totals totals;
    for (size_t n = 0; n < scenarios.size(); ++n) {
        for (size_t level = 0; level < traffic.size(); ++level) {
            const Row& it = rows[n * traffic.size() + level];
            printRow(scenarios[n], traffic[level], it);
            totals.good += scenarios[n].bad ? 0 : it.cases;
            totals.goodCompleted += scenarios[n].bad ? 0 : it.completed;
            totals.goodRolledBack += scenarios[n].bad ? 0 : it.rolledBack;
            totals.bad += scenarios[n].bad ? it.cases : 0;
            totals.badRolledBack += scenarios[n].bad ? it.rolledBack : 0;
            totals.badOverOnePercent += scenarios[n].bad && it.worstBadShare > 0.01 ? 1 : 0;
        }
    }
    std::printf("\ngood: %d of %d completed in time, %d wrongly rolled back; bad: %d of %d rolled back; rows of bad versions with a case above 1%% bad answers: %d\n",
        totals.goodCompleted, totals.good, totals.goodRolledBack, totals.badRolledBack, totals.bad, totals.badOverOnePercent);
}

} // namespace

int main(int argc, char** argv)
{
    const int cases = argc > 1 ? std::atoi(argv[1]) : 5;
    printTable(config::OptimizationGoal::SpeedAndRollback, cases);
    printTable(config::OptimizationGoal::CompletionAndBytes, cases);
    return 0;
}
