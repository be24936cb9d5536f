// Reading logs, putting one request's lines in order, and naming what is missing; see explain.h.
#include "appletally/ctl/explain.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>

namespace appletally::ctl {

namespace {

    using base::Event;
    using Json = nlohmann::ordered_json;

    // A line that tells what was left out comes with the next line about a request after the second is over. On a host that
    // logs about any request at all that is well within this time.
    constexpr int64_t leftOutToldWithin = 5000; // milliseconds

    // A process that was killed is started again within this time; a later start has nothing to do with the request.
    constexpr int64_t startedAgainWithin = 60'000; // milliseconds

    bool is(const LogLine& it, Event event) { return it.event == static_cast<int>(event); }

    bool isOfCaller(const LogLine& it) { return it.event / 10 == 51 || is(it, Event::OutcomeLost); }

    // The last line that a caller's node writes of a request.
    bool endsRequest(const LogLine& it)
    {
        return is(it, Event::RequestAnswered) || is(it, Event::RequestRefused) || is(it, Event::RequestCancelled) || is(it, Event::OutcomeLost);
    }

    // The last line that an upstream's node writes of a call.
    bool endsCall(const LogLine& it)
    {
        return is(it, Event::CallRefused) || is(it, Event::CallEnded) || is(it, Event::CallFailed) || is(it, Event::CallCancelled);
    }

    bool explainsGaps(const LogLine& it)
    {
        return is(it, Event::Started) || is(it, Event::Stopped) || is(it, Event::LogLinesDropped);
    }

    std::string text(const LogLine& it, const char* key)
    {
        const auto found = it.fields.find(key);
        if (found == it.fields.end())
            return "";
        return found->is_string() ? found->get<std::string>() : found->dump();
    }

    int64_t number(const LogLine& it, const char* key)
    {
        const auto found = it.fields.find(key);
        return found != it.fields.end() && found->is_number_integer() ? found->get<int64_t>() : 0;
    }

    std::optional<LogLine> parse(const std::string& line)
    {
        const size_t brace = line.find('{');
        if (brace == std::string::npos)
            return {};
        Json json = Json::parse(line.begin() + static_cast<std::ptrdiff_t>(brace), line.end(), nullptr, false);
        const bool ours = json.is_object() && json.contains("event") && json["event"].is_number_integer() && json.contains("host") && json["host"].is_string()
            && json.contains("t") && json["t"].is_number_integer();
        if (!ours)
            return {};
        LogLine out { json["t"].get<int64_t>(), json["host"].get<std::string>(), json["event"].get<int>(), {} };
        out.fields = std::move(json);
        return out;
    }

    std::string nameOfCode(int64_t code)
    {
        for (const base::CodeInfo& it : base::allCodes()) {
            if (static_cast<int64_t>(it.code) == code)
                return std::string(it.name) + " (" + std::to_string(code) + ")";
        }
        return "code " + std::to_string(code);
    }

    std::string outcomeOf(const std::vector<LogLine>& caller)
    {
        const auto end = std::find_if(caller.rbegin(), caller.rend(), endsRequest);
        if (end == caller.rend())
            return "its end is not in these logs";
        const std::string after = " after " + text(*end, "took_ms") + " ms and " + text(*end, "tries") + " tries";
        if (is(*end, Event::RequestAnswered))
            return "answered with status " + text(*end, "status") + " by " + text(*end, "upstream") + after;
        if (is(*end, Event::RequestCancelled))
            return "its caller left after " + text(*end, "after_ms") + " ms";
        const std::string why = nameOfCode(number(*end, "code")) + ", " + text(*end, "why");
        if (is(*end, Event::OutcomeLost))
            return "outcome unknown: " + why + after;
        // Refused before it was sent anywhere: there were no tries, and no time to speak of.
        return "refused and not run: " + why + (end->fields.contains("took_ms") ? after : "");
    }

    // Why a host that should have a line at `around` (by another host's clock) has none; `event` is the line's kind if known.
    std::string whyMissing(const CollectedLogs& logs, const std::string& host, int64_t around, const std::vector<Event>& events)
    {
        const auto found = logs.hosts.find(host);
        if (found == logs.hosts.end())
            return "no log of this host was given";
        for (const LogLine& it : found->second) {
            if (!is(it, Event::LogLinesDropped) || it.at < around || it.at - around > leftOutToldWithin)
                continue;
            for (const Event event : events) {
                const std::string name(base::info(event).name);
                if (number(it, name.c_str()) > 0)
                    return "its line may be one of the " + std::to_string(number(it, name.c_str())) + " " + name + " left out for their second's budget";
            }
        }
        const bool startedAgain = std::any_of(found->second.begin(), found->second.end(), [&](const LogLine& it) { return is(it, Event::Started) && it.at > around && it.at - around < startedAgainWithin; });
        if (startedAgain)
            return "its process ended, and started again later";
        return "its log has no such line";
    }

    // Takes the lines of the next call out of an upstream's node's lines.
    std::vector<LogLine> takeCall(std::vector<LogLine>& lines)
    {
        auto end = std::find_if(lines.begin(), lines.end(), endsCall);
        if (end != lines.end())
            ++end;
        std::vector<LogLine> out(lines.begin(), end);
        lines.erase(lines.begin(), end);
        return out;
    }

