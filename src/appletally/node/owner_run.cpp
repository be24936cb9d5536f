// Runs calls on the upstream beside this node: admission, claim, run, answer. What is not proven is never "not run".
#include "appletally/node/owner_running.h"

#include "appletally/base/log.h"
#include "appletally/base/loop_time.h"

#include <algorithm>
#include <strings.h>

namespace appletally::node {

using base::Code;
using base::Duration;
using base::Time;
using config::EndpointState;
using policy::RunEnd;

OwnerCallId Owner::start(Call call, CallHandler handler)
{
    auto running = std::make_unique<Running>();
    Running& it = *running;
    it.id = ++m_lastId;
    it.name = nameOf(call.headers, m_settings.dialect.requestId, it.id);
    it.call = std::move(call);
    it.handler = std::move(handler);
    it.owner = this;
    it.timer = event_new(
        m_loop, -1, 0, [](evutil_socket_t, short, void* arg) {
            auto* self = static_cast<Running*>(arg);
            if (self->stage == Stage::Offered)
                self->owner->admit(*self);
            else
                self->owner->giveUp(*self, base::fail(Code::DeadlinePassed, "the upstream did not answer in time"));
        },
        &it);
    event_active(it.timer, 0, 0); // callers of start() get no callback from within it
    m_calls[it.id] = std::move(running);
    setTick(true);
    return it.id;
}

// Overloaded is what an upstream says of itself: asking another one then adds load. What admission refuses has cost nobody
// anything but the way here.
static base::Error toError(const policy::Refusal& it)
{
    return base::fail(it.code == Code::Overloaded ? Code::NoFreeSlot : it.code, "no room in time", it.retryAfter);
}

void Owner::admit(Running& it)
{
    if (auto error = whyNot(it.call))
        return refuse(it, *error);
    it.offered = true;
    const Time now = base::steadyNow();
    const policy::Arrival arrival { { it.id }, it.call.caller, it.call.route, it.call.priority, it.call.expected, it.call.deadline, it.call.internal, it.call.fullWorthBy };
    const policy::Decision decision = policy::offer(m_admission, arrival, now);
    if (decision.verdict == policy::Verdict::Run)
        run(it);
    else if (decision.verdict == policy::Verdict::Wait)
        logQueued(it);
    else
        refuse(it, toError(decision.refusal));
    follow({ {}, decision.displaced });
}

void Owner::follow(const policy::Followup& followup)
{
    for (const policy::Refusal& refusal : followup.refused) {
        if (Running* it = find(refusal.id.value))
            refuse(*it, toError(refusal));
    }
    for (const policy::RequestId& id : followup.start) {
        if (Running* it = find(id.value))
            run(*it);
    }
}

void Owner::run(Running& it)
{
    if (!m_upstream)
        return leaveSlot(it, base::fail(Code::NoUpstream, "the upstream is gone"));
    // Between the queue and the slot the version may have been stopped; what has not begun is still truly "not run".
    if (auto error = whyNot(it.call); error && error->code == Code::VersionRolledBack)
        return leaveSlot(it, *error);
    if (m_settings.features.claims && !it.call.idempotent && !it.call.key.empty())
        return claim(it);
    send(it);
}

constexpr Duration handOverLimit { 2000 }; // four times a round's own limit, far below the time that keepers remember
constexpr Duration claimMargin { 1000 }; // from the deadline to the latest end of a run that is being stopped

void Owner::claim(Running& it)
{
    it.stage = Stage::Claiming;
    const Duration within = it.call.deadline - base::steadyNow() + claimMargin;
    const OwnerCallId id = it.id;
    it.claim = m_claims->start({ it.call.service, it.call.caller, it.call.key }, Claims::digestOf(it.call), within,
        [this, id](const policy::ClaimRound& round) { onClaimDecided(id, round); });
}

void Owner::onClaimDecided(OwnerCallId id, const policy::ClaimRound& round)
{
    Running* it = find(id);
    if (!it)
        return; // cancelled meanwhile; cancel() leaves an ended claim behind
    const auto granted = it->claim;
    if (round.decision != policy::ClaimDecision::Run)
        it->claim.reset();
    switch (round.decision) {
    case policy::ClaimDecision::Run:
        // A process that stood still since the keepers granted must not run what they may have forgotten meanwhile.
        if (it->detached || base::steadyNow() - round.startedAt > handOverLimit || base::steadyNow() >= it->call.deadline || !m_upstream || state() == EndpointState::Gone) {
            m_claims->end(*granted, policy::ClaimEnd::NotStarted, {});
            it->claim.reset();
            return leaveSlot(*it, base::fail(Code::DeadlineTooNear, "no time left after its claim"));
        }
        return send(*it);
    case policy::ClaimDecision::AnswerRecorded:
        return giveRecorded(*it, *round.outcome);
    default:
        return leaveSlot(*it, base::fail(round.code, round.why, Duration { 1000 }));
    }
}

// A resend of a request that has run: it gets the first outcome, and the upstream hears nothing of it.
void Owner::giveRecorded(Running& it, const policy::ClaimOutcome& outcome)
{
    const OwnerCallId id = it.id;
    if (!outcome.bodyKept)
        return leaveSlot(it, base::fail(Code::OutcomeUnknown, "it ran and was answered with status " + std::to_string(outcome.status) + "; the answer is too long to be kept"));
    http::AnswerHead head;
    head.status = outcome.status;
    for (const auto& [name, value] : outcome.headers)
        head.headers.push_back({ name, value });
    head.headers.push_back({ "Appletally-Recorded", "1" });
    head.length = static_cast<int64_t>(outcome.body.size());
    if (!it.detached) {
        it.handler.head(head);
        evbuffer* buf = evbuffer_new();
        evbuffer_add(buf, outcome.body.data(), outcome.body.size());
        if (evbuffer_get_length(buf) > 0)
            it.handler.body(buf);
        evbuffer_free(buf);
    }
    const auto followup = policy::cancel(m_admission, { id }, base::steadyNow());
    finish(it, {});
    follow(followup);
}

void Owner::leaveSlot(Running& it, base::Error error)
{
    const auto followup = policy::cancel(m_admission, { it.id }, base::steadyNow());
    refuse(it, std::move(error));
    follow(followup);
}

http::UpstreamRequest Owner::requestFor(Running& it, Duration left) const
{
    const Dialect& names = m_settings.dialect;
    http::UpstreamRequest out;
    out.method = it.call.method;
    out.target = it.call.target;
    out.body = std::move(it.call.body);
    out.idempotent = it.call.idempotent;
    const std::string* named = http::findHeader(it.call.headers, "Connection"); // fields that concern the caller's connection only
    for (const http::HeaderField& field : it.call.headers) {
        const bool ours = http::sameName(field.name, names.timeLeft) || http::sameName(field.name, names.depth) || http::sameName(field.name, names.caller)
            || http::sameName(field.name, names.upstreamId);
        if (!ours && !http::isHopByHop(field.name) && !(named && http::hasToken(*named, field.name)))
            out.headers.push_back(field);
    }
    const auto add = [&](const std::string& name, std::string value) {
        if (!name.empty())
            out.headers.push_back({ name, std::move(value) });
    };
    add(names.timeLeft, std::to_string(left.ms));
    add(names.depth, std::to_string(it.call.depth + 1));
    add(names.caller, it.call.caller.text);
    if (!m_upstream->id.empty())
        add(names.upstreamId, m_upstream->id);
    const std::string* id = names.requestId.empty() ? nullptr : http::findHeader(it.call.headers, names.requestId);
    if (id) {
        out.idHeader = names.requestId;
        out.id = *id;
    }
    return out;
}

void Owner::send(Running& it)
{
    const Time now = base::steadyNow();
    const Duration left = it.call.deadline - now;
    it.stage = Stage::Running;
    it.version = m_upstream->version;
    it.busy = static_cast<int>(m_admission.running.size()) * 4 >= m_admission.slots.announced * 3;
    it.startedMicros = base::steadyMicros();
    const Duration wait = std::max(left, Duration { 1 });
    const timeval deadline = base::toTimeval(wait);
    event_add(it.timer, &deadline);

    ++m_counts.ran;
    const OwnerCallId id = it.id;
    http::UpstreamHandler handler;
    handler.head = [this, id](const http::AnswerHead& head) {
        if (Running* found = find(id))
            onHead(*found, head);
    };
    handler.body = [this, id](evbuffer* buf) {
        if (Running* found = find(id))
            onBody(*found, buf);
    };
    handler.end = [this, id](const http::AnswerEnd& end) {
        if (Running* found = find(id))
            onEnd(*found, end);
    };
    it.upstream = m_client->start(requestFor(it, wait), std::move(handler));
}

// What an upstream in good order never sends.
static std::optional<base::Error> whyBroken(const http::AnswerHead& head, const Dialect& names)
{
    const bool success = head.status >= 200 && head.status < 300;
    if (success && !names.wholeMark.empty() && !http::findHeader(head.headers, names.wholeMark))
        return base::fail(Code::InvalidUpstreamAnswer, "a success without the upstream's mark");
    if (!names.codedBodies && http::findHeader(head.headers, "Content-Encoding"))
        return base::fail(Code::InvalidUpstreamAnswer, "a body in a content coding that nobody asked for");
    return {};
}

void Owner::onHead(Running& it, const http::AnswerHead& head)
{
    it.status = head.status;
    if (const auto broken = whyBroken(head, m_settings.dialect))
        return giveUp(it, *broken);
    if (it.claim) {
        it.outcome.status = head.status;
        for (const http::HeaderField& field : head.headers) {
            if (!http::isHopByHop(field.name))
                it.outcome.headers.push_back({ field.name, field.value });
        }
    }
    // An upstream that sheds load says so before it starts; only this header proves it, a bare 503 may come from half-way.
    // What it finds wrong with the request itself is the caller's to hear.
    constexpr int misdirected = 421; // meant for another process than the one that stands there
    const bool refused = head.status == 503 || head.status == 429 || head.status == misdirected;
    it.notRunByUpstream = refused && (head.status == misdirected || http::findHeader(head.headers, m_settings.dialect.notRun));
    it.misdirected = head.status == misdirected;
    if (!it.notRunByUpstream && !it.detached && it.handler.head)
        it.handler.head(head);
}

void Owner::onBody(Running& it, evbuffer* buf)
{
    const uint64_t n = evbuffer_get_length(buf);
    if (it.claim && it.outcome.bodyKept) {
        it.outcome.bodyKept = it.outcome.body.size() + n <= policy::ClaimSettings {}.mostBody.count;
        const size_t before = it.outcome.body.size();
        it.outcome.body.resize(it.outcome.bodyKept ? before + n : 0);
        if (it.outcome.bodyKept)
            evbuffer_copyout(buf, it.outcome.body.data() + before, n);
    }
    if (it.detached || it.notRunByUpstream || !it.handler.body) {
        evbuffer_drain(buf, n);
        return;
    }
    it.unconsumed += n;
    if (it.unconsumed > bodyWindow)
        it.upstream->pause();
    it.handler.body(buf);
}

void Owner::consumed(OwnerCallId id, uint64_t bytes)
{
    Running* it = find(id);
    if (!it)
        return;
    it->unconsumed -= std::min(bytes, it->unconsumed);
    if (it->unconsumed <= bodyWindow / 2 && it->upstream)
        it->upstream->resume();
}

void Owner::onEnd(Running& it, const http::AnswerEnd& end)
{
    it.upstream = nullptr;
    it.ranMicros = base::steadyMicros() - it.startedMicros;
    m_runTime.add(it.ranMicros);
    RunEnd how = RunEnd::Good;
    std::optional<base::Error> error = end.error;
    if (it.notRunByUpstream) {
        how = it.misdirected ? RunEnd::Cancelled : RunEnd::Shed;
        error = it.misdirected ? base::fail(Code::NotReady, "another upstream process stands there now") : base::fail(Code::Overloaded, "the upstream sheds load", Duration { 1000 });
    } else if (error || it.status >= 500)
        how = RunEnd::Failed;
    record(it, how);
    endClaim(it, error);
    const auto followup = policy::finished(m_admission, { it.id }, how, Duration { it.ranMicros / 1000 }, base::steadyNow());
    finish(it, std::move(error));
    follow(followup);
}

// Only a run that is proven not to have begun gives its key free; after anything else a resend must not run again.
void Owner::endClaim(Running& it, const std::optional<base::Error>& error)
{
    if (!it.claim)
        return;
    const ClaimId claim = *it.claim;
    it.claim.reset();
    if (!error)
        m_claims->end(claim, policy::ClaimEnd::Finished, std::move(it.outcome));
    else
        m_claims->end(claim, base::info(error->code).notRun ? policy::ClaimEnd::NotStarted : policy::ClaimEnd::Unknown, {});
}

void Owner::giveUp(Running& it, base::Error error)
{
    if (it.stage != Stage::Running)
        return;
    if (it.upstream)
        it.upstream->cancel();
    it.upstream = nullptr;
    it.ranMicros = base::steadyMicros() - it.startedMicros;
    record(it, RunEnd::Failed);
    endClaim(it, error);
    const auto followup = policy::finished(m_admission, { it.id }, RunEnd::Failed, Duration { it.ranMicros / 1000 }, base::steadyNow());
    finish(it, std::move(error));
    follow(followup);
}

void Owner::refuse(Running& it, base::Error error)
{
    ++m_counts.refused;
    finish(it, std::move(error));
}

void Owner::logQueued(const Running& it) const
{
    const policy::Load load = currentLoad();
    base::logRequest(base::Event::CallQueued, it.name, { { "route", it.call.route.text }, { "left_ms", (it.call.deadline - base::steadyNow()).ms }, { "running", load.running }, { "waiting", load.waiting }, { "slots", load.slots } });
}

void Owner::logEnd(const Running& it, const std::optional<base::Error>& error) const
{
    const policy::Load load = currentLoad();
    if (!error) {
        base::logRequest(base::Event::CallEnded, it.name, { { "route", it.call.route.text }, { "status", it.status }, { "ran_ms", it.ranMicros / 1000 }, { "running", load.running }, { "waiting", load.waiting } });
        return;
    }
    base::logRequest(base::info(error->code).notRun ? base::Event::CallRefused : base::Event::CallFailed, it.name,
        { { "route", it.call.route.text }, { "code", static_cast<int64_t>(error->code) }, { "why", error->text }, { "left_ms", (it.call.deadline - base::steadyNow()).ms }, { "running", load.running },
            { "waiting", load.waiting }, { "slots", load.slots }, { "ran_ms", it.ranMicros / 1000 }, { "retry_after_ms", error->retryAfter.ms } });
}

void Owner::logCancelled(const Running& it) const
{
    const bool ran = it.stage == Stage::Running;
    base::logRequest(base::Event::CallCancelled, it.name,
        { { "route", it.call.route.text }, { "stage", ran ? "running" : "waiting" }, { "ran_ms", ran ? (base::steadyMicros() - it.startedMicros) / 1000 : 0 }, { "left_ms", (it.call.deadline - base::steadyNow()).ms } });
}

std::string nameOf(const std::vector<http::HeaderField>& headers, const std::string& idHeader, uint64_t own)
{
    const std::string* id = idHeader.empty() ? nullptr : http::findHeader(headers, idHeader);
    return id ? *id : "#" + std::to_string(own);
}

void Owner::finish(Running& it, std::optional<base::Error> error)
{
    it.stage = Stage::Done;
    logEnd(it, error);
    if (error && !base::info(error->code).notRun)
        ++m_counts.failed;
    CallEnd end { std::move(error), currentLoad(), it.ranMicros, policy::observedRun(m_admission.runs, it.call.route).value_or(Duration {}) };
    auto handler = std::move(it.handler);
    const bool detached = it.detached;
    m_calls.erase(it.id);
    if (!detached && handler.end)
        handler.end(end);
}

void Owner::cancel(OwnerCallId id)
{
    Running* it = find(id);
    if (!it)
        return;
    ++m_counts.cancelled;
    logCancelled(*it);
    const bool begun = it->stage == Stage::Running || it->stage == Stage::Claiming;
    if (begun && !it->call.idempotent) {
        it->detached = true;
        it->unconsumed = 0;
        if (it->upstream)
            it->upstream->resume();
        return;
    }
    if (it->upstream)
        it->upstream->cancel();
    const bool offered = it->offered;
    m_calls.erase(id);
    if (offered)
        follow(policy::cancel(m_admission, { id }, base::steadyNow()));
}

} // namespace appletally::node
