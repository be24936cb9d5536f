// Reads logs, orders one request's lines and reports gaps; see explain.h.
#include "appletally/ctl/explain.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>

namespace appletally::ctl {

namespace {

    using base::Event;
    using Json = nlohmann::ordered_json;

    // The log-lines-left-out event of a second is written with the next line about any request after that second. On a host
    // that logs requests at all, that is well within this time.
    constexpr int64_t omissionReportDelayMs = 5000;

    // A killed process is restarted within this time; a later start is unrelated to the request.
    constexpr int64_t restartWindowMs = 60'000;

    bool is(const LogLine& it, Event event) { return it.event == static_cast<int>(event); }

    bool isCallerEvent(const LogLine& it) { return it.event / 10 == 51 || is(it, Event::OutcomeLost); }

    // The last event that the ingress logs for a request.
    bool endsRequest(const LogLine& it)
    {
        return is(it, Event::RequestAnswered) || is(it, Event::RequestRefused) || is(it, Event::RequestCancelled) || is(it, Event::OutcomeLost);
    }

    // The last event that the owner logs for a call.
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
        const bool isLogLine = json.is_object() && json.contains("event") && json["event"].is_number_integer() && json.contains("host") && json["host"].is_string()
            && json.contains("t") && json["t"].is_number_integer();
        if (!isLogLine)
            return {};
        LogLine out { json["t"].get<int64_t>(), json["host"].get<std::string>(), json["event"].get<int>(), {} };
        out.fields = std::move(json);
        return out;
    }

    std::string describeCode(int64_t code)
    {
        for (const base::CodeInfo& it : base::allCodes()) {
            if (static_cast<int64_t>(it.code) == code)
                return std::string(it.name) + " (" + std::to_string(code) + ")";
        }
        return "code " + std::to_string(code);
    }

    std::string describeOutcome(const std::vector<LogLine>& caller)
    {
        const auto end = std::find_if(caller.rbegin(), caller.rend(), endsRequest);
        if (end == caller.rend())
            return "its end is not in these logs";
        const std::string after = " after " + text(*end, "took_ms") + " ms and " + text(*end, "tries") + " attempts";
        if (is(*end, Event::RequestAnswered))
            return "answered with status " + text(*end, "status") + " by " + text(*end, "upstream") + after;
        if (is(*end, Event::RequestCancelled))
            return "cancelled: the caller disconnected after " + text(*end, "after_ms") + " ms";
        const std::string why = describeCode(number(*end, "code")) + ", " + text(*end, "why");
        if (is(*end, Event::OutcomeLost))
            return "outcome unknown: " + why + after;
        // A request that was rejected before it was sent has no attempts and no duration.
        return "refused and not run: " + why + (end->fields.contains("took_ms") ? after : "");
    }

    // Why `host` has no line with one of `events` near the time `around`, which is by another host's clock.
    std::string gapReason(const CollectedLogs& logs, const std::string& host, int64_t around, const std::vector<Event>& events)
    {
        const auto found = logs.hosts.find(host);
        if (found == logs.hosts.end())
            return "no log of this host was given";
        for (const LogLine& it : found->second) {
            if (!is(it, Event::LogLinesDropped) || it.timeMs < around || it.timeMs - around > omissionReportDelayMs)
                continue;
            for (const Event event : events) {
                const std::string name(base::info(event).name);
                if (number(it, name.c_str()) > 0)
                    return "its line may be one of the " + std::to_string(number(it, name.c_str())) + " " + name + " lines left out because of the log budget per second";
            }
        }
        const bool restarted = std::any_of(found->second.begin(), found->second.end(), [&](const LogLine& it) { return is(it, Event::Started) && it.timeMs > around && it.timeMs - around < restartWindowMs; });
        if (restarted)
            return "its process ended and was restarted";
        return "its log has no such line";
    }

    // Removes and returns the lines of the owner's next call.
    std::vector<LogLine> extractCall(std::vector<LogLine>& lines)
    {
        auto end = std::find_if(lines.begin(), lines.end(), endsCall);
        if (end != lines.end())
            ++end;
        std::vector<LogLine> out(lines.begin(), end);
        lines.erase(lines.begin(), end);
        return out;
    }

    void separateCalls(const CollectedLogs& logs, std::vector<LogLine>& caller, std::map<std::string, std::vector<LogLine>>& calls)
    {
        for (const auto& [host, lines] : logs.request) {
            for (const LogLine& it : lines)
                (isCallerEvent(it) ? caller : calls[host]).push_back(it);
        }
    }