    void sortOut(const CollectedLogs& logs, std::vector<LogLine>& caller, std::map<std::string, std::vector<LogLine>>& calls)
    {
        for (const auto& [host, lines] : logs.request) {
            for (const LogLine& it : lines)
                (isOfCaller(it) ? caller : calls[host]).push_back(it);
        }
    }

    void tellCalls(const CollectedLogs& logs, Story& story, const std::vector<LogLine>& caller, std::map<std::string, std::vector<LogLine>>& calls)
    {
        for (size_t n = 0; n < caller.size(); ++n) {
            story.lines.push_back(caller[n]);
            if (!is(caller[n], Event::RequestSent))
                continue;
            const std::string host = text(caller[n], "upstream");
            const std::vector<LogLine> call = takeCall(calls[host]);
            story.lines.insert(story.lines.end(), call.begin(), call.end());
            if (call.empty() || !endsCall(call.back()))
                story.gaps.push_back({ host, "how try " + text(caller[n], "try") + " ended: " + whyMissing(logs, host, caller[n].at, { Event::CallEnded, Event::CallRefused, Event::CallFailed, Event::CallCancelled }) });
        }
        for (auto& [host, lines] : calls) {
            if (lines.empty())
                continue;
            story.gaps.push_back({ host, "who sent it there: no request-sent to this host is in these logs" });
            story.lines.insert(story.lines.end(), lines.begin(), lines.end());
        }
    }

} // namespace

void collect(CollectedLogs& it, std::istream& log)
{
    std::string line;
    while (std::getline(log, line)) {
        std::optional<LogLine> parsed = parse(line);
        if (!parsed) {
            it.unreadable += line.empty() ? 0 : 1;
            continue;
        }
        std::vector<LogLine>& ofHost = it.hosts[parsed->host]; // also where nothing in it helps: the host's log was given
        if (explainsGaps(*parsed))
            ofHost.push_back(*parsed);
        if (parsed->fields.value("id", "") == it.id)
            it.request[parsed->host].push_back(std::move(*parsed));
    }
}

Story tell(const CollectedLogs& logs)
{
    std::vector<LogLine> caller;
    std::map<std::string, std::vector<LogLine>> calls;
    sortOut(logs, caller, calls);
    Story out;
    out.id = logs.id;
    out.outcome = outcomeOf(caller);
    tellCalls(logs, out, caller, calls);
    if (caller.empty())
        return out;
    if (!endsRequest(caller.back()))
        out.gaps.push_back({ caller.back().host, "how the request ended: " + whyMissing(logs, caller.back().host, caller.back().at, { Event::RequestAnswered, Event::RequestRefused, Event::OutcomeLost, Event::RequestCancelled }) });
    const bool wasSent = std::any_of(caller.begin(), caller.end(), [](const LogLine& it) { return is(it, Event::RequestSent); });
    if (!wasSent && number(caller.back(), "tries") > 0)
        out.gaps.push_back({ caller.back().host, "where it was sent: " + whyMissing(logs, caller.back().host, caller.back().at, { Event::RequestSent }) });
    return out;
}

void print(std::ostream& out, const Story& story)
{
    out << "request " << story.id << ": " << story.outcome << '\n';
    const int64_t start = story.lines.empty() ? 0 : story.lines.front().at;
    for (const LogLine& it : story.lines) {
        out << "  " << it.host << " +" << it.at - start << " ms  " << text(it, "name");
        for (const auto& [key, value] : it.fields.items()) {
            static const std::vector<std::string> inHead { "t", "program", "host", "severity", "event", "name", "id" };
            if (std::find(inHead.begin(), inHead.end(), key) == inHead.end())
                out << "  " << key << '=' << (value.is_string() ? value.get<std::string>() : value.dump());
        }
        out << '\n';
    }
    out << (story.gaps.empty() ? "nothing is missing\n" : "missing:\n");
    for (const Gap& it : story.gaps)
        out << "  " << it.host << ": " << it.text << '\n';
}

Json toJson(const Story& story)
{
    Json out = { { "id", story.id }, { "outcome", story.outcome }, { "lines", Json::array() }, { "gaps", Json::array() } };
    for (const LogLine& it : story.lines)
        out["lines"].push_back(it.fields);
    for (const Gap& it : story.gaps)
        out["gaps"].push_back({ { "host", it.host }, { "text", it.text } });
    return out;
}

base::Result<void> explain(const std::vector<std::string>& words, bool json)
{
    if (words.size() < 3)
        return base::fail(base::Code::BadCommandLine, "explain takes an id and at least one log file, or - for standard input");
    CollectedLogs logs;
    logs.id = words[1];
    for (size_t n = 2; n < words.size(); ++n) {
        if (words[n] == "-") {
            collect(logs, std::cin);
            continue;
        }
        std::ifstream in(words[n], std::ios::binary);
        if (!in)
            return base::fail(base::Code::SettingsUnreadable, words[n] + ": expected a readable log file");
        collect(logs, in);
    }
    if (logs.request.empty())
        return base::fail(base::Code::BadCommandLine, "no line has the id " + logs.id + "; " + std::to_string(logs.hosts.size()) + " hosts' logs were read, " + std::to_string(logs.unreadable) + " lines were no log lines");
    const Story story = tell(logs);
    if (json)
        std::cout << toJson(story).dump(2) << '\n';
    else
        print(std::cout, story);
    return base::success();
}

} // namespace appletally::ctl
