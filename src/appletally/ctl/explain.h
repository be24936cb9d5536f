// Reconstructs the history of one request from the log files of several processes: its events in order, and the gaps.
//
// Lines of different hosts cannot be ordered by time: their clocks differ, so a rejection may carry an earlier time than the
// line that sent the request. Lines of one host keep the order of its log, and the lines of a call follow the request-sent
// that caused it. For an expected line that is missing, the history gives the cause as far as the logs show it: no log of
// that host was given, the log budget of that second was used up, or the process was killed.
#pragma once

#include "appletally/base/events.h"
#include "appletally/base/result.h"

#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace appletally::ctl {

// One line of a log; may belong to any request or none.
struct LogLine {
    int64_t timeMs = 0; // Unix time by the clock of its host
    std::string host;
    int event = 0;
    nlohmann::ordered_json fields; // as written
};

// The request's lines, and for each host the lines that can explain a gap.
struct CollectedLogs {
    std::string id;
    std::map<std::string, std::vector<LogLine>> request; // by host, in log order
    std::map<std::string, std::vector<LogLine>> hosts; // started, stopped and log-lines-left-out events of every host whose log was read
    uint64_t unreadable = 0; // lines that are not log lines of appletally
};

// Reads log lines. Text before the first brace of a line, as log collectors add it, is ignored.
void collect(CollectedLogs&, std::istream& log);

struct Gap {
    std::string host;
    std::string text; // one sentence: what is missing and why
};

struct RequestHistory {
    std::string id;
    std::string outcome; // one sentence: the result that the caller got, as far as the logs show it
    std::vector<LogLine> lines; // in order
    std::vector<Gap> gaps;
};

RequestHistory buildHistory(const CollectedLogs&);

void print(std::ostream&, const RequestHistory&);
nlohmann::ordered_json toJson(const RequestHistory&);

// `appletallyctl explain ID LOG...`; "-" reads standard input. Fails if a log cannot be read or no line has the id.
base::Result<void> explain(const std::vector<std::string>& words, bool json);

} // namespace appletally::ctl
