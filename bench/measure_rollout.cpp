// Rollouts of good and bad versions by kind and traffic, over the modules that control and nodes use: how many good ones
// completed in time, how many bad ones were taken back, and what callers lost meanwhile. `scripts/measure rollout`.
#include "../tests/rollout_simulation.h"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace rollout_test;

namespace {

struct Kind {
    std::string name;
    Fault fault;
    Conditions conditions;
    bool bad = false;
};

std::vector<Kind> kinds()
{
    std::vector<Kind> out;
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
    good("control gone a while", { .controlGone = true });
    bad("fails always, at once", { .failures = 1 });
    bad("fails 20%, at once", { .failures = 0.2 });
    bad("fails 5%, at once", { .failures = 0.05 });
    bad("three times slower, at once", { .slower = 3 });
    bad("stalls 10%, at once", { .stalls = 0.1 });
    bad("fails always, later", { .failures = 1, .from = 0.25 });
    bad("fails 20%, later", { .failures = 0.2, .from = 0.25 });
    bad("three times slower, later", { .slower = 3, .from = 0.25 });
    bad("fails 50% under load", { .failures = 0.5, .onlyBusy = true });
    bad("four times slower under load", { .slower = 4, .onlyBusy = true });
    bad("fails 50% on one route", { .failures = 0.5, .onlyRoute = 2 });
    bad("three times slower on one route", { .slower = 3, .onlyRoute = 2 });
    bad("fails 30% on a rare route", { .failures = 0.3, .onlyRoute = 3 });
    bad("never gets warm", { .neverWarm = true });
    return out;
}

struct Row {
    int cases = 0;
    int completed = 0; // by completeBy
    int takenBack = 0;
    uint64_t affected = 0;
    double worstHurt = 0; // share of the worst route's requests
    std::vector<int64_t> toZero; // ms
    int64_t decisionToZero = 0; // longest
    int raises = 0;
};

Row measure(const Kind& kind, double perSecond, config::OptimizationGoal weighing, int cases)
{
    Row row;
    for (int seed = 1; seed <= cases; ++seed) {
        Case it;
        it.seed = static_cast<uint64_t>(seed);
        it.perSecond = perSecond;
        it.fault = kind.fault;
        it.conditions = kind.conditions;
        it.weighing = weighing;
        it.callerBaselines = std::getenv("NO_BASELINES") == nullptr;
        const Outcome out = RolloutSimulation(it).run();
        if (std::getenv("WHY") && (out.end == RolloutAction::RollBack) != kind.bad)
            std::fprintf(stderr, "%s, %.0f/s, seed %d: %s\n", kind.name.c_str(), perSecond, seed, out.reason.c_str());
        ++row.cases;
        row.completed += out.end == RolloutAction::Complete && out.endedAt.ms <= it.window.ms ? 1 : 0;
        row.takenBack += out.end == RolloutAction::RollBack ? 1 : 0;
        row.affected += out.affected;
        row.worstHurt = std::max(row.worstHurt, out.affectedShare);
        row.raises += out.raises;
        if (out.end == RolloutAction::RollBack) {
            row.toZero.push_back(out.firstAffectedToZero.ms);
            row.decisionToZero = std::max(row.decisionToZero, out.decisionToZero.ms);
        }
    }
    std::sort(row.toZero.begin(), row.toZero.end());
    return row;
}

int64_t quantile(const std::vector<int64_t>& sorted, double q)
{
    return sorted.empty() ? 0 : sorted[std::min(sorted.size() - 1, static_cast<size_t>(q * static_cast<double>(sorted.size())))];
}

void print(const Kind& kind, double perSecond, const Row& it)
{
    std::printf("| %s | %.0f | %d | %d | %d | %.1f | %.2f%% | %lld | %lld | %lld | %.1f |\n", kind.name.c_str(), perSecond, it.cases, it.completed, it.takenBack,
        static_cast<double>(it.affected) / it.cases, 100 * it.worstHurt, static_cast<long long>(quantile(it.toZero, 0.5)),
        static_cast<long long>(quantile(it.toZero, 0.95)), static_cast<long long>(it.decisionToZero), static_cast<double>(it.raises) / it.cases);
}

struct Sum {
    int good = 0;
    int goodCompleted = 0;
    int goodTakenBack = 0;
    int bad = 0;
    int badTakenBack = 0;
    int badOverOnePercent = 0; // rows whose worst case is above 1%
};

void table(config::OptimizationGoal weighing, int cases)
{
    const std::vector<Kind> all = kinds();
    const std::vector<double> traffic { 2, 20, 200 };
    std::vector<Row> rows(all.size() * traffic.size());
    // One thread for each traffic level, so that other work on the machine is left room.
    std::vector<std::thread> threads;
    for (size_t level = 0; level < traffic.size(); ++level)
        threads.emplace_back([&, level] {
            for (size_t n = 0; n < all.size(); ++n)
                rows[n * traffic.size() + level] = measure(all[n], traffic[level], weighing, cases);
        });
    for (std::thread& it : threads)
        it.join();
    std::printf("\n%s\n\n", weighing == config::OptimizationGoal::SpeedAndRollback ? "Weighing take-back (Marsa Volt)" : "Weighing completion (Hlyab za Vsichki)");
    std::printf("| version | requests/s | cases | completed in time | taken back | answers hurt per case | worst route hurt | first bad to zero, median ms | 95%% ms | decision to zero, longest ms | shares set per case |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    Sum sum;
    for (size_t n = 0; n < all.size(); ++n) {
        for (size_t level = 0; level < traffic.size(); ++level) {
            const Row& it = rows[n * traffic.size() + level];
            print(all[n], traffic[level], it);
            sum.good += all[n].bad ? 0 : it.cases;
            sum.goodCompleted += all[n].bad ? 0 : it.completed;
            sum.goodTakenBack += all[n].bad ? 0 : it.takenBack;
            sum.bad += all[n].bad ? it.cases : 0;
            sum.badTakenBack += all[n].bad ? it.takenBack : 0;
            sum.badOverOnePercent += all[n].bad && it.worstHurt > 0.01 ? 1 : 0;
        }
    }
    std::printf("\ngood: %d of %d completed in time, %d wrongly taken back; bad: %d of %d taken back; rows of bad ones with a case above 1%% hurt: %d\n",
        sum.goodCompleted, sum.good, sum.goodTakenBack, sum.badTakenBack, sum.bad, sum.badOverOnePercent);
}

} // namespace

int main(int argc, char** argv)
{
    const int cases = argc > 1 ? std::atoi(argv[1]) : 5;
    table(config::OptimizationGoal::SpeedAndRollback, cases);
    table(config::OptimizationGoal::CompletionAndBytes, cases);
    return 0;
}
