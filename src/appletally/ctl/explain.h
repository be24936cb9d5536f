// The story of one request out of the log files of several processes: what was decided, in order, and what is missing.
//
// An engineer on call has an id and the logs of all hosts. Sorted by their times, lines of two hosts whose clocks differ
// cross: a refusal seems to come before the request was sent. So only lines of one host are ordered by their file; a call's
// lines are put behind the line that sent it there. Where a line should be and is not, the story says why as far as the logs
// tell: no log of that host was given, the second's budget was spent, or the process was killed.
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

// One line of a log, of any request or of none.
struct LogLine {
    int64_t at = 0; // milliseconds since 1970, by its host's clock
    std::string host;
    int event = 0;
    nlohmann::ordered_json fields; // as written
};

// What was read: the request's lines, and of each host what can explain a gap.
struct CollectedLogs {
    std::string id;
    std::map<std::string, std::vector<LogLine>> request; // by host, in the order of its log
    std::map<std::string, std::vector<LogLine>> hosts; // starts, stops and lines left out of every host that was read
    uint64_t unreadable = 0; // lines that are no log lines of ours
};

// Lines may have something before their first brace, as collectors put there.
void collect(CollectedLogs&, std::istream& log);

struct Gap {
    std::string host;
    std::string text; // one sentence
};

struct Story {
    std::string id;
    std::string outcome; // one sentence; what the caller was told, as far as the logs say
    std::vector<LogLine> lines; // in order
    std::vector<Gap> gaps;
};

Story tell(const CollectedLogs&);

void print(std::ostream&, const Story&);
nlohmann::ordered_json toJson(const Story&);

// `appletallyctl explain ID LOG...`; "-" reads standard input. Fails where a log cannot be read or no line has the id.
base::Result<void> explain(const std::vector<std::string>& words, bool json);

} // namespace appletally::ctl
