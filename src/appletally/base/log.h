// Numbered log events on standard output, one JSON object per line (Boost.Log). docs/EVENTS.md lists them; a test compares
// the page with events.cpp.
//
// Operators search for and alert on event numbers; texts may change. Logging never blocks: a line that a full pipe does
// not accept is dropped and counted. Lines about single requests are rate limited (LogBudget), with a separate budget for
// failures, so that an overload does not overload the log too. The latest events that are not about single requests are
// kept in memory for `appletallyctl dump`.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/events.h"

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace appletally::base {

enum class Severity { Info,
    Warning,
    Error };

// Call once in main, before any task starts. Every line contains `program` and `host`.
void startLog(const std::string& program, const std::string& host, Severity minSeverity);

// Thread-safe.
void logEvent(Event, const std::string& text);

// One input or result of a decision. Ages and durations are in milliseconds; their names end in the unit.
struct LogField {
    std::string_view name;
    std::variant<int64_t, std::string_view> value;
};

// Logs a decision about one request, with the request's id. Dropped and counted if the budget of the current second is
// used up.
void logRequest(Event, std::string_view requestId, std::initializer_list<LogField>);

// At most 64 events, oldest first.
std::vector<std::string> recentEvents();

// Rate limit for log lines about requests. At ten times the usual load a node makes some thousand decisions per second;
// the first fifty failures show the cause, and the count of dropped lines shows how often it occurs.
struct LogBudget {
    int failuresPerSecond = 50;
    int othersPerSecond = 50;

    Time second; // start of the current one-second window
    int failures = 0; // lines written in this window
    int others = 0;
    std::map<Event, uint64_t> dropped; // counts since they were last taken
};

bool mayWrite(LogBudget&, Event, Time now);
std::map<Event, uint64_t> takeDropped(LogBudget&, Time now); // at most once per second; empty if no line was dropped

} // namespace appletally::base
