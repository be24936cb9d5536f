// Measures what one change of an operator's document costs a control process, by number of routes: the time to apply the
// change and the time to encode the state, as a log snapshot does. A restarted process applies all changes since the last
// snapshot before it serves, so the two figures together determine the best snapshot interval. Also times each step of
// processing a first document and a change of ten routes, at the leader, at a follower and at a node.
//
// Usage: apply-costs
#include "appletally/config/state_machine.h"
#include "appletally/inner/content.h"

#include <chrono>
#include <cstdio>

using namespace appletally;
using namespace appletally::config;

static constexpr int changeCount = 200;

static Document makeDocument(int routes, uint64_t number)
{
    Document out;
    out.id = { { number }, { number - 1 }, "digest-" + std::to_string(number) };
    for (const char* name : { "plug-control", "berth-data" }) {
        DocumentService& it = out.services[{ name }];
        it.service.name = { name };
        it.text = R"({"health_path":"/health","max_connections":110})";
    }
    for (int n = 0; n < routes; ++n) {
        DocumentRoute it;
        it.route.name = { "route-" + std::to_string(n) };
        it.route.host = "berths.example";
        it.route.method = "*";
        it.route.pathPrefix = "/part" + std::to_string(n) + "/";
        it.route.service = { n % 2 == 0 ? "plug-control" : "berth-data" };
        it.route.timeout = { n == 0 ? 1000 + static_cast<int64_t>(number) : 2000 };
        it.text = it.route.pathPrefix + std::to_string(it.route.timeout.ms) + std::string(200, 'x'); // about the length of a real route
        out.routes[it.route.name] = it;
    }
    return out;
}

static double microsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
}

static void measure(int routes)
{
    State state;
    std::vector<std::string> commands;
    DocumentTexts before;
    for (uint64_t number = 1; number <= changeCount + 1; ++number) {
        const Document document = makeDocument(routes, number);
        commands.push_back(encode(Command { SubmitDocument { document.id, changeFrom(before, document), { 1 } } }));
        before = {};
        for (const auto& [name, it] : document.routes)
            before.routes[name] = it.text;
        for (const auto& [name, it] : document.services)
            before.services[name] = it.text;
        before.others = document.others;
    }
    const Outcome first = apply(state, { 1 }, commands[0]);
    if (first.code != base::Code::Ok)
        std::printf("rejected: %s\n", first.text.c_str());
    const auto start = std::chrono::steady_clock::now();
    for (uint64_t n = 1; n <= changeCount; ++n)
        apply(state, { n + 1 }, commands[n]);
    const double microsPerChange = microsSince(start) / changeCount;
    const auto encodeStart = std::chrono::steady_clock::now();
    const std::string bytes = encode(state);
    const double encodeMicros = microsSince(encodeStart);
    const auto decodeStart = std::chrono::steady_clock::now();
    const bool decoded = decodeState(bytes).has_value();
    std::printf("%6d routes: %8.0f us per change, %8.0f us to encode the state (%zu bytes), %8.0f us to decode it%s\n", routes, microsPerChange, encodeMicros, bytes.size(), microsSince(decodeStart), decoded ? "" : " (failed)");
}

struct StepTime {
    const char* name;
    double micros;
};

static std::vector<StepTime> measureStepTimes(State& state, const Document& document)
{
    std::vector<StepTime> out;
    auto start = std::chrono::steady_clock::now();
    const auto recordStep = [&](const char* name) {
        out.push_back({ name, microsSince(start) });
        start = std::chrono::steady_clock::now();
    };
    const Command command = SubmitDocument { document.id, changeFrom(state.document.texts, document), { 1 } };
    recordStep("compute the change");
    const std::string bytes = encodeForLog(command);
    recordStep("encode the command");
    const auto decoded = decodeCommand(bytes);
    recordStep("decode the command");
    const Snapshot before = state.snapshot;
    start = std::chrono::steady_clock::now();
    apply(state, { document.id.number.value }, decoded.value());
    recordStep("apply the command");
    const inner::EncodedVersion full = inner::encodeVersion(state.snapshot, nullptr);
    recordStep("encode snapshot for nodes");
    if (before.version.value != 0)
        inner::encodeVersion(state.snapshot, &before);
    recordStep("encode delta for nodes");
    AppliedConfig node;
    if (!inner::apply(node, full))
        std::printf("the node rejected the snapshot\n");
    recordStep("apply snapshot at a node");
    encode(state);
    recordStep("encode the state");
    return out;
}

static void measureSteps(int routes)
{
    State state;
    const std::vector<StepTime> first = measureStepTimes(state, makeDocument(routes, 1));
    Document changed = makeDocument(routes, 2);
    for (int n = 1; n < 10; ++n)
        changed.routes.at({ "route-" + std::to_string(n) }).text += "changed";
    const std::vector<StepTime> second = measureStepTimes(state, changed);
    std::printf("%6d routes, us: first document; ten routes changed\n", routes);
    for (size_t n = 0; n < first.size(); ++n)
        std::printf("    %-28s %8.0f %8.0f\n", first[n].name, first[n].micros, second[n].micros);
}

int main()
{
    for (const int routes : { 10, 100, 300, 1000 })
        measure(routes);
    for (const int routes : { 300, 1200, 3000, 10000 })
        measureSteps(routes);
    return 0;
}
