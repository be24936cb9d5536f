// Stand-in upstream for tests and the demo: announces itself to its node, runs each request for a configured time, and
// records each run with its idempotency key, so that the test can count duplicate runs.
//
// Behaves as the platform's upstreams do: cold start, a limit on concurrent requests beyond which it sheds load before it
// runs anything, failures at a configured rate, and graceful shutdown on SIGTERM. It may end under configured requests, and
// be started again after a crash.
#include "appletally/base/json_reader.h"
#include "standin_body.h"

#include <csignal>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <iostream>
#include <memory>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

using namespace appletally;

namespace {

constexpr timeval announceInterval { 1, 0 };
constexpr int64_t coldStartFactor = 5; // run time during the cold start, as a multiple of the usual one
constexpr base::Duration minDraining { 2500 }; // callers' nodes receive the draining state within two seconds
constexpr base::Duration maxDraining { 30'000 };
constexpr int crashExitCode = 70;

// Values by path prefix, such as "/plugs=40". The longest matching prefix applies.
struct PathValues {
    std::vector<std::pair<std::string, int64_t>> entries;

    int64_t valueFor(const std::string& path, int64_t fallback) const
    {
        int64_t out = fallback;
        size_t longest = 0;
        for (const auto& [prefix, value] : entries) {
            if (path.starts_with(prefix) && prefix.size() >= longest) {
                longest = prefix.size();
                out = value;
            }
        }
        return out;
    }
};

// A request whose path or body contains the text ends the process after the time.
struct FatalText {
    std::string text;
    base::Duration after;
};

FatalText parseFatalText(const std::string& text)
{
    const size_t equals = text.rfind('=');
    if (equals == std::string::npos)
        throw TCLAP::ArgException("expected TEXT=MS", text);
    return { text.substr(0, equals), { std::stoll(text.substr(equals + 1)) } };
}

// A call that each run of a request below `prefix` makes first. The run fails if it is not answered with 200.
struct InnerCall {
    std::string prefix;
    base::Address node;
    std::string path;
};

InnerCall parseInnerCall(const std::string& text)
{
    const size_t equals = text.find('=');
    const size_t slash = equals == std::string::npos ? equals : text.find('/', equals);
    if (slash == std::string::npos)
        throw TCLAP::ArgException("expected PATH=IP:PORT/PATH", text);
    const auto node = base::parseAddress(text.substr(equals + 1, slash - equals - 1));
    if (!node)
        throw TCLAP::ArgException(node.error().text, text);
    return { text.substr(0, equals), node.value(), text.substr(slash) };
}

PathValues parsePathValues(const std::vector<std::string>& texts)
{
    PathValues out;
    for (const std::string& text : texts) {
        const size_t equals = text.rfind('=');
        if (equals == std::string::npos)
            throw TCLAP::ArgException("expected PATH=NUMBER", text);
        out.entries.emplace_back(text.substr(0, equals), std::stoll(text.substr(equals + 1)));
    }
    return out;
}

struct Upstream {
    event_base* loop = event_base_new();
    evhttp* http = evhttp_new(loop);
    base::Address listen;
    base::Address announce;
    std::string service;
    std::string version;
    int slots = 10;
    PathValues runMs;
    PathValues failPerMille;
    std::optional<FatalText> fatal;
    std::optional<InnerCall> innerCall;
    std::optional<base::Duration> restartDelay; // empty: not started again after a crash
    base::Duration coldStart;
    base::Duration startingDuration;
    int runLog = -1;
    event* ticker = nullptr;
    base::Time startTime;
    std::optional<base::Time> drainingSince;
    int running = 0;
    std::mt19937_64 random;
};

const char* stateName(const Upstream& it)
{
    if (it.drainingSince)
        return "draining";
    return base::steadyNow() - it.startTime < it.startingDuration ? "starting" : "ready";
}

void sendAnnouncement(Upstream& it)
{
    evhttp_connection* connection = evhttp_connection_base_new(it.loop, nullptr, it.announce.ip.c_str(), it.announce.port);
    evhttp_connection_set_timeout(connection, 2);
    evhttp_connection_free_on_completion(connection);
    evhttp_request* request = evhttp_request_new([](evhttp_request*, void*) {}, nullptr);
    const base::Json body = { { "service", it.service }, { "version", it.version }, { "address", it.listen.text() }, { "slots", it.slots }, { "state", stateName(it) } };
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "node");
    evbuffer_add_printf(evhttp_request_get_output_buffer(request), "%s", body.dump().c_str());
    evhttp_make_request(connection, request, EVHTTP_REQ_POST, "/announce");
}

// A run in progress. Freed when its response is sent, or at the end of the run if its connection has closed.
struct Run {
    Upstream* upstream = nullptr;
    evhttp_request* request = nullptr;
    bool connectionClosed = false; // the request must then be freed here
    event* timer = nullptr;
    std::string tag;
    uint64_t fillerBytes = 0;
    uint64_t sentBytes = 0;
    bool fails = false;
    bool responding = false;
};

std::string header(evhttp_request* request, const char* name)
{
    const char* it = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return it ? it : "";
}

void recordLine(const Upstream& it, const std::string& text)
{
    const std::string line = text + "\n";
    if (it.runLog >= 0 && write(it.runLog, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
        std::cerr << "cannot write to the run log\n";
}

void recordRun(const Upstream& it, evhttp_request* request, const std::string& path)
{
    const std::string key = header(request, "Idempotency-Key");
    recordLine(it, "run " + (key.empty() ? "-" : key) + " " + path + " " + it.version);
}

void finishRun(Run* run)
{
    --run->upstream->running;
    event_free(run->timer);
    if (run->connectionClosed)
        evhttp_request_free(run->request);
    else
        evhttp_connection_set_closecb(evhttp_request_get_connection(run->request), nullptr, nullptr);
    delete run;
}

void sendChunk(evhttp_connection*, void* arg)
{
    auto* run = static_cast<Run*>(arg);
    if (run->sentBytes == run->fillerBytes) {
        evhttp_request* request = run->request;
        finishRun(run);
        return evhttp_send_reply_end(request);
    }
    const std::string chunk = standin::filler(run->tag, run->sentBytes, run->fillerBytes);
    run->sentBytes += chunk.size();
    evbuffer* buf = evbuffer_new();
    evbuffer_add(buf, chunk.data(), chunk.size());
    evhttp_send_reply_chunk_with_cb(run->request, buf, sendChunk, run);
    evbuffer_free(buf);
}

void sendResponse(Run* run)
{
    evhttp_request* request = run->request;
    run->responding = true;
    if (run->fails) {
        finishRun(run);
        return evhttp_send_reply(request, 500, "Failed as told", nullptr);
    }
    const std::string line = standin::firstLine(run->tag, run->upstream->version);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Length", std::to_string(line.size() + run->fillerBytes).c_str());
    evhttp_add_header(headers, standin::hashHeader, standin::bodyHash(run->tag, line, run->fillerBytes).c_str());
    evhttp_send_reply_start(request, 200, "OK");
    evbuffer* buf = evbuffer_new();
    evbuffer_add(buf, line.data(), line.size());
    evhttp_send_reply_chunk_with_cb(request, buf, sendChunk, run);
    evbuffer_free(buf);
}

void onRunDone(evutil_socket_t, short, void* arg)
{
    auto* run = static_cast<Run*>(arg);
    if (run->connectionClosed)
        finishRun(run);
    else
        sendResponse(run);
}

// The run continues to its end, as real work would. Only its response is dropped.
void onClosed(evhttp_connection*, void* arg)
{
    auto* run = static_cast<Run*>(arg);
    run->connectionClosed = true;
    if (run->responding) {
        const timeval now {};
        evtimer_add(run->timer, &now);
    }
}

bool isFatal(const Upstream& it, const std::string& path, evhttp_request* request)
{
    if (!it.fatal)
        return false;
    evbuffer* body = evhttp_request_get_input_buffer(request);
    return path.find(it.fatal->text) != std::string::npos || evbuffer_search(body, it.fatal->text.data(), it.fatal->text.size(), nullptr).pos >= 0;
}

void crashLater(Upstream& it)
{
    const timeval delay = { it.fatal->after.ms / 1000, it.fatal->after.ms % 1000 * 1000 };
    event_base_once(
        it.loop, -1, EV_TIMEOUT, [](evutil_socket_t, short, void*) { _exit(crashExitCode); }, nullptr, &delay);
}

uint64_t requestedBytes(const evhttp_uri* uri)
{
    const char* query = evhttp_uri_get_query(uri);
    evkeyvalq fields {};
    if (!query || evhttp_parse_query_str(query, &fields) != 0)
        return 0;
    const char* text = evhttp_find_header(&fields, "bytes");
    const uint64_t out = text ? std::strtoull(text, nullptr, 10) : 0;
    evhttp_clear_headers(&fields);
    return out;
}

void startTimer(Run* run, const std::string& path)
{
    const Upstream& it = *run->upstream;
    const bool cold = base::steadyNow() - it.startTime < it.coldStart;
    const int64_t ms = it.runMs.valueFor(path, 5) * (cold ? coldStartFactor : 1);
    const timeval delay { ms / 1000, ms % 1000 * 1000 };
    evtimer_add(run->timer, &delay);
}

void startInnerCall(Run* run)
{
    const InnerCall& call = *run->upstream->innerCall;
    evhttp_connection* connection = evhttp_connection_base_new(run->upstream->loop, nullptr, call.node.ip.c_str(), call.node.port);
    evhttp_connection_free_on_completion(connection);
    evhttp_request* request = evhttp_request_new([](evhttp_request* answer, void* arg) {
        auto* caller = static_cast<Run*>(arg);
        caller->fails = !answer || evhttp_request_get_response_code(answer) != HTTP_OK;
        startTimer(caller, caller->upstream->innerCall->path); },
        run);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "node");
    evhttp_add_header(evhttp_request_get_output_headers(request), "Appletally-Depth", "1");
    evhttp_make_request(connection, request, EVHTTP_REQ_GET, call.path.c_str());
}

void onRequest(evhttp_request* request, void* arg)
{
    auto& it = *static_cast<Upstream*>(arg);
    if (it.running >= it.slots) {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Appletally-Not-Run", "1");
        return evhttp_send_reply(request, 503, "No slot", nullptr);
    }
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    const std::string path = evhttp_uri_get_path(uri) ? evhttp_uri_get_path(uri) : "/";
    auto* run = new Run;
    run->upstream = &it;
    run->request = request;
    run->tag = header(request, standin::tagHeader);
    run->fillerBytes = requestedBytes(uri);
    run->fails = static_cast<int64_t>(it.random() % 1000) < it.failPerMille.valueFor(path, 0);
    run->timer = evtimer_new(it.loop, onRunDone, run);
    ++it.running;
    recordRun(it, request, path);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), onClosed, run);
    if (isFatal(it, path, request))
        crashLater(it); // it never answers
    else if (it.innerCall && path.starts_with(it.innerCall->prefix))
        startInnerCall(run);
    else
        startTimer(run, path);
}

