// A sequential test of the hypothesis "this happens more often with the new version than with the old one", for answers
// that arrive one by one and a regression that may begin at any time.
//
// Load pattern: a sparse stream of answers of a new version beside a dense one of the old, evaluated after every
// report. A fixed-size test that is evaluated again and again eventually rolls back nearly every good version; one that
// waits for its full sample lets a bad version run on. Wald's sequential probability ratio test may be evaluated after
// each answer. Page's rule (the score never falls below zero) lets it detect a version that was good for an hour and
// then turns bad, which a plain ratio test would notice only after its earlier evidence is outweighed.
//
// Three alternatives are scored in parallel, since the size of a regression is unknown: the smallest that counts, five
// times it, and half of all answers. The highest score is used; one threshold serves all three.
#pragma once

#include <array>
#include <cstddef>

namespace appletally::policy {

struct Alternative {
    double expected = 0; // acceptable rate: the old version's, plus the error margin of its estimate
    double bad = 0; // rate of a regression; larger than `expected`
};

struct SequentialTest {
    static constexpr size_t alternatives = 3;
    std::array<double, alternatives> scores {}; // invariant: not negative

    double score() const; // highest of the alternatives
};

// Log likelihood ratio of `hits` among `n` answers, for `it` against its expected rate. Fractions of hits are allowed.
double likelihoodRatio(const Alternative& it, double hits, double n);

// The three alternatives for a baseline rate: up to `slack` above it is acceptable, `regressionShare` above it is a regression.
std::array<Alternative, SequentialTest::alternatives> alternativesFor(double baseline, double slack, double regressionShare);

// Adds answers. Ratios of several routes or hosts with their own baselines may be summed and added together.
using Ratios = std::array<double, SequentialTest::alternatives>;
Ratios ratiosOf(const std::array<Alternative, SequentialTest::alternatives>&, double hits, double n);
void addRatios(SequentialTest&, const Ratios&);

} // namespace appletally::policy
