// Keys and ranges of the node settings; documented in docs/OPERATING.md.
#include "appletally/node/settings.h"

namespace appletally::node {

using base::Code;
using base::Duration;

constexpr uint64_t bytesPerMb = 1'000'000;

static std::vector<base::Address> addresses(base::JsonReader& reader, const std::string& key)
{
    std::vector<base::Address> out;
    for (const std::string& it : reader.texts(key)) {
        const auto address = base::parseAddress(it);
        if (!address)
            reader.refuse(Code::SettingsOutOfRange, key, "IP addresses with ports, such as 127.0.0.1:7000");
        else
            out.push_back(address.value());
    }
    return out;
}

static void readListen(base::JsonReader reader, NodeSettings& out)
{
    out.callers = reader.address("callers");
    out.inner = reader.address("inner");
    out.announce = reader.address("announce");
    out.operators = reader.address("operators");
    // A process that can announce an upstream receives the host's traffic, so only processes on the host itself may.
    if (!out.announce.ip.empty() && !out.announce.ip.starts_with("127."))
        reader.refuse(Code::SettingsOutOfRange, "announce", "a loopback address, such as 127.0.0.1:7003");
    reader.finish();
}

static void readLimits(base::JsonReader reader, http::ListenerLimits& out)
{
    out.maxHeaderBytes = static_cast<size_t>(reader.integer("header_bytes", 1024, 1024 * 1024, static_cast<int64_t>(out.maxHeaderBytes)));
    out.maxConnections = static_cast<size_t>(reader.integer("connections", 1, 100000, static_cast<int64_t>(out.maxConnections)));
    out.receiveTimeout = reader.duration("receive_ms", Duration { 100 }, Duration { 600000 }, out.receiveTimeout);
    out.idleTimeout = reader.duration("idle_ms", Duration { 100 }, Duration { 3600000 }, out.idleTimeout);
    out.stallTimeout = reader.duration("stalled_ms", Duration { 100 }, Duration { 600000 }, out.stallTimeout);
    reader.finish();
}

base::Result<NodeSettings> readNodeSettings(const std::string& file)
{
    const auto json = base::readJsonFile(file);
    if (!json)
        return json.error();
    base::ReadProblem problem;
    base::JsonReader top(json.value(), file, problem);
    NodeSettings out;

    out.membership.cluster = { top.text("cluster", 64) };
    const auto key = inner::parseClusterKey(top.text("key", 64));
    if (key)
        out.membership.key = key.value();
    else
        top.refuse(Code::SettingsOutOfRange, "key", "64 hex digits");
    out.membership.host = { top.text("host", 64) };
    out.zone = { top.text("zone", 64) };
    out.region = { top.text("region", 64) };
    readListen(top.object("listen"), out);
    out.voters = addresses(top, "voters");
    out.sources = addresses(top, "sources");
    if (out.voters.empty())
        top.refuse(Code::SettingsMissingKey, "voters", "the addresses of the voters");
    if (out.sources.empty())
        out.sources = out.voters;
    if (top.has("limits"))
        readLimits(top.object("limits"), out.limits);
    out.memoryBytes = static_cast<uint64_t>(top.integer("memory_mb", 32, 1'000'000, static_cast<int64_t>(out.memoryBytes / bytesPerMb))) * bytesPerMb;
    out.drainTime = top.duration("drain_ms", Duration { 0 }, Duration { 60000 }, out.drainTime);
    out.gracefulShutdownTimeout = top.duration("stop_bound_ms", Duration { 100 }, Duration { 600000 }, out.gracefulShutdownTimeout);
    out.minSeverity = static_cast<base::Severity>(top.choice("log", { "info", "warning", "error" }, 0));
    top.finish();
    if (problem.first)
        return *problem.first;
    return out;
}

} // namespace appletally::node
