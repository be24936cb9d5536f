// Stand-in caller for tests and the demo: sends a mix of requests at a given rate to several nodes, checks each response
// against its own request, resends where that is safe, and prints a JSON table of the outcomes.
//
// The outcome of a request is that of its last response:
//   whole     its own response, complete
//   failed    the upstream ran it and returned an error
//   refused   proven not to have run
//   unknown   it may have run
//   cut       the response was truncated or the connection broke
//   wrong     another request's response, or bytes that differ from those sent
#include "appletally/base/histogram.h"
#include "appletally/base/json_reader.h"
#include "standin_body.h"

#include <arpa/inet.h>
#include <csignal>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <tclap/CmdLine.h>

using namespace appletally;

namespace {

constexpr timeval tickInterval { 0, 2000 };
constexpr base::Duration minResendDelay { 100 }; // before a resend, unless Retry-After is longer
constexpr int timeoutMarginSeconds = 5; // added to the request's timeout to give the connection timeout

// One entry of the mix, such as "POST,/plugs/connect/{n},crew,3,2000". Weight and timeout are optional.
struct RequestKind {
    std::string method;
    std::string path; // "{n}" is replaced by a random number from 0 to 99
    std::string caller;
    int weight = 1;
    int timeoutMs = 5000;

    uint64_t sent = 0;
    uint64_t resends = 0;
    std::map<std::string, uint64_t> outcomes;
    std::map<std::string, uint64_t> results; // responses that were not whole, by the name of their result code
    base::LatencyHistogram latency; // of whole responses, from the first send
};

struct Caller {
    event_base* loop = event_base_new();
    std::vector<base::Address> nodes;
    std::map<std::string, std::vector<evhttp_connection*>> idleConnections; // by node
    std::vector<RequestKind> kinds;
    std::mt19937_64 random;
    std::string name;
    std::ofstream keyLog; // one line per keyed request: key and outcome
    double requestsPerSecond = 10;
    int64_t totalRequests = 0;
    int64_t startedRequests = 0;
    int64_t openRequests = 0;
    int64_t maxOpenRequests = 200;
    int maxSends = 5;
    int64_t startTimeMicros = 0;
    bool stopped = false;
};

struct Call {
    Caller* caller = nullptr;
    RequestKind* kind = nullptr;
    std::string path;
    std::string tag;
    std::string key; // empty for idempotent requests
    int sends = 0;
    int64_t firstSentMicros = 0;
    base::Address node;
    evhttp_connection* connection = nullptr;
    event* resendTimer = nullptr;
    std::unique_ptr<standin::Hash> hash;
    std::string bodyStart; // the first bytes of the body, at least 256 if it has so many
    uint64_t bodyBytes = 0;
};

std::string header(evhttp_request* request, const char* name)
{
    const char* it = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return it ? it : "";
}

void send(Call* call);

void finishCall(Call* call, const std::string& outcome)
{
    Caller& caller = *call->caller;
    ++call->kind->outcomes[outcome];
    if (outcome == "whole")
        call->kind->latency.add(base::steadyMicros() - call->firstSentMicros);
    if (!call->key.empty() && caller.keyLog.is_open())
        caller.keyLog << call->key << " " << outcome << "\n";
    if (call->resendTimer)
        event_free(call->resendTimer);
    delete call;
    if (--caller.openRequests == 0 && (caller.stopped || caller.startedRequests >= caller.totalRequests))
        event_base_loopbreak(caller.loop);
}

void onBody(evhttp_request* request, void* arg)
{
    auto* call = static_cast<Call*>(arg);
    evbuffer* buf = evhttp_request_get_input_buffer(request);
    std::string chunk(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, chunk.data(), chunk.size());
    call->hash->add(chunk);
    call->bodyBytes += chunk.size();
    if (call->bodyStart.size() < 256)
        call->bodyStart += chunk.substr(0, 256);
}

std::string classifySuccess(const Call& call, evhttp_request* request)
{
    const std::string length = header(request, "Content-Length");
    if (!length.empty() && std::strtoull(length.c_str(), nullptr, 10) != call.bodyBytes)
        return "cut";
    const bool tagMatches = call.bodyStart.starts_with("tag " + call.tag + " ");
    return tagMatches && header(request, standin::hashHeader) == call.hash->hex() ? "whole" : "wrong";
}

std::string classifyResponse(const Call& call, evhttp_request* request)
{
    const int status = request ? evhttp_request_get_response_code(request) : 0;
    if (status == 0)
        return "cut";
    if (status >= 200 && status < 300)
        return classifySuccess(call, request);
    const int result = std::atoi(header(request, "Appletally-Result").c_str());
    if (result == 0)
        return "failed";
    return base::info(static_cast<base::Code>(result)).notRun ? "refused" : "unknown";
}

void countResult(Call& call, evhttp_request* request, const std::string& outcome)
{
    if (outcome == "whole")
        return;
    const int result = request ? std::atoi(header(request, "Appletally-Result").c_str()) : 0;
    const std::string name = result == 0 ? outcome : std::string(base::info(static_cast<base::Code>(result)).name);
    ++call.kind->results[name];
}

// A resend is safe after "not run". After the other outcomes it is safe because each request is idempotent or carries its key.
bool mayResend(const Call& call, const std::string& outcome)
{
    return outcome != "whole" && outcome != "wrong" && outcome != "failed" && call.sends < call.caller->maxSends && !call.caller->stopped;
}

void scheduleResend(Call* call, int64_t delayMs)
{
    ++call->kind->resends;
    if (!call->resendTimer)
        call->resendTimer = evtimer_new(
            call->caller->loop, [](evutil_socket_t, short, void* arg) { send(static_cast<Call*>(arg)); }, call);
    const timeval delay { delayMs / 1000, delayMs % 1000 * 1000 };
    evtimer_add(call->resendTimer, &delay);
}

void onResponse(evhttp_request* request, void* arg)
{
    auto* call = static_cast<Call*>(arg);
    const std::string outcome = classifyResponse(*call, request);
    countResult(*call, request, outcome);
    if (request && evhttp_request_get_response_code(request) != 0)
        call->caller->idleConnections[call->node.text()].push_back(call->connection);
    // A broken connection is not reused. It is not freed either, because the program runs for a short time only.
    if (!mayResend(*call, outcome))
        return finishCall(call, outcome);
    const int64_t seconds = request ? std::atoi(header(request, "Retry-After").c_str()) : 0;
    scheduleResend(call, std::max(minResendDelay.ms, seconds * 1000));
}

evhttp_connection* connectionTo(Caller& caller, const base::Address& node)
{
    auto& idle = caller.idleConnections[node.text()];
    if (idle.empty())
        return evhttp_connection_base_new(caller.loop, nullptr, node.ip.c_str(), node.port);
    evhttp_connection* out = idle.back();
    idle.pop_back();
    return out;
}

void send(Call* call)
{
    Caller& caller = *call->caller;
    call->node = caller.nodes[caller.random() % caller.nodes.size()];
    call->connection = connectionTo(caller, call->node);
    evhttp_connection_set_timeout(call->connection, call->kind->timeoutMs / 1000 + timeoutMarginSeconds);
    call->hash = std::make_unique<standin::Hash>();
    call->bodyStart.clear();
    call->bodyBytes = 0;
    ++call->sends;
    evhttp_request* request = evhttp_request_new(onResponse, call);
    evhttp_request_set_chunked_cb(request, onBody);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", "mesh");
    evhttp_add_header(headers, standin::tagHeader, call->tag.c_str());
    evhttp_add_header(headers, "Appletally-Caller", call->kind->caller.c_str());
    evhttp_add_header(headers, "Appletally-Timeout-Ms", std::to_string(call->kind->timeoutMs).c_str());
    const bool isPost = call->kind->method == "POST";
    if (isPost)
        evbuffer_add_printf(evhttp_request_get_output_buffer(request), "order %s", call->tag.c_str());
    if (!call->key.empty())
        evhttp_add_header(headers, "Idempotency-Key", call->key.c_str());
    evhttp_make_request(call->connection, request, isPost ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, call->path.c_str());
}

RequestKind& chooseKind(Caller& caller)
{
    int totalWeight = 0;
    for (const RequestKind& it : caller.kinds)
        totalWeight += it.weight;
    int remaining = static_cast<int>(caller.random() % static_cast<uint64_t>(totalWeight));
    for (RequestKind& it : caller.kinds) {
        remaining -= it.weight;
        if (remaining < 0)
            return it;
    }
    return caller.kinds.back();
}

void startCall(Caller& caller)
{
    RequestKind& kind = chooseKind(caller);
    auto* call = new Call;
    call->caller = &caller;
    call->kind = &kind;
    call->path = kind.path;
    if (const size_t at = call->path.find("{n}"); at != std::string::npos)
        call->path.replace(at, 3, std::to_string(caller.random() % 100));
    call->tag = caller.name + "-" + std::to_string(caller.startedRequests);
    if (kind.method == "POST")
        call->key = call->tag;
    call->firstSentMicros = base::steadyMicros();
    ++kind.sent;
    ++caller.startedRequests;
    ++caller.openRequests;
    send(call);
}

void onTick(evutil_socket_t, short, void* arg)
{
    auto& caller = *static_cast<Caller*>(arg);
    const double elapsed = static_cast<double>(base::steadyMicros() - caller.startTimeMicros) / 1e6;
    const auto due = std::min(static_cast<int64_t>(elapsed * caller.requestsPerSecond) + 1, caller.totalRequests);
    while (!caller.stopped && caller.startedRequests < due && caller.openRequests < caller.maxOpenRequests)
        startCall(caller);
}

// Stops starting requests; those in flight are completed first.
void onTerminate(evutil_socket_t, short, void* arg)
{
    auto& caller = *static_cast<Caller*>(arg);
    caller.stopped = true;
    if (caller.openRequests == 0)
        event_base_loopbreak(caller.loop);
}

RequestKind parseRequestKind(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
        parts.push_back(part);
    if (parts.size() < 3 || (parts[0] != "GET" && parts[0] != "POST"))
        throw TCLAP::ArgException("expected GET or POST, path and caller, such as GET,/berths/{n},ship-agent", text);
    RequestKind out;
    out.method = parts[0];
    out.path = parts[1];
    out.caller = parts[2];
    out.weight = parts.size() > 3 ? std::max(1, std::atoi(parts[3].c_str())) : out.weight;
    out.timeoutMs = parts.size() > 4 ? std::max(1, std::atoi(parts[4].c_str())) : out.timeoutMs;
    return out;
}

void readArguments(int argc, char** argv, Caller& it)
{
    TCLAP::CmdLine line("Stand-in for callers of the mesh.", ' ', APPLETALLY_VERSION);
    TCLAP::MultiArg<std::string> to("", "to", "callers address of a node; one is chosen at random for each send", true, "IP:PORT", line);
    TCLAP::MultiArg<std::string> mix("", "mix", "a kind of request to send", true, "METHOD,PATH,CALLER[,WEIGHT[,TIMEOUT_MS]]", line);
    TCLAP::ValueArg<double> rate("", "rate", "requests per second", false, 10, "N", line);
    TCLAP::ValueArg<int64_t> count("", "count", "total requests; SIGTERM stops earlier", false, 100, "N", line);
    TCLAP::ValueArg<int64_t> open("", "open", "concurrent requests, at most", false, 200, "N", line);
    TCLAP::ValueArg<int> sends("", "sends", "attempts of one request, at most", false, 5, "N", line);
    TCLAP::ValueArg<std::string> name("", "name", "prefix of all tags and keys", false, "caller", "NAME", line);
    TCLAP::ValueArg<std::string> keys("", "keys", "file that records the outcome of each keyed request", false, "", "FILE", line);
    TCLAP::ValueArg<uint64_t> seed("", "seed", "seed of the mix", false, 1, "N", line);
    line.parse(argc, argv);
    for (const std::string& text : to.getValue()) {
        const auto address = base::parseAddress(text);
        if (!address)
            throw TCLAP::ArgException(address.error().text, text);
        it.nodes.push_back(address.value());
    }
    for (const std::string& text : mix.getValue())
        it.kinds.push_back(parseRequestKind(text));
    it.requestsPerSecond = rate.getValue();
    it.totalRequests = count.getValue();
    it.maxOpenRequests = open.getValue();
    it.maxSends = sends.getValue();
    it.name = name.getValue();
    it.random.seed(seed.getValue());
    if (!keys.getValue().empty())
        it.keyLog.open(keys.getValue());
}

nlohmann::json makeTable(const Caller& caller)
{
    nlohmann::json out = nlohmann::json::array();
    for (const RequestKind& it : caller.kinds) {
        nlohmann::json row = { { "method", it.method }, { "path", it.path }, { "caller", it.caller }, { "sent", it.sent }, { "resends", it.resends }, { "results", it.results }, { "latency", it.latency.toJson() } };
        for (const char* outcome : { "whole", "failed", "refused", "unknown", "cut", "wrong" }) {
            const auto found = it.outcomes.find(outcome);
            row[outcome] = found == it.outcomes.end() ? 0 : found->second;
        }
        out.push_back(row);
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    Caller it;
    readArguments(argc, argv, it);
    event* stop = evsignal_new(it.loop, SIGTERM, onTerminate, &it);
    event_add(stop, nullptr);
    event* ticker = event_new(it.loop, -1, EV_PERSIST, onTick, &it);
    event_add(ticker, &tickInterval);
    it.startTimeMicros = base::steadyMicros();
    event_base_dispatch(it.loop);
    std::cout << makeTable(it).dump(1) << std::endl;
    return 0;
}
