// The only source file that reads the system clocks.
#include "appletally/base/clock.h"

#include <chrono>

namespace appletally::base {

using std::chrono::duration_cast;

Time steadyNow()
{
    return { duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count() };
}

WallTime wallNow()
{
    return { duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count() };
}

AnchoredClock anchorNow() { return { wallNow(), steadyNow() }; }

int64_t steadyMicros()
{
    return duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

} // namespace appletally::base
