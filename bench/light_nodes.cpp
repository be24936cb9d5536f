// Simulates many nodes without upstreams in one process, to measure the distribution of configuration. Each node has its
// own link to a source, applies the versions that it receives and reports them as applied.
//
// Prints a JSON line with the wall-clock times for each version that all nodes of the process have applied, and a JSON
// line of byte counts every second.
#include "appletally/base/json_reader.h"
#include "appletally/inner/source_client.h"

#include <iostream>
#include <vector>

using namespace appletally;

namespace {

struct BenchSettings {
    inner::Membership membership;
    std::string prefix; // of the host names
    int64_t nodes = 0;
    int64_t services = 1; // the nodes' endpoints are distributed over this number of services
    double changesPerSecond = 0; // changes of endpoint records, over all nodes of this process
    std::vector<base::Address> sources;
};

struct LightNode {
    config::Endpoint endpoint;
    std::unique_ptr<inner::SourceClient> client;
};

class Bench {
public:
    Bench(kj::AsyncIoContext& io, BenchSettings settings)
        : m_io(io)
        , m_timer(io.provider->getTimer())
        , m_settings(std::move(settings))
    {
        for (int64_t n = 0; n < m_settings.nodes; ++n)
            startNode(n);
    }

    void run() { reportEverySecond().exclusiveJoin(changeEndpoints()).wait(m_io.waitScope); }

private:
    void startNode(int64_t n)
    {
        auto node = std::make_unique<LightNode>();
        LightNode& it = *node;
        const base::HostId host { m_settings.prefix + std::to_string(n) };
        const auto started = static_cast<uint64_t>(base::wallNow().ms);
        it.endpoint = { host, { "service-" + std::to_string(n % m_settings.services) }, { "v1" }, { "z1" }, { "r1" }, { "127.0.0.1", 1 }, 10, config::EndpointState::Ready, { started }, { 1 } };
        inner::SourceClientSettings settings { m_settings.membership, m_settings.sources, inner::rpc::Role::NODE };
        settings.membership.host = host;
        inner::SourceClientHooks hooks;
        hooks.released = [this, &it](const std::shared_ptr<const config::Snapshot>& snapshot) {
            it.client->setAppliedVersion(snapshot->version);
            recordApplied(snapshot->version);
        };
        hooks.endpoints = [this](const std::vector<config::Endpoint>& endpoints) { m_endpointRecords += endpoints.size(); };
        it.client = std::make_unique<inner::SourceClient>(m_io, std::move(settings), std::move(hooks));
        it.client->announce(it.endpoint);
        m_nodes.push_back(std::move(node));
    }

    void recordApplied(base::ConfigVersion version)
    {
        std::vector<int64_t>& appliedAtMs = m_appliedAtMs[version.value];
        appliedAtMs.push_back(base::wallNow().ms);
        if (appliedAtMs.size() != m_nodes.size())
            return;
        std::cout << nlohmann::json({ { "version", version.value }, { "at_ms", appliedAtMs } }).dump() << std::endl;
        m_appliedAtMs.erase(m_appliedAtMs.begin(), m_appliedAtMs.upper_bound(version.value));
    }

    kj::Promise<void> reportEverySecond()
    {
        return m_timer.afterDelay(1 * kj::SECONDS).then([this] {
            uint64_t in = 0;
            uint64_t out = 0;
            uint64_t retryLater = 0;
            uint64_t fullSnapshots = 0;
            size_t ready = 0;
            for (const auto& it : m_nodes) {
                const inner::SourceClientCounters sum = it->client->counters();
                in += sum.bytesIn;
                out += sum.bytesOut;
                retryLater += sum.retryLaterResponses;
                fullSnapshots += sum.snapshots;
                ready += config::appliedVersion(it->client->applied()).value != 0;
            }
            std::cout << nlohmann::json({ { "wall_ms", base::wallNow().ms }, { "bytes_in", in }, { "bytes_out", out }, { "ready", ready }, { "came_back_later", retryLater }, { "snapshots", fullSnapshots }, { "records", m_endpointRecords } }).dump() << std::endl;
            return reportEverySecond();
        });
    }

    kj::Promise<void> changeEndpoints()
    {
        if (m_settings.changesPerSecond <= 0)
            return kj::NEVER_DONE;
        const auto intervalMicros = static_cast<int64_t>(1e6 / m_settings.changesPerSecond);
        return m_timer.afterDelay(intervalMicros * kj::MICROSECONDS).then([this] {
            LightNode& it = *m_nodes[m_endpointChanges++ % m_nodes.size()];
            it.endpoint.state = it.endpoint.state == config::EndpointState::Ready ? config::EndpointState::Draining : config::EndpointState::Ready;
            ++it.endpoint.sequence.value;
            it.client->announce(it.endpoint);
            return changeEndpoints();
        });
    }

    kj::AsyncIoContext& m_io;
    kj::Timer& m_timer;
    BenchSettings m_settings;
    std::vector<std::unique_ptr<LightNode>> m_nodes;
    std::map<uint64_t, std::vector<int64_t>> m_appliedAtMs;
    uint64_t m_endpointRecords = 0;
    size_t m_endpointChanges = 0;
};

base::Result<BenchSettings> readSettings(const std::string& file)
{
    auto json = base::readJsonFile(file);
    if (!json)
        return json.error();
    base::ReadProblem problem;
    base::JsonReader top(json.value(), file, problem);
    BenchSettings out;
    out.membership.cluster.text = top.text("cluster");
    auto key = inner::parseClusterKey(top.text("key"));
    if (key)
        out.membership.key = key.value();
    out.prefix = top.text("prefix");
    out.nodes = top.integer("nodes", 1, 5000);
    out.services = top.integer("services", 1, 5000, 1);
    out.changesPerSecond = static_cast<double>(top.integer("changes_per_1000_seconds", 0, 10000000, 0)) / 1000;
    for (const std::string& it : top.texts("sources"))
        out.sources.push_back(base::parseAddress(it).value());
    top.finish();
    if (problem.first)
        return *problem.first;
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "usage: light-nodes SETTINGS.json\n";
        return 2;
    }
    auto settings = readSettings(argv[1]);
    if (!settings) {
        std::cerr << settings.error() << '\n';
        return base::exitCode(settings.error().code);
    }
    auto io = kj::setupAsyncIo();
    Bench(io, std::move(settings.value())).run();
}
