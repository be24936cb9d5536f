// Time in milliseconds. Time points and durations are different types, so that two deadlines cannot be added.
//
// Only tasks (node/, control/, ctl/) read a clock. The pure modules (config/, consensus/, policy/) take `now` as an
// argument, so that a test can simulate an hour of retries in a microsecond and repeat it exactly.
#pragma once

#include <compare>
#include <cstdint>

namespace appletally::base {

// May be negative: the time left until a point that has passed.
struct Duration {
    int64_t ms = 0;
    auto operator<=>(const Duration&) const = default;
};

// A time point on one process's steady clock. Never sent to another process: steady clocks of two hosts are unrelated.
struct Time {
    int64_t ms = 0;
    auto operator<=>(const Time&) const = default;
};

// A time point on the wall clock, milliseconds since 1970. Only for times that people enter, such as `complete_by`.
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

// A wall clock reading that advances with the steady clock. A schedule that reads the wall clock directly jumps, for
// example by two seconds, when the clock is set; a rollout then misses its completion time or cuts its trial short.
struct AnchoredClock {
    WallTime wall;
    Time steady;
};

AnchoredClock anchorNow();
constexpr WallTime wallAt(const AnchoredClock& it, Time now) { return it.wall + (now - it.steady); }

// Microseconds on the steady clock. Only for latency histograms, where single values may be below a millisecond.
int64_t steadyMicros();

} // namespace appletally::base