void onTick(evutil_socket_t, short, void* arg)
{
    auto& it = *static_cast<Upstream*>(arg);
    sendAnnouncement(it);
    if (!it.drainingSince)
        return;
    const base::Duration since = base::steadyNow() - *it.drainingSince;
    if ((since >= minDraining && it.running == 0) || since >= maxDraining)
        event_base_loopbreak(it.loop);
}

void onTerminate(evutil_socket_t, short, void* arg)
{
    auto& it = *static_cast<Upstream*>(arg);
    if (!it.drainingSince)
        it.drainingSince = base::steadyNow();
    sendAnnouncement(it);
}

base::Address parseAddressArgument(const std::string& text)
{
    const auto out = base::parseAddress(text);
    if (!out)
        throw TCLAP::ArgException(out.error().text, text);
    return out.value();
}

void readArguments(int argc, char** argv, Upstream& it)
{
    TCLAP::CmdLine line("Stand-in for an upstream beside a node.", ' ', APPLETALLY_VERSION);
    TCLAP::ValueArg<std::string> listen("", "listen", "own HTTP address", true, "", "IP:PORT", line);
    TCLAP::ValueArg<std::string> announce("", "announce", "the node's announce address", true, "", "IP:PORT", line);
    TCLAP::ValueArg<std::string> service("", "service", "service", true, "", "NAME", line);
    TCLAP::ValueArg<std::string> version("", "software", "software version", false, "1.0", "NAME", line);
    TCLAP::ValueArg<int> slots("", "slots", "concurrent requests, at most", false, 10, "N", line);
    TCLAP::MultiArg<std::string> run("", "run", "run time in milliseconds, default 5", false, "PATH=MS", line);
    TCLAP::MultiArg<std::string> fail("", "fail", "failures per thousand", false, "PATH=N", line);
    TCLAP::ValueArg<std::string> fatal("", "fatal", "end the process a time after a request whose path or body contains the text", false, "", "TEXT=MS", line);
    TCLAP::ValueArg<std::string> call("", "call", "make a call through a node in each run below the path", false, "", "PATH=IP:PORT/PATH", line);
    TCLAP::ValueArg<int64_t> restart("", "restart-ms", "start again a time after the process ended by itself or was killed", false, -1, "MS", line);
    TCLAP::ValueArg<int64_t> cold("", "cold-ms", "cold start, in which runs take five times as long", false, 0, "MS", line);
    TCLAP::ValueArg<int64_t> starting("", "starting-ms", "time in which it announces itself as starting", false, 0, "MS", line);
    TCLAP::ValueArg<std::string> log("", "log", "file that records each run", false, "", "FILE", line);
    TCLAP::ValueArg<uint64_t> seed("", "seed", "seed of the failures", false, 1, "N", line);
    line.parse(argc, argv);
    it.listen = parseAddressArgument(listen.getValue());
    it.announce = parseAddressArgument(announce.getValue());
    it.service = service.getValue();
    it.version = version.getValue();
    it.slots = slots.getValue();
    it.runMs = parsePathValues(run.getValue());
    it.failPerMille = parsePathValues(fail.getValue());
    if (!fatal.getValue().empty())
        it.fatal = parseFatalText(fatal.getValue());
    if (!call.getValue().empty())
        it.innerCall = parseInnerCall(call.getValue());
    if (restart.getValue() >= 0)
        it.restartDelay = base::Duration { restart.getValue() };
    it.coldStart = { cold.getValue() };
    it.startingDuration = { starting.getValue() };
    it.random.seed(seed.getValue());
    if (!log.getValue().empty())
        it.runLog = open(log.getValue().c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

// For the signal handler of the supervisor.
pid_t workerPid = 0;
volatile sig_atomic_t stopRequested = 0;

void forwardSignal(int number)
{
    stopRequested = 1;
    kill(workerPid, number);
}

// Returns in the worker process. The calling process starts it again after each crash, and exits with it otherwise.
void superviseWorker(const Upstream& it)
{
    const pid_t supervisor = getpid();
    for (;;) {
        workerPid = fork();
        if (workerPid == 0) {
            signal(SIGTERM, SIG_DFL);
            prctl(PR_SET_PDEATHSIG, SIGKILL); // the worker must not outlive its supervisor
            if (getppid() != supervisor)
                _exit(crashExitCode);
            std::cout << "worker " << getpid() << std::endl;
            return;
        }
        signal(SIGTERM, forwardSignal);
        int status = 0;
        waitpid(workerPid, &status, 0);
        if (stopRequested || (WIFEXITED(status) && WEXITSTATUS(status) != crashExitCode))
            _exit(WEXITSTATUS(status));
        recordLine(it, "ended");
        usleep(static_cast<useconds_t>(it.restartDelay->ms * 1000));
    }
}

} // namespace

int main(int argc, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    Upstream it;
    readArguments(argc, argv, it);
    if (it.restartDelay) {
        superviseWorker(it);
        event_reinit(it.loop);
    }
    evhttp_set_allowed_methods(it.http, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_PATCH | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(it.http, onRequest, &it);
    if (evhttp_bind_socket(it.http, it.listen.ip.c_str(), it.listen.port) != 0) {
        std::cerr << "cannot listen on " << it.listen.text() << "\n";
        return base::exitCode(base::Code::AddressInUse);
    }
    it.startTime = base::steadyNow();
    event* stop = evsignal_new(it.loop, SIGTERM, onTerminate, &it);
    event_add(stop, nullptr);
    it.ticker = event_new(it.loop, -1, EV_PERSIST, onTick, &it);
    event_add(it.ticker, &announceInterval);
    sendAnnouncement(it);
    event_base_dispatch(it.loop);
    return 0;
}
