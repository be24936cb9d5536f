// Measures the latency that the path through two nodes adds to a call. One run calls the same stand-in upstream
// alternately directly and through two nodes, at a given rate, so that other load on the machine affects both paths alike.
//
// The upstream runs in a thread of this program with its own event loop. Prints a JSON array with one object per rate;
// times are in microseconds.
#include "appletally/base/histogram.h"
#include "appletally/base/json_reader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <future>
#include <iostream>
#include <netinet/in.h>
#include <tclap/CmdLine.h>
#include <thread>
#include <vector>

using namespace appletally;

namespace {

struct Upstream {
    event_base* loop = event_base_new();
    evhttp* http = evhttp_new(loop);
    std::thread thread;

    uint16_t start()
    {
        evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
        sockaddr_in at {};
        socklen_t n = sizeof at;
        getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&at), &n);
        evhttp_set_gencb(
            http, [](evhttp_request* request, void*) {
                evbuffer_add(evhttp_request_get_output_buffer(request), "answer", 6);
                evhttp_send_reply(request, 200, "OK", nullptr);
            },
            nullptr);
        thread = std::thread([this] { event_base_dispatch(loop); });
        thread.detach(); // runs until the program exits
        return ntohs(at.sin_port);
    }
};

// Connections to one target. A call takes an idle connection or opens a new one.
struct Path {
    event_base* loop;
    base::Address address;
    std::vector<evhttp_connection*> idleConnections;
    std::vector<int64_t> latencyMicros;
    uint64_t failedCalls = 0;
};

struct Bench {
    event_base* loop = event_base_new();
    Path direct { loop, {}, {}, {}, 0 };
    Path via { loop, {}, {}, {}, 0 };
    int64_t startedCalls = 0;
    int64_t totalCalls = 0;
    int64_t openCalls = 0;
    double intervalMicros = 0;
    int64_t startTimeMicros = 0;
};

struct PendingCall {
    Bench* bench;
    Path* path;
    evhttp_connection* connection;
    int64_t sentAtMicros;
};

void onResponse(evhttp_request* request, void* arg)
{
    std::unique_ptr<PendingCall> call(static_cast<PendingCall*>(arg));
    const bool good = request && evhttp_request_get_response_code(request) == 200;
    if (good)
        call->path->latencyMicros.push_back(base::steadyMicros() - call->sentAtMicros);
    else
        ++call->path->failedCalls;
    call->path->idleConnections.push_back(call->connection);
    if (--call->bench->openCalls == 0 && call->bench->startedCalls >= call->bench->totalCalls)
        event_base_loopbreak(call->bench->loop);
}

void sendCall(Bench& bench, Path& path)
{
    if (path.idleConnections.empty())
        path.idleConnections.push_back(evhttp_connection_base_new(path.loop, nullptr, path.address.ip.c_str(), path.address.port));
    auto* call = new PendingCall { &bench, &path, path.idleConnections.back(), base::steadyMicros() };
    path.idleConnections.pop_back();
    evhttp_request* request = evhttp_request_new(onResponse, call);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "bench");
    ++bench.openCalls;
    evhttp_make_request(call->connection, request, EVHTTP_REQ_GET, "/berths/7");
}

// Sends all calls that are due, alternating between the paths. A late tick catches up, so that a stall shows as latency
// and not as a lower rate.
void onTick(evutil_socket_t, short, void* arg)
{
    auto& bench = *static_cast<Bench*>(arg);
    const auto due = static_cast<int64_t>(static_cast<double>(base::steadyMicros() - bench.startTimeMicros) / bench.intervalMicros) + 1;
    while (bench.startedCalls < std::min(due, bench.totalCalls)) {
        sendCall(bench, bench.startedCalls % 2 == 0 ? bench.direct : bench.via);
        ++bench.startedCalls;
    }
}

