// The rate that an upstream names: how many requests start, which of them, and what the refused ones are told.
#include "load_model.h"

#include <catch2/catch.hpp>

using namespace appletally;
using namespace appletally::load_model;

namespace {

// One upstream with ten slots and runs of 10 ms, under 10 commands and 40 reads a second.
Model underRate(double perSecond)
{
    Model model;
    model.random.seed(7);
    model.upstreams.resize(1);
    model.upstreams[0].admission.rate = startRateLimit(perSecond, {});
    model.streams = { { .caller = "people", .route = "switch", .priority = Priority::Command, .perSecond = 10, .meanRun = 10, .timeout = { 500 } },
        { .caller = "people", .route = "status", .perSecond = 40, .meanRun = 10, .timeout = { 500 } } };
    model.run({ 20'000 });
    return model;
}

std::vector<Time> startsOf(const Model& model)
{
    std::vector<Time> starts;
    for (const Model::Attempt& it : model.attempts) {
        if (it.started > Time {})
            starts.push_back(it.started);
    }
    std::sort(starts.begin(), starts.end());
    return starts;
}

int mostIn4Seconds(const std::vector<Time>& starts)
{
    int most = 0;
    for (auto it = starts.begin(); it != starts.end(); ++it)
        most = std::max(most, static_cast<int>(std::lower_bound(it, starts.end(), *it + Duration { 4000 }) - it));
    return most;
}

} // namespace

TEST_CASE("requests start at the rate that the upstream named, commands first", "[admission][overload]")
{
    // Guards against an upstream in need that gets more than it named, or less than it takes, in a load of short runs.
    for (const double perSecond : { 20.0, 6.2 }) {
        const Model model = underRate(perSecond);
        INFO(perSecond << " a second");
        const std::vector<Time> starts = startsOf(model);
        CHECK(mostIn4Seconds(starts) <= 4 * perSecond + 3);
        CHECK(static_cast<double>(starts.size()) >= 0.85 * 20 * perSecond);
        for (const Tally& it : model.tallies)
            CHECK(it.refusedWithoutReturn == 0);
        if (perSecond > 10)
            CHECK(model.tallies[0].goodput() >= 0.9);
    }
}

TEST_CASE("an upstream that takes no requests gets one now and then, so that the end of its limit is seen", "[admission]")
{
    // Guards against an upstream that named zero and is never asked again.
    const std::vector<Time> starts = startsOf(underRate(0));
    CHECK(!starts.empty());
    CHECK(mostIn4Seconds(starts) <= 5);
}

TEST_CASE("requests that a rate leaves no time for are refused at once", "[admission][overload]")
{
    // Guards against callers that wait for a token that cannot come before their deadline, or that commands take.
    for (const double perSecond : { 20.0, 12.0, 6.2 })
        CHECK(quantile(underRate(perSecond).tallies[1].refusedAfter, 0.99) <= 5);
    Model model = underRate(1);
    for (const Tally& it : model.tallies) {
        CHECK(it.refused >= 0.8 * it.offered);
        CHECK(quantile(it.refusedAfter, 1) <= 250);
    }
    for (uint64_t id = 1'000'000; id < 1'000'005; ++id) {
        const Decision last = offer(model.upstreams[0].admission, { { id }, { "people" }, { "status" }, Priority::Read, { 10 }, model.now + Duration { 500 } }, model.now);
        CHECK((last.action != AdmissionAction::Refuse || last.refusal.retryAfter > Duration {}));
    }
}