    void appendCalls(const CollectedLogs& logs, RequestHistory& history, const std::vector<LogLine>& caller, std::map<std::string, std::vector<LogLine>>& calls)
    {
        for (size_t n = 0; n < caller.size(); ++n) {
            history.lines.push_back(caller[n]);
            if (!is(caller[n], Event::RequestSent))
                continue;
            const std::string host = text(caller[n], "upstream");
            const std::vector<LogLine> call = extractCall(calls[host]);
            history.lines.insert(history.lines.end(), call.begin(), call.end());
            if (call.empty() || !endsCall(call.back()))
                history.gaps.push_back({ host, "how attempt " + text(caller[n], "try") + " ended: " + gapReason(logs, host, caller[n].timeMs, { Event::CallEnded, Event::CallRefused, Event::CallFailed, Event::CallCancelled }) });
        }
        for (auto& [host, lines] : calls) {
            if (lines.empty())
                continue;
            history.gaps.push_back({ host, "which host sent the request: these logs have no request-sent to this host" });
            history.lines.insert(history.lines.end(), lines.begin(), lines.end());
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
        std::vector<LogLine>& ofHost = it.hosts[parsed->host]; // creates the entry, which shows that the host's log was given
        if (explainsGaps(*parsed))
            ofHost.push_back(*parsed);
        if (parsed->fields.value("id", "") == it.id)
            it.request[parsed->host].push_back(std::move(*parsed));
    }
}

RequestHistory buildHistory(const CollectedLogs& logs)
{
    std::vector<LogLine> caller;
    std::map<std::string, std::vector<LogLine>> calls;
    separateCalls(logs, caller, calls);
    RequestHistory out;
    out.id = logs.id;
    out.outcome = describeOutcome(caller);
    appendCalls(logs, out, caller, calls);
    if (caller.empty())
        return out;
    if (!endsRequest(caller.back()))
        out.gaps.push_back({ caller.back().host, "how the request ended: " + gapReason(logs, caller.back().host, caller.back().timeMs, { Event::RequestAnswered, Event::RequestRefused, Event::OutcomeLost, Event::RequestCancelled }) });
    const bool wasSent = std::any_of(caller.begin(), caller.end(), [](const LogLine& it) { return is(it, Event::RequestSent); });
    if (!wasSent && number(caller.back(), "tries") > 0)
        out.gaps.push_back({ caller.back().host, "where it was sent: " + gapReason(logs, caller.back().host, caller.back().timeMs, { Event::RequestSent }) });
    return out;
}

void print(std::ostream& out, const RequestHistory& history)
{
    out << "request " << history.id << ": " << history.outcome << '\n';
    const int64_t start = history.lines.empty() ? 0 : history.lines.front().timeMs;
    for (const LogLine& it : history.lines) {
        out << "  " << it.host << " +" << it.timeMs - start << " ms  " << text(it, "name");
        for (const auto& [key, value] : it.fields.items()) {
            static const std::vector<std::string> shownInHeader { "t", "program", "host", "severity", "event", "name", "id" };
            if (std::find(shownInHeader.begin(), shownInHeader.end(), key) == shownInHeader.end())
                out << "  " << key << '=' << (value.is_string() ? value.get<std::string>() : value.dump());
        }
        out << '\n';
    }
    out << (history.gaps.empty() ? "nothing is missing\n" : "missing:\n");
    for (const Gap& it : history.gaps)
        out << "  " << it.host << ": " << it.text << '\n';
}

Json toJson(const RequestHistory& history)
{
    Json out = { { "id", history.id }, { "outcome", history.outcome }, { "lines", Json::array() }, { "gaps", Json::array() } };
    for (const LogLine& it : history.lines)
        out["lines"].push_back(it.fields);
    for (const Gap& it : history.gaps)
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
        return base::fail(base::Code::BadCommandLine, "no line has the id " + logs.id + "; " + std::to_string(logs.hosts.size()) + " hosts' logs were read, " + std::to_string(logs.unreadable) + " lines were not log lines");
    const RequestHistory history = buildHistory(logs);
    if (json)
        std::cout << toJson(history).dump(2) << '\n';
    else
        print(std::cout, history);
    return base::success();
}

} // namespace appletally::ctl