base::Json summarize(Path& path)
{
    std::sort(path.latencyMicros.begin(), path.latencyMicros.end());
    const auto at = [&](double q) { return path.latencyMicros.empty() ? 0 : path.latencyMicros[static_cast<size_t>(q * static_cast<double>(path.latencyMicros.size() - 1))]; };
    return { { "answers", path.latencyMicros.size() }, { "failed", path.failedCalls }, { "p50", at(0.5) }, { "p99", at(0.99) }, { "max", at(1) } };
}

void runAtRate(Bench& bench, double rate, double seconds)
{
    bench.direct.latencyMicros.clear();
    bench.via.latencyMicros.clear();
    bench.direct.failedCalls = bench.via.failedCalls = 0;
    bench.intervalMicros = 1e6 / (2 * rate); // each path gets `rate` calls per second
    bench.totalCalls = static_cast<int64_t>(2 * rate * seconds);
    bench.startedCalls = 0;
    bench.startTimeMicros = base::steadyMicros();
    event* tick = event_new(bench.loop, -1, EV_PERSIST, onTick, &bench);
    const timeval every { 0, std::clamp<suseconds_t>(static_cast<suseconds_t>(bench.intervalMicros / 2), 100, 10000) };
    event_add(tick, &every);
    event_base_dispatch(bench.loop);
    event_free(tick);
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures the latency of a call through two nodes against a direct call.", ' ', APPLETALLY_VERSION);
    TCLAP::ValueArg<std::string> announce("", "announce", "announce address of the owner's node", true, "", "ADDRESS", line);
    TCLAP::ValueArg<std::string> via("", "via", "callers address of the other node", true, "", "ADDRESS", line);
    TCLAP::MultiArg<double> rates("", "rate", "calls per second on each path", true, "RATE", line);
    TCLAP::ValueArg<double> seconds("", "seconds", "duration of the run at each rate", false, 5, "SECONDS", line);
    line.parse(argc, argv);

    Upstream upstream;
    Bench bench;
    bench.direct.address = { "127.0.0.1", upstream.start() };
    bench.via.address = base::parseAddress(via.getValue()).value();
    const base::Address announceAt = base::parseAddress(announce.getValue()).value();

    // Announce the upstream every second while the measurement runs.
    const std::string body = base::Json { { "service", "berth-data" }, { "version", "1.0" }, { "address", bench.direct.address.text() }, { "slots", 100 }, { "state", "ready" } }.dump();
    struct Announcer {
        evhttp_connection* connection;
        std::string body;
    } announcer { evhttp_connection_base_new(bench.loop, nullptr, announceAt.ip.c_str(), announceAt.port), body };
    event* announceTimer = event_new(
        bench.loop, -1, EV_PERSIST, [](evutil_socket_t, short, void* arg) {
            auto* it = static_cast<Announcer*>(arg);
            evhttp_request* request = evhttp_request_new([](evhttp_request*, void*) {}, nullptr);
            evbuffer_add(evhttp_request_get_output_buffer(request), it->body.data(), it->body.size());
            evhttp_make_request(it->connection, request, EVHTTP_REQ_POST, "/announce");
        },
        &announcer);
    const timeval second { 1, 0 };
    event_add(announceTimer, &second);
    event_active(announceTimer, 0, 0);

    const timeval settle { 2, 0 };
    event_base_loopexit(bench.loop, &settle);
    event_base_dispatch(bench.loop);

    base::Json out = base::Json::array();
    for (const double rate : rates.getValue()) {
        runAtRate(bench, rate, seconds.getValue());
        const base::Json direct = summarize(bench.direct);
        const base::Json through = summarize(bench.via);
        out.push_back({ { "rate", rate }, { "direct", direct }, { "via", through }, { "addedP50", through["p50"].get<int64_t>() - direct["p50"].get<int64_t>() },
            { "addedP99", through["p99"].get<int64_t>() - direct["p99"].get<int64_t>() } });
    }
    std::cout << out.dump() << "\n";
    return 0;
}
