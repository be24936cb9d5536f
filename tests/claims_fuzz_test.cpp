// At-most-once claims under fuzzing, and recorded traces of critical sequences, checked against the oracle of
// claims_simulation.h.
#include "claims_simulation.h"
#include "fixed_seed.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace {

using claims_test::ClaimsSimulation;

struct Nothing { }; // all state and the oracle are in the simulation

struct Step : rc::state::Command<Nothing, ClaimsSimulation> {
    std::string line;

    explicit Step(std::string text)
        : line(std::move(text))
    {
    }
    void run(const Nothing&, ClaimsSimulation& simulation) const override
    {
        simulation.step(line);
        if (!simulation.problem.empty())
            RC_FAIL(simulation.problem);
    }
    void show(std::ostream& out) const override { out << line; }
};

std::string randomLine()
{
    const auto number = [](int most) { return " " + std::to_string(*rc::gen::inRange(0, most)); };
    // Mostly deliveries; the rest often enough that two or three faults coincide in one case.
    switch (*rc::gen::weightedElement<int>({ { 6, 0 }, { 10, 1 }, { 6, 2 }, { 3, 3 }, { 2, 4 }, { 3, 5 }, { 4, 6 }, { 3, 7 }, { 3, 8 }, { 3, 9 },
        { 2, 10 }, { 2, 11 }, { 1, 12 }, { 1, 13 }, { 3, 14 }, { 3, 15 } })) {
    case 0:
        return "ask" + number(5) + number(2) + (*rc::gen::inRange(0, 8) == 0 ? " 1" : " 0");
    case 1:
        return "deliver" + number(12);
    case 2:
        return "deliver-to" + number(5);
    case 3:
        return "drop" + number(12);
    case 4:
        return "double" + number(12);
    case 5:
        return "flush";
    case 6:
        return "crash" + number(5);
    case 7:
        return "publish" + number(5);
    case 8:
        return "apply" + number(5);
    case 9:
        return "answer";
    case 10:
        return "pass" + number(60);
    case 11:
        return *rc::gen::element<std::string>("pass 300", "pass 300", "pass 40000", "pass 120100");
    case 12:
        return "lose";
    case 13:
        return "refuse";
    case 14:
        return "follow-but" + number(5);
    default:
        return "catch-up" + number(5);
    }
}

rc::Gen<std::shared_ptr<const rc::state::Command<Nothing, ClaimsSimulation>>> anyStep(const Nothing&)
{
    return rc::gen::exec([] { return std::shared_ptr<const rc::state::Command<Nothing, ClaimsSimulation>>(std::make_shared<Step>(randomLine())); });
}

std::string decisionName(appletally::policy::ClaimDecision it)
{
    constexpr std::array<const char*, 5> names { "pending", "run", "not-run", "recorded", "unknown" };
    return names.at(static_cast<size_t>(it));
}

// A trace: steps, and between them lines "expect runs KEY N", "expect attempt N DECISION" or "expect settled".
void replay(const std::filesystem::path& file)
{
    INFO(file.filename().string());
    std::ifstream in(file);
    REQUIRE(in);
    ClaimsSimulation simulation;
    std::string line;
    for (int number = 1; std::getline(in, line); ++number) {
        INFO("line " << number << ": " << line);
        std::istringstream words(line);
        std::string word;
        words >> word;
        if (word.empty() || word[0] == '#')
            continue;
        if (word != "expect") {
            simulation.step(line);
            REQUIRE(simulation.problem.empty());
            continue;
        }
        std::string what;
        size_t n = 0;
        std::string value;
        words >> what >> n >> value;
        if (what == "runs")
            CHECK(std::to_string(simulation.runsOf(n)) == value);
        else if (what == "attempt")
            CHECK(decisionName(simulation.attempt(n).decision) == value);
        else
            simulation.settle();
        REQUIRE(simulation.problem.empty());
    }
}

} // namespace

TEST_CASE("a key runs at most once despite loss, delay, duplication, restarts and keeper set changes", "[at-most-once][fuzz]")
{
    // Guards against a second run of a key, such as a second disconnect that cuts a reefer's cooling. A caller resends
    // through another node while keepers of its claim restart without their claims, the owner crashes during the run,
    // messages are reordered and the keeper set changes.
    CHECK(fixed_seed::holds("claims", 1, 2000, 250, [] {
        ClaimsSimulation simulation;
        rc::state::check(Nothing {}, simulation, anyStep);
        simulation.settle();
        if (!simulation.problem.empty())
            RC_FAIL(simulation.problem);
    }));
}

TEST_CASE("recorded claim traces give the expected results", "[at-most-once][trace]")
{
    size_t count = 0;
    for (const auto& it : std::filesystem::directory_iterator(std::string(SOURCE_FOLDER) + "/tests/traces")) {
        if (it.path().filename().string().rfind("claims-", 0) != 0)
            continue;
        replay(it.path());
        ++count;
    }
    CHECK(count >= 2);
}
