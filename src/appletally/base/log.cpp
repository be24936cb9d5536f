// Connection to Boost.Log: a non-blocking sink, the line format, and a buffer of the latest events for the state dump.
#include "appletally/base/log.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <deque>
#include <fcntl.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace appletally::base {

namespace {

    using Line = nlohmann::ordered_json;

    constexpr size_t maxRecentEvents = 64; // enough for a person to read, and keeps the dump small
    constexpr size_t maxLineBytes = 4000; // below PIPE_BUF, so that a pipe takes a line completely or not at all

    constexpr const char* severityNames[] = { "info", "warning", "error" };

    // Writes to standard output and drops lines that it does not accept immediately.
    class OutputBackend : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding> {
    public:
        void consume(const boost::log::record_view&, const string_type& line)
        {
            if (m_dropped > 0 && put(R"({"name":"log-lines-dropped","lines":)" + std::to_string(m_dropped) + "}\n"))
                m_dropped = 0;
            if (!put(line + "\n"))
                ++m_dropped;
        }

    private:
        static bool put(const std::string& bytes)
        {
            const ssize_t n = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
            return n == static_cast<ssize_t>(bytes.size());
        }

        uint64_t m_dropped = 0;
    };

    struct State {
        std::mutex mutex; // guards all below
        std::string program = "appletally";
        std::string host;
        Severity minSeverity = Severity::Info;
        std::deque<std::string> recent;
        LogBudget budget;
        boost::log::sources::logger logger;
        bool started = false; // before startLog(), events are recorded but not printed, as in tests
    };

    State& state()
    {
        static State it;
        return it;
    }

    Line head(const EventInfo& entry)
    {
        return { { "t", wallNow().ms }, { "program", state().program }, { "host", state().host }, { "severity", severityNames[entry.severity] },
            { "event", static_cast<int>(entry.event) }, { "name", entry.name } };
    }

    std::string textOf(const Line& line)
    {
        std::string out = line.dump(-1, ' ', false, Line::error_handler_t::replace);
        return out.size() <= maxLineBytes ? out : out.substr(0, maxLineBytes);
    }

    void write(const EventInfo& entry, const std::string& line)
    {
        if (state().started && entry.severity >= static_cast<int>(state().minSeverity))
            BOOST_LOG(state().logger) << line;
    }

    void reportDropped()
    {
        const auto dropped = takeDropped(state().budget, steadyNow());
        if (dropped.empty())
            return;
        Line line = head(info(Event::LogLinesDropped));
        for (const auto& [event, n] : dropped)
            line[std::string(info(event).name)] = n;
        write(info(Event::LogLinesDropped), textOf(line));
    }

} // namespace

void startLog(const std::string& program, const std::string& host, Severity minSeverity)
{
    if (const int flags = ::fcntl(STDOUT_FILENO, F_GETFL); flags >= 0 && !::isatty(STDOUT_FILENO))
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    boost::log::core::get()->add_sink(boost::make_shared<boost::log::sinks::synchronous_sink<OutputBackend>>(boost::make_shared<OutputBackend>()));
    std::lock_guard lock(state().mutex);
    state().program = program;
    state().host = host;
    state().minSeverity = minSeverity;
    state().started = true;
}

void logEvent(Event event, const std::string& text)
{
    const EventInfo& entry = info(event);
    std::lock_guard lock(state().mutex);
    Line line = head(entry);
    line["text"] = text;
    const std::string out = textOf(line);
    state().recent.push_back(out);
    if (state().recent.size() > maxRecentEvents)
        state().recent.pop_front();
    write(entry, out);
}

void logRequest(Event event, std::string_view requestId, std::initializer_list<LogField> fields)
{
    const EventInfo& entry = info(event);
    std::lock_guard lock(state().mutex);
    if (!state().started || entry.severity < static_cast<int>(state().minSeverity))
        return;
    reportDropped();
    if (!mayWrite(state().budget, event, steadyNow()))
        return;
    Line line = head(entry);
    line["id"] = requestId;
    for (const LogField& it : fields)
        std::visit([&](const auto& value) { line[std::string(it.name)] = value; }, it.value);
    write(entry, textOf(line));
}

std::vector<std::string> recentEvents()
{
    std::lock_guard lock(state().mutex);
    return { state().recent.begin(), state().recent.end() };
}

// --- Line budget ---

constexpr Duration second { 1000 };

bool mayWrite(LogBudget& it, Event event, Time now)
{
    if (now - it.second >= second) {
        it.second = now;
        it.failures = 0;
        it.others = 0;
    }
    const bool failure = info(event).severity > 0;
    int& written = failure ? it.failures : it.others;
    if (written >= (failure ? it.failuresPerSecond : it.othersPerSecond)) {
        ++it.dropped[event];
        return false;
    }
    ++written;
    return true;
}

std::map<Event, uint64_t> takeDropped(LogBudget& it, Time now)
{
    if (it.dropped.empty() || now - it.second < second)
        return {};
    return std::exchange(it.dropped, {});
}

} // namespace appletally::base
