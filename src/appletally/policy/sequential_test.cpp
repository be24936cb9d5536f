// Page's rule over Wald's log likelihood ratios of Bernoulli answers.
#include "appletally/policy/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace appletally::policy {

namespace {
    constexpr double largestRate = 0.98; // of an alternative; with a rate of 1 a single good answer would refute it
    constexpr double grossRate = 0.5; // half of all answers: a broken build or a missing dependency
}

double SequentialTest::score() const { return *std::max_element(scores.begin(), scores.end()); }

double likelihoodRatio(const Alternative& it, double hits, double n)
{
    if (it.bad <= it.expected)
        return 0;
    return hits * std::log(it.bad / it.expected) + (n - hits) * std::log((1 - it.bad) / (1 - it.expected));
}

std::array<Alternative, SequentialTest::alternatives> alternativesFor(double baseline, double slack, double regressionShare)
{
    const double expected = std::min(baseline + slack, largestRate);
    const auto bad = [&](double rate) { return std::min(rate, largestRate); };
    return { Alternative { expected, bad(baseline + regressionShare) }, Alternative { expected, bad(baseline + 5 * regressionShare) },
        Alternative { expected, bad(std::max(grossRate, baseline + grossRate)) } };
}

Ratios ratiosOf(const std::array<Alternative, SequentialTest::alternatives>& alternatives, double hits, double n)
{
    Ratios out {};
    for (size_t it = 0; it < out.size(); ++it)
        out[it] = likelihoodRatio(alternatives[it], hits, n);
    return out;
}

void addRatios(SequentialTest& test, const Ratios& ratios)
{
    for (size_t it = 0; it < ratios.size(); ++it)
        test.scores[it] = std::max(0.0, test.scores[it] + ratios[it]);
}

} // namespace appletally::policy
