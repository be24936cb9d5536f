// Reads and validates the settings of a control process.
#include "appletally/control/settings.h"

#include "appletally/base/json_reader.h"

#include <algorithm>

namespace appletally::control {

using base::Code;
using base::JsonReader;

static constexpr int64_t minVoterLimit = 3; // fewer voters tolerate no loss
static constexpr int64_t maxVoterLimit = 99;

static std::vector<ControlPeer> readPeers(JsonReader& top, const std::string& key)
{
    std::vector<ControlPeer> out;
    for (JsonReader& it : top.objects(key)) {
        out.push_back({ { it.text("host", 64) }, it.address("address") });
        it.finish();
    }
    return out;
}

static bool containsHost(const std::vector<ControlPeer>& peers, const base::HostId& host)
{
    return std::any_of(peers.begin(), peers.end(), [&](const ControlPeer& it) { return it.host == host; });
}

base::Result<ControlSettings> readControlSettings(const std::string& file)
{
    auto json = base::readJsonFile(file);
    if (!json)
        return json.error();
    base::ReadProblem problem;
    JsonReader top(json.value(), file, problem);
    ControlSettings out;
    out.membership.cluster.text = top.text("cluster", 64);
    auto key = inner::parseClusterKey(top.text("key", 64));
    if (key)
        out.membership.key = key.value();
    else
        top.refuse(Code::SettingsOutOfRange, "key", "64 hex digits");
    out.membership.host.text = top.text("host", 64);
    out.zone.text = top.text("zone", 64);
    out.region.text = top.text("region", 64);
    for (const std::string& it : top.texts("zones"))
        out.zones.push_back({ it });
    out.role = top.choice("role", { "voter", "relay" }, 0) == 0 ? ProcessRole::Voter : ProcessRole::Relay;
    out.listen = top.address("listen");
    if (out.role == ProcessRole::Voter)
        out.data = top.text("data");
    out.voters = readPeers(top, "voters");
    out.relays = readPeers(top, "relays");
    for (const std::string& it : top.texts("seeds")) {
        const auto address = base::parseAddress(it);
        if (address)
            out.seeds.push_back(address.value());
        else
            top.refuse(Code::SettingsOutOfRange, "seeds", "IP numbers with ports, such as 127.0.0.1:7000");
    }
    out.maxVoters = static_cast<size_t>(top.integer("most_voters", 0, maxVoterLimit, 0));
    if (out.maxVoters != 0 && (out.maxVoters < minVoterLimit || out.maxVoters % 2 == 0))
        top.refuse(Code::SettingsOutOfRange, "most_voters", "0 for no limit, or an odd number of at least 3");
    out.firstStart = top.flag("first_start", false);
    out.claims = top.flag("claims", out.claims);
    out.startsPerSecond = static_cast<int>(top.integer("starts_per_second", 1, 10000, out.startsPerSecond));
    out.startBurst = static_cast<int>(top.integer("starts_at_once", 1, 10000, out.startBurst));
    out.maxSubscribers = static_cast<size_t>(top.integer("most_subscribers", 1, 100000, static_cast<int64_t>(out.maxSubscribers)));
    out.batching = top.flag("batching", out.batching);
    out.shutdownTimeout = top.duration("stop_bound_ms", base::Duration { 100 }, base::Duration { 60000 }, out.shutdownTimeout);
    top.finish();
    if (!out.seeds.empty() && out.membership.host.text != out.listen.text())
        top.refuse(Code::SettingsOutOfRange, "host", "the same as listen, since with seeds a process is known by its address");
    else if (out.seeds.empty() && (out.voters.empty() || out.voters.size() > 7))
        top.refuse(Code::SettingsOutOfRange, "voters", "1 to 7 voters, each with host and address");
    if (out.seeds.empty() && out.role == ProcessRole::Voter && !containsHost(out.voters, out.membership.host))
        top.refuse(Code::SettingsOutOfRange, "voters", "this process's own host among them");
    if (problem.first)
        return *problem.first;
    return out;
}

} // namespace appletally::control
