// Time in milliseconds. Instants and spans are different types, so that a deadline is never added to a deadline.
//
// Only tasks (node/, control/, ctl/) read a clock. The pure modules (config/, consensus/, policy/) take `now` as an
// argument, which is what lets a test run an hour of retries in a microsecond and repeat it exactly.
#pragma once

#include <compare>
#include <cstdint>

namespace appletally::base {

// A span. Negative spans are allowed: "how long until" something that has passed.
struct Duration {
    int64_t ms = 0;
    auto operator<=>(const Duration&) const = default;
};

// An instant on one process's steady clock. Never sent to another process: clocks of two hosts have nothing in common.
struct Time {
    int64_t ms = 0;
    auto operator<=>(const Time&) const = default;
};

// An instant on the wall clock, milliseconds since 1970. Only for what people write down, such as `complete_by`.
struct WallTime {
    int64_t ms = 0;
    auto operator<=>(const WallTime&) const = default;
};

constexpr Duration operator+(Duration a, Duration b) { return { a.ms + b.ms }; }
constexpr Duration operator-(Duration a, Duration b) { return { a.ms - b.ms }; }
constexpr Duration operator*(Duration a, int64_t n) { return { a.ms * n }; }
constexpr Duration operator/(Duration a, int64_t n) { return { a.ms / n }; }
constexpr Time operator+(Time a, Duration b) { return { a.ms + b.ms }; }
constexpr Time operator-(Time a, Duration b) { return { a.ms - b.ms }; }
constexpr Duration operator-(Time a, Time b) { return { a.ms - b.ms }; }
constexpr WallTime operator+(WallTime a, Duration b) { return { a.ms + b.ms }; }
constexpr Duration operator-(WallTime a, WallTime b) { return { a.ms - b.ms }; }

Time steadyNow();
WallTime wallNow();

// The wall clock as it was at one moment, counted on by the steady clock. A schedule that goes by the wall clock itself is
// two seconds early or late when somebody sets the clock; a rollout then misses its time or rushes past its trial.
struct AnchoredClock {
    WallTime wall;
    Time steady;
};

AnchoredClock anchorNow();
constexpr WallTime wallAt(const AnchoredClock& it, Time now) { return it.wall + (now - it.steady); }

// Microseconds on the steady clock, for latency histograms only: one call adds less than a millisecond.
int64_t steadyMicros();

} // namespace appletally::base
