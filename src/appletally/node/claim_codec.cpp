// Field-by-field conversion of claim messages.
#include "appletally/node/claim_codec.h"

#include "appletally/inner/claim.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>

namespace appletally::node {

namespace wire = inner::wire;

static capnp::Data::Reader asData(const std::string& it) { return { reinterpret_cast<const uint8_t*>(it.data()), it.size() }; }
static std::string asText(capnp::Data::Reader it) { return { it.begin(), it.end() }; }
static std::string asText(capnp::Text::Reader it) { return { it.cStr(), it.size() }; }

static void write(wire::ClaimKey::Builder out, const policy::ClaimKey& in)
{
    out.setService(in.service.text);
    out.setCaller(asData(in.caller.text));
    out.setKey(asData(in.key.text));
}

static policy::ClaimKey read(wire::ClaimKey::Reader in)
{
    return { { asText(in.getService()) }, { asText(in.getCaller()) }, { asText(in.getKey()) } };
}

static void write(wire::ClaimOutcome::Builder out, const policy::ClaimOutcome& in)
{
    out.setStatus(static_cast<uint16_t>(in.status));
    auto headers = out.initHeaders(in.headers.size());
    for (unsigned n = 0; n < in.headers.size(); ++n) {
        headers[n].setName(asData(in.headers[n].first));
        headers[n].setValue(asData(in.headers[n].second));
    }
    out.setBody(asData(in.body));
    out.setBodyKept(in.bodyKept);
}

static policy::ClaimOutcome read(wire::ClaimOutcome::Reader in)
{
    policy::ClaimOutcome out;
    out.status = in.getStatus();
    for (const auto it : in.getHeaders())
        out.headers.push_back({ asText(it.getName()), asText(it.getValue()) });
    out.body = asText(in.getBody());
    out.bodyKept = in.getBodyKept();
    return out;
}

static void write(capnp::List<wire::Keeper>::Builder out, const std::vector<config::Keeper>& in)
{
    for (unsigned n = 0; n < in.size(); ++n) {
        out[n].setHost(in[n].host.text);
        out[n].setIp(in[n].inner.ip);
        out[n].setPort(in[n].inner.port);
    }
}

static std::vector<config::Keeper> read(capnp::List<wire::Keeper>::Reader in)
{
    std::vector<config::Keeper> out;
    for (const auto it : in)
        out.push_back({ { asText(it.getHost()) }, { asText(it.getIp()), it.getPort() } });
    return out;
}

static void write(wire::ClaimMessage::Builder out, const policy::ClaimRequest& in)
{
    auto it = out.initAsk();
    it.setNumber(in.number.value);
    write(it.initKey(), in.key);
    it.setDigest(in.digest);
    it.setAttempt(in.attempt.value);
    it.setRunWithinMs(in.runWithin.ms);
}

static void write(wire::ClaimMessage::Builder out, const policy::ClaimFinish& in)
{
    auto it = out.initFinish();
    write(it.initKey(), in.key);
    it.setDigest(in.digest);
    it.setAttempt(in.attempt.value);
    write(it.initOutcome(), in.outcome);
    it.setLeftToRunMs(in.leftToRun.ms);
}

static void write(wire::ClaimMessage::Builder out, const policy::ClaimRelease& in)
{
    auto it = out.initRelease();
    write(it.initKey(), in.key);
    it.setAttempt(in.attempt.value);
}

static void write(wire::ClaimMessage::Builder out, const policy::ClaimAck& in)
{
    auto it = out.initNoted();
    write(it.initKey(), in.key);
    it.setAttempt(in.attempt.value);
}

static void write(wire::ClaimMessage::Builder out, const policy::ClaimAnswer& in)
{
    auto it = out.initAnswer();
    write(it.initKey(), in.key);
    it.setAttempt(in.attempt.value);
    it.setReply(static_cast<uint8_t>(in.reply));
    it.setNumber(in.number.value);
    it.setIncarnation(in.incarnation.value);
    auto seen = it.initSeen(in.seen.size());
    for (unsigned n = 0; n < in.seen.size(); ++n) {
        seen[n].setHost(in.seen[n].host.text);
        seen[n].setIncarnation(in.seen[n].incarnation.value);
    }
    it.setHolder(in.holder.value);
    it.setOverdue(in.overdue);
    if (in.outcome)
        write(it.initOutcome(), *in.outcome);
}

static void write(wire::ClaimMessage::Builder out, const policy::CatchUpRequest& in)
{
    auto it = out.initCatchUpAsk();
    it.setHost(in.host.text);
    it.setIncarnation(in.incarnation.value);
    auto set = it.initSet();
    set.setNumber(in.set.number.value);
    write(set.initMembers(in.set.members.size()), in.set.members);
    write(set.initPrevious(in.set.previous.size()), in.set.previous);
    if (in.after)
        write(it.initAfter(), *in.after);
}

static void write(wire::ClaimMessage::Builder out, const policy::CatchUpAnswer& in)
{
    auto it = out.initCatchUpAnswer();
    it.setHost(in.host.text);
    it.setIncarnation(in.incarnation.value);
    it.setAsker(in.requester.value);
    it.setCatchingUp(in.catchingUp);
    if (in.after)
        write(it.initAfter(), *in.after);
    it.setLast(in.last);
    auto claims = it.initClaims(in.claims.size());
    for (unsigned n = 0; n < in.claims.size(); ++n) {
        const policy::CatchUpClaim& claim = in.claims[n];
        write(claims[n].initKey(), claim.key);
        claims[n].setDigest(claim.digest);
        auto holders = claims[n].initHolders(claim.holders.size());
        for (unsigned holder = 0; holder < claim.holders.size(); ++holder) {
            holders[holder].setAttempt(claim.holders[holder].attempt.value);
            holders[holder].setDigest(claim.holders[holder].digest);
        }
        if (claim.outcome)
            write(claims[n].initOutcome(), *claim.outcome);
        claims[n].setKeepForMs(claim.keepFor.ms);
        claims[n].setOverdueInMs(claim.overdueIn.ms);
    }
}

static policy::ClaimAnswer read(wire::ClaimAnswer::Reader in)
{
    policy::ClaimAnswer out;
    out.key = read(in.getKey());
    out.attempt = { in.getAttempt() };
    out.reply = static_cast<policy::ClaimReply>(in.getReply());
    out.number = { in.getNumber() };
    out.incarnation = { in.getIncarnation() };
    for (const auto it : in.getSeen())
        out.seen.push_back({ { asText(it.getHost()) }, { it.getIncarnation() } });
    out.holder = { in.getHolder() };
    out.overdue = in.getOverdue();
    if (in.hasOutcome())
        out.outcome = read(in.getOutcome());
    return out;
}

static policy::CatchUpRequest read(wire::CatchUpAsk::Reader in)
{
    policy::CatchUpRequest out;
    out.host = { asText(in.getHost()) };
    out.incarnation = { in.getIncarnation() };
    out.set.number = { in.getSet().getNumber() };
    out.set.members = read(in.getSet().getMembers());
    out.set.previous = read(in.getSet().getPrevious());
    if (in.hasAfter())
        out.after = read(in.getAfter());
    return out;
}

static policy::CatchUpAnswer read(wire::CatchUpAnswer::Reader in)
{
    policy::CatchUpAnswer out;
    out.host = { asText(in.getHost()) };
    out.incarnation = { in.getIncarnation() };
    out.requester = { in.getAsker() };
    out.catchingUp = in.getCatchingUp();
    if (in.hasAfter())
        out.after = read(in.getAfter());
    out.last = in.getLast();
    for (const auto it : in.getClaims()) {
        policy::CatchUpClaim claim;
        claim.key = read(it.getKey());
        claim.digest = it.getDigest();
        for (const auto holder : it.getHolders())
            claim.holders.push_back({ { holder.getAttempt() }, holder.getDigest() });
        if (it.hasOutcome())
            claim.outcome = read(it.getOutcome());
        claim.keepFor = { it.getKeepForMs() };
        claim.overdueIn = { it.getOverdueInMs() };
        out.claims.push_back(std::move(claim));
    }
    return out;
}

std::string encodeClaim(const ClaimMessage& message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<wire::ClaimMessage>();
    std::visit([&](const auto& it) { write(root, it); }, message);
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asChars();
    return { bytes.begin(), bytes.size() };
}

static ClaimMessage readMessage(wire::ClaimMessage::Reader in)
{
    switch (in.which()) {
    case wire::ClaimMessage::ASK: {
        const auto it = in.getAsk();
        return policy::ClaimRequest { { it.getNumber() }, read(it.getKey()), it.getDigest(), { it.getAttempt() }, { it.getRunWithinMs() } };
    }
    case wire::ClaimMessage::FINISH: {
        const auto it = in.getFinish();
        return policy::ClaimFinish { read(it.getKey()), it.getDigest(), { it.getAttempt() }, read(it.getOutcome()), { it.getLeftToRunMs() } };
    }
    case wire::ClaimMessage::RELEASE:
        return policy::ClaimRelease { read(in.getRelease().getKey()), { in.getRelease().getAttempt() } };
    case wire::ClaimMessage::ANSWER:
        return read(in.getAnswer());
    case wire::ClaimMessage::NOTED:
        return policy::ClaimAck { read(in.getNoted().getKey()), { in.getNoted().getAttempt() } };
    case wire::ClaimMessage::CATCH_UP_ASK:
        return read(in.getCatchUpAsk());
    case wire::ClaimMessage::CATCH_UP_ANSWER:
        return read(in.getCatchUpAnswer());
    }
    return policy::ClaimAck {};
}

base::Result<ClaimMessage> decodeClaim(const std::string& bytes)
{
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
        return base::fail(base::Code::MessageMalformed, "invalid length of a claim message: " + std::to_string(bytes.size()) + " bytes");
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word)); // aligned, unlike the string
    memcpy(words.begin(), bytes.data(), bytes.size());
    try {
        capnp::FlatArrayMessageReader reader(words);
        return readMessage(reader.getRoot<wire::ClaimMessage>());
    } catch (const kj::Exception& e) {
        return base::fail(base::Code::MessageMalformed, e.getDescription().cStr());
    }
}

} // namespace appletally::node
