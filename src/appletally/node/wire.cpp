// Field-by-field conversion of link messages.
#include "appletally/node/wire.h"

#include "appletally/inner/suspect_wire.h"

#include <algorithm>

namespace appletally::node {

namespace wire = inner::wire;

static std::string text(capnp::Text::Reader it) { return { it.cStr(), it.size() }; }

static void writeHeaders(capnp::List<wire::Header>::Builder out, const std::vector<http::HeaderField>& in)
{
    for (unsigned n = 0; n < in.size(); ++n) {
        out[n].setName(in[n].name);
        out[n].setValue(in[n].value);
    }
}

static std::vector<http::HeaderField> readHeaders(capnp::List<wire::Header>::Reader in)
{
    std::vector<http::HeaderField> out;
    for (const auto it : in)
        out.push_back({ text(it.getName()), text(it.getValue()) });
    return out;
}

void writeCall(wire::Call::Builder out, uint64_t id, const Call& in, base::Time now)
{
    out.setId(id);
    out.setService(in.service.text);
    out.setRoute(in.route.text);
    out.setMethod(in.method);
    out.setTarget(in.target);
    writeHeaders(out.initHeaders(in.headers.size()), in.headers);
    out.setBody({ reinterpret_cast<const uint8_t*>(in.body.data()), in.body.size() });
    out.setBodyBytes(in.bodyBytes);
    out.setBodyDigest(in.bodyDigest);
    out.setRemainingMs((in.deadline - now).ms);
    out.setCaller(in.caller.text);
    out.setKey(in.key.text);
    out.setAttempt(in.attempt.value);
    out.setInternal(in.internal);
    out.setConfigVersion(in.configVersion.value);
    out.setDepth(in.depth);
    out.setIdempotent(in.idempotent);
    out.setPriority(static_cast<uint8_t>(in.priority));
    out.setExpectedMs(in.expected.ms);
    out.setHasFullWorth(in.targetDeadline.has_value());
    if (in.targetDeadline)
        out.setFullWorthMs((*in.targetDeadline - now).ms);
    if (in.suspect)
        inner::write(out.initSuspect(), *in.suspect);
    if (!in.baseline)
        return;
    out.setHasOld(true);
    out.setOldFailures(in.baseline->failureRate);
    out.setOldMedianMs(in.baseline->medianMs);
}

Call readCall(wire::Call::Reader in, base::Time now)
{
    Call out;
    out.service = { text(in.getService()) };
    out.route = { text(in.getRoute()) };
    out.method = text(in.getMethod());
    out.target = text(in.getTarget());
    out.headers = readHeaders(in.getHeaders());
    out.body.assign(in.getBody().begin(), in.getBody().end());
    out.bodyBytes = in.getBodyBytes();
    out.bodyDigest = in.getBodyDigest();
    out.deadline = now + base::Duration { in.getRemainingMs() };
    out.caller = { text(in.getCaller()) };
    out.key = { text(in.getKey()) };
    out.attempt = { in.getAttempt() };
    out.internal = in.getInternal();
    out.configVersion = { in.getConfigVersion() };
    out.depth = in.getDepth();
    out.idempotent = in.getIdempotent();
    out.priority = static_cast<config::Priority>(std::min<uint8_t>(in.getPriority(), config::priorityCount - 1));
    out.expected = { std::max<int64_t>(in.getExpectedMs(), 1) };
    if (in.getHasFullWorth())
        out.targetDeadline = now + base::Duration { in.getFullWorthMs() };
    if (in.hasSuspect())
        out.suspect = inner::read(in.getSuspect());
    if (in.getHasOld())
        out.baseline = policy::CallerBaseline { in.getOldFailures(), in.getOldMedianMs() };
    return out;
}

void writeHead(wire::AnswerHead::Builder out, uint64_t id, const http::AnswerHead& in)
{
    out.setId(id);
    out.setStatus(static_cast<uint16_t>(in.status));
    writeHeaders(out.initHeaders(in.headers.size()), in.headers);
    out.setLength(in.length);
}

http::AnswerHead readHead(wire::AnswerHead::Reader in)
{
    return { in.getStatus(), readHeaders(in.getHeaders()), in.getLength() };
}

void writeRefused(wire::Refused::Builder out, uint64_t id, const CallEnd& in)
{
    out.setId(id);
    out.setCode(static_cast<uint16_t>(in.error->code));
    out.setText(in.error->text);
    out.setRetryAfterMs(in.error->retryAfter.ms);
    out.setUsualRunMs(static_cast<uint32_t>(in.usualRun.ms));
    if (in.load)
        writeLoad(out.initLoad(), *in.load);
    if (in.suspect)
        inner::write(out.initSuspect(), *in.suspect);
}

CallEnd readRefused(wire::Refused::Reader in)
{
    CallEnd out;
    out.error = base::fail(static_cast<base::Code>(in.getCode()), text(in.getText()), base::Duration { in.getRetryAfterMs() });
    out.usualRun = { in.getUsualRunMs() };
    if (in.hasLoad())
        out.load = readLoad(in.getLoad());
    if (in.hasSuspect())
        out.suspect = inner::read(in.getSuspect());
    return out;
}

void writeLoad(wire::Load::Builder out, const policy::Load& in)
{
    out.setRunning(static_cast<uint32_t>(std::max(in.running, 0)));
    out.setWaiting(static_cast<uint32_t>(std::max(in.waiting, 0)));
    out.setSlots(static_cast<uint32_t>(std::max(in.slots, 0)));
    out.setDraining(in.draining);
    out.setWaitMs(in.wait.ms);
    out.setWarmPerMille(in.slowStartProgress.value);
    out.setPerSecond(in.perSecond);
    out.setRateLastsMs(in.rateLasts.ms);
}

policy::Load readLoad(wire::Load::Reader in)
{
    policy::Load out;
    out.running = static_cast<int>(in.getRunning());
    out.waiting = static_cast<int>(in.getWaiting());
    out.slots = static_cast<int>(in.getSlots());
    out.draining = in.getDraining();
    out.wait = { in.getWaitMs() };
    out.slowStartProgress = { in.getWarmPerMille() };
    out.perSecond = std::max(in.getPerSecond(), 0.0);
    out.rateLasts = { std::max<int64_t>(in.getRateLastsMs(), 0) };
    return out;
}

} // namespace appletally::node
