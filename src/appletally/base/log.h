// Numbered log events on standard output, one JSON object a line, by Boost.Log. docs/EVENTS.md is the catalogue; a test
// holds it to events.cpp.
//
// An event's number is what operators search for and alert on; its text may change. Nothing ever waits for whoever reads
// the output: what a full pipe does not take is dropped and counted. Lines about single requests have a budget (LogBudget),
// failures before successes, so that an overload does not turn into an overload of the log. The last events that are not
// about single requests are kept in memory for `appletallyctl dump`.
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

// Call once in main, before any task starts. `program` and `host` go into every line.
void startLog(const std::string& program, const std::string& host, Severity least);

// Safe from any thread.
void logEvent(Event, const std::string& text);

// One input or outcome of a decision. Ages and spans are in milliseconds and say so in their names.
struct LogField {
    std::string_view name;
    std::variant<int64_t, std::string_view> value;
};

// A decision about one request, under its id. Dropped and counted where the second's budget is spent.
void logRequest(Event, std::string_view requestId, std::initializer_list<LogField>);

// The newest events last, at most 64.
std::vector<std::string> recentEvents();

// Which lines about requests are written. A second at ten times the usual load has some thousand decisions in a node; the
// first fifty failures say what is wrong, and the count says how often.
struct LogBudget {
    int failuresPerSecond = 50;
    int othersPerSecond = 50;

    Time second; // when the present second began
    int failures = 0; // written in it
    int others = 0;
    std::map<Event, uint64_t> dropped; // since it was last told
};

bool mayWrite(LogBudget&, Event, Time now);
std::map<Event, uint64_t> takeDropped(LogBudget&, Time now); // not empty once a second, where something was left out

} // namespace appletally::base
