// Field-by-field conversion between the schema's structs and those of config/.
#include "appletally/inner/rpc_wire.h"

#include "appletally/config/codec.h"

#include <algorithm>

namespace appletally::inner {

std::string text(capnp::Text::Reader in) { return { in.begin(), in.end() }; }
std::string bytes(capnp::Data::Reader in) { return { reinterpret_cast<const char*>(in.begin()), in.size() }; }
capnp::Data::Reader toData(const std::string& in) { return { reinterpret_cast<const uint8_t*>(in.data()), in.size() }; }

void write(rpc::Failure::Builder out, const base::Error& in)
{
    out.setCode(static_cast<uint16_t>(in.code));
    out.setText(in.text);
    out.setRetryAfterMs(static_cast<uint32_t>(std::max<int64_t>(0, in.retryAfter.ms)));
}

base::Error read(rpc::Failure::Reader in)
{
    return base::fail(static_cast<base::Code>(in.getCode()), text(in.getText()), base::Duration { in.getRetryAfterMs() });
}

bool failed(rpc::Failure::Reader in) { return in.getCode() != 0; }

static void write(rpc::Leaving::Builder out, const config::LeavingUpstream& in)
{
    out.setId(in.id);
    out.setStartedAtMs(in.startedAtMs);
    out.setSequence(in.sequence);
}

static config::LeavingUpstream read(rpc::Leaving::Reader in) { return { text(in.getId()), in.getStartedAtMs(), in.getSequence() }; }

static void write(rpc::Endpoint::Builder out, const config::Endpoint& in)
{
    out.setHost(in.host.text);
    out.setService(in.service.text);
    out.setVersion(in.version.text);
    out.setZone(in.zone.text);
    out.setRegion(in.region.text);
    out.setIp(in.inner.ip);
    out.setPort(in.inner.port);
    out.setSlots(in.slots);
    out.setState(static_cast<uint8_t>(in.state));
    out.setIncarnation(in.incarnation.value);
    out.setSequence(in.sequence.value);
    if (!in.suspects.empty())
        write(out.initSuspects(static_cast<kj::uint>(in.suspects.size())), in.suspects);
    if (in.leaving)
        write(out.initLeaving(), *in.leaving);
}

static config::Endpoint read(rpc::Endpoint::Reader in)
{
    config::Endpoint out;
    out.host.text = text(in.getHost());
    out.service.text = text(in.getService());
    out.version.text = text(in.getVersion());
    out.zone.text = text(in.getZone());
    out.region.text = text(in.getRegion());
    out.inner = { text(in.getIp()), in.getPort() };
    out.slots = in.getSlots();
    // An unknown state is read as Starting, which receives no requests.
    const uint8_t most = static_cast<uint8_t>(config::EndpointState::Gone);
    out.state = in.getState() > most ? config::EndpointState::Starting : static_cast<config::EndpointState>(in.getState());
    out.incarnation.value = in.getIncarnation();
    out.sequence.value = in.getSequence();
    out.suspects = read(in.getSuspects());
    if (in.hasLeaving())
        out.leaving = read(in.getLeaving());
    return out;
}

void write(capnp::List<rpc::HostSuspects>::Builder out, std::span<const HostSuspects> in)
{
    for (kj::uint n = 0; n < out.size(); ++n) {
        out[n].setHost(in[n].host.text);
        write(out[n].initSuspects(static_cast<kj::uint>(in[n].suspects.size())), in[n].suspects);
    }
}

std::vector<HostSuspects> suspectsOf(const std::vector<config::Endpoint>& endpoints)
{
    std::vector<HostSuspects> out;
    for (const config::Endpoint& it : endpoints) {
        if (!it.suspects.empty())
            out.push_back({ it.host, it.suspects });
    }
    return out;
}

void write(capnp::List<rpc::HostLeaving>::Builder out, std::span<const HostLeaving> in)
{
    for (kj::uint n = 0; n < out.size(); ++n) {
        out[n].setHost(in[n].host.text);
        write(out[n].initLeaving(), in[n].leaving);
    }
}

std::vector<HostLeaving> leavingOf(const std::vector<config::Endpoint>& endpoints)
{
    std::vector<HostLeaving> out;
    for (const config::Endpoint& it : endpoints) {
        if (it.leaving)
            out.push_back({ it.host, *it.leaving });
    }
    return out;
}

static config::Endpoint* findHost(std::vector<config::Endpoint>& endpoints, capnp::Text::Reader host)
{
    const auto found = std::find_if(endpoints.begin(), endpoints.end(), [&](const auto& it) { return it.host.text == host.cStr(); });
    return found == endpoints.end() ? nullptr : &*found;
}

static void attach(std::vector<config::Endpoint>& endpoints, rpc::EndpointsDelta::Reader in)
{
    for (rpc::HostSuspects::Reader of : in.getSuspects()) {
        if (config::Endpoint* it = findHost(endpoints, of.getHost()))
            it->suspects = read(of.getSuspects());
    }
    for (rpc::HostLeaving::Reader of : in.getLeaving()) {
        if (config::Endpoint* it = findHost(endpoints, of.getHost()))
            it->leaving = read(of.getLeaving());
    }
}

void write(rpc::Cursor::Builder out, const config::EndpointCursor& in)
{
    out.setRegistry(in.registry);
    out.setChange(in.change);
    out.setSince(in.since);
}

config::EndpointCursor read(rpc::Cursor::Reader in) { return { in.getRegistry(), in.getChange(), in.getSince() }; }

base::Result<config::EndpointsDelta> read(rpc::EndpointsDelta::Reader in)
{
    config::EndpointsDelta out { read(in.getFrom()), read(in.getTo()), in.getWhole(), in.getMore(), {} };
    std::string plain = bytes(in.getEndpoints());
    if (in.getCompressed()) {
        auto whole = config::decompress(plain);
        if (!whole)
            return whole.error();
        plain = std::move(whole.value());
    }
    auto endpoints = config::decodeEndpoints(plain);
    if (!endpoints)
        return endpoints.error();
    out.endpoints = std::move(endpoints.value());
    attach(out.endpoints, in);
    return out;
}

static void write(rpc::Renewal::Builder out, const config::EndpointRenewal& in)
{
    out.setHost(in.host.text);
    out.setIncarnation(in.incarnation.value);
    out.setSequence(in.sequence.value);
    out.setBeat(in.heartbeat);
}

static config::EndpointRenewal read(rpc::Renewal::Reader in)
{
    return { { text(in.getHost()) }, { in.getIncarnation() }, { in.getSequence() }, in.getBeat() };
}

static void write(capnp::List<uint32_t>::Builder out, const std::array<uint32_t, config::latencyBins>& in)
{
    for (kj::uint n = 0; n < out.size(); ++n)
        out.set(n, in[n]);
}

static void read(capnp::List<uint32_t>::Reader in, std::array<uint32_t, config::latencyBins>& out)
{
    for (kj::uint n = 0; n < in.size() && n < out.size(); ++n)
        out[n] = in[n];
}

static void write(rpc::Evidence::Builder out, const config::Evidence& in)
{
    out.setHost(in.host.text);
    out.setIncarnation(in.incarnation.value);
    out.setService(in.service.text);
    out.setRoute(in.route.text);
    out.setVersion(in.version.text);
    out.setAnswers(in.answers);
    out.setFailures(in.failures);
    write(out.initLatency(config::latencyBins), in.latency);
    write(out.initBusyLatency(config::latencyBins), in.busyLatency);
    out.setColdAnswers(in.coldAnswers);
    out.setColdFailures(in.coldFailures);
    out.setStoppedHere(in.stoppedHere);
}

static config::Evidence read(rpc::Evidence::Reader in)
{
    config::Evidence out;
    out.host.text = text(in.getHost());
    out.incarnation.value = in.getIncarnation();
    out.service.text = text(in.getService());
    out.route.text = text(in.getRoute());
    out.version.text = text(in.getVersion());
    out.answers = in.getAnswers();
    out.failures = in.getFailures();
    read(in.getLatency(), out.latency);
    read(in.getBusyLatency(), out.busyLatency);
    out.coldAnswers = in.getColdAnswers();
    out.coldFailures = in.getColdFailures();
    out.stoppedHere = in.getStoppedHere();
    return out;
}

static void write(rpc::InForce::Builder out, const NodeAppliedVersion& in)
{
    out.setHost(in.host.text);
    out.setIncarnation(in.incarnation.value);
    out.setVersion(in.version.value);
    out.setSinceMs(static_cast<uint32_t>(std::clamp<int64_t>(in.since.ms, 0, UINT32_MAX)));
    out.setLeft(in.left);
}

static NodeAppliedVersion read(rpc::InForce::Reader in)
{
    return { { text(in.getHost()) }, { in.getIncarnation() }, { in.getVersion() }, { in.getSinceMs() }, in.getLeft() };
}

void write(rpc::Report::Builder out, const NodeReport& in)
{
    auto endpoints = out.initEndpoints(static_cast<kj::uint>(in.endpoints.size()));
    for (kj::uint n = 0; n < endpoints.size(); ++n) {
        write(endpoints[n], in.endpoints[n].endpoint);
        endpoints[n].setBeat(in.endpoints[n].heartbeat);
    }
    auto renewals = out.initRenewals(static_cast<kj::uint>(in.renewals.size()));
    for (kj::uint n = 0; n < renewals.size(); ++n)
        write(renewals[n], in.renewals[n]);
    auto inForce = out.initInForce(static_cast<kj::uint>(in.appliedVersions.size()));
    for (kj::uint n = 0; n < inForce.size(); ++n)
        write(inForce[n], in.appliedVersions[n]);
    auto evidence = out.initEvidence(static_cast<kj::uint>(in.evidence.size()));
    for (kj::uint n = 0; n < evidence.size(); ++n)
        write(evidence[n], in.evidence[n]);
}

NodeReport read(rpc::Report::Reader in)
{
    NodeReport out;
    for (rpc::Endpoint::Reader it : in.getEndpoints())
        out.endpoints.push_back({ read(it), it.getBeat() });
    for (rpc::Renewal::Reader it : in.getRenewals())
        out.renewals.push_back(read(it));
    for (rpc::InForce::Reader it : in.getInForce())
        out.appliedVersions.push_back(read(it));
    for (rpc::Evidence::Reader it : in.getEvidence())
        out.evidence.push_back(read(it));
    return out;
}

} // namespace appletally::inner
