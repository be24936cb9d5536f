// Runs calls on the upstream beside this node: admission, claim, run, answer. "Not run" is reported only when proven.
#include "appletally/node/owner_call.h"

#include "appletally/base/log.h"
#include "appletally/base/loop_time.h"
#include "appletally/node/request_digest.h"
#include "appletally/policy/body_memory.h"
#include "appletally/policy/retry.h"

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
    auto running = std::make_unique<ActiveCall>();
    ActiveCall& it = *running;
    it.id = ++m_lastId;
    it.name = requestLogName(call.headers, m_settings.dialect.requestId, it.id);
    it.call = std::move(call);
    it.digest = digestOf(it.call);
    it.handler = std::move(handler);
    it.owner = this;
    it.arrivedMicros = base::steadyMicros();
    it.timer = event_new(
        m_loop, -1, 0, [](evutil_socket_t, short, void* arg) {
            auto* self = static_cast<ActiveCall*>(arg);
            if (self->stage == Stage::Offered)
                self->owner->admit(*self);
            else
                self->owner->failRun(*self, base::fail(Code::DeadlinePassed, "the upstream did not answer before the deadline"));
        },
        &it);
    event_active(it.timer, 0, 0); // start() must not call the handler before it returns
    m_calls[it.id] = std::move(running);
    setTick(true);
    return it.id;
}

// Overloaded is reserved for upstreams that report overload: a retry elsewhere then adds load. A refusal by admission has
// cost nothing but the transport, so it is reported as NoRoom.
static base::Error toError(const policy::Refusal& it)
{
    return base::fail(it.code == Code::Overloaded ? Code::NoFreeSlot : it.code, "no room in time", it.retryAfter);
}

void Owner::admit(ActiveCall& it)
{
    if (auto error = findRefusal(it.call))
        return refuse(it, *error);
    if (auto error = findStop(it.call))
        return refuse(it, *error);
    if (holdSuspect(it))
        return;
    it.offered = true;
    it.version = m_upstream->version;
    const Time now = base::steadyNow();
    const policy::Arrival arrival { { it.id }, it.call.caller, it.call.route, it.call.priority, it.call.expected, it.call.deadline, it.call.internal, it.call.targetDeadline };
    const policy::Decision decision = policy::offer(m_admission, arrival, now);
    if (decision.action == policy::AdmissionAction::Run)
        run(it);
    else if (decision.action == policy::AdmissionAction::Wait)
        logQueued(it);
    else
        refuse(it, toError(decision.refusal));
    applyFollowup({ {}, decision.displaced });
}

void Owner::applyFollowup(const policy::AdmissionChanges& changes)
{
    for (const policy::Refusal& refusal : changes.refused) {
        if (ActiveCall* it = find(refusal.id.value))
            refuse(*it, toError(refusal));
    }
    for (const policy::RequestId& id : changes.start) {
        if (ActiveCall* it = find(id.value))
            run(*it);
    }
}

// False: the upstream to which it was admitted has gone, or was replaced by one of another service or version.
bool Owner::mayRunHere(const ActiveCall& it) const
{
    return m_upstream && m_upstream->service == it.call.service && m_upstream->version == it.version;
}

void Owner::run(ActiveCall& it)
{
    if (!mayRunHere(it))
        return releaseAndRefuse(it, base::fail(Code::NoUpstream, "the upstream is gone"));
    // The version may have been stopped, or the zone evacuated, while the call was queued; "not run" is still proven.
    if (auto error = findRefusal(it.call); error && (error->code == Code::VersionRolledBack || error->code == Code::ZoneEvacuated))
        return releaseAndRefuse(it, *error);
    if (auto error = findBlock(it))
        return releaseAndRefuse(it, *error);
    if (auto error = findStop(it.call))
        return releaseAndRefuse(it, *error);
    if (m_settings.features.claims && !it.call.idempotent && !it.call.key.empty())
        return claim(it);
    send(it);
}

constexpr Duration maxClaimHandoverTime { 2000 }; // four times the limit of a claim round, far below the time for which keepers remember claims
constexpr Duration claimMargin { 1000 }; // from the deadline to the latest possible end of a run that is being stopped

void Owner::claim(ActiveCall& it)
{
    it.stage = Stage::Claiming;
    const Duration within = it.call.deadline - base::steadyNow() + claimMargin;
    const OwnerCallId id = it.id;
    it.claim = m_claims->start({ it.call.service, it.call.caller, it.call.key }, Claims::digestOf(it.call), within,
        [this, id](const policy::ClaimRound& round) { onClaimDecided(id, round); });
}

void Owner::onClaimDecided(OwnerCallId id, const policy::ClaimRound& round)
{
    ActiveCall* it = find(id);
    if (!it)
        return; // cancelled in the meantime; cancel() keeps calls whose claim must still be ended
    const auto granted = it->claim;
    if (round.decision != policy::ClaimDecision::Run)
        it->claim.reset();
    switch (round.decision) {
    case policy::ClaimDecision::Run:
        // A process that was suspended after the grant must not run a call whose claim the keepers may have forgotten.
        if (it->detached || base::steadyNow() - round.startedAt > maxClaimHandoverTime || base::steadyNow() >= it->call.deadline || !mayRunHere(*it)) {
            m_claims->end(*granted, policy::ClaimEnd::NotStarted, {});
            it->claim.reset();
            return releaseAndRefuse(*it, base::fail(Code::DeadlineTooNear, "no time left after the claim was granted"));
        }
        if (auto error = findBlock(*it)) {
            m_claims->end(*granted, policy::ClaimEnd::NotStarted, {});
            it->claim.reset();
            return releaseAndRefuse(*it, *error);
        }
        return send(*it);
    case policy::ClaimDecision::AnswerRecorded:
        return replayRecorded(*it, *round.outcome);
    default:
        return releaseAndRefuse(*it, base::fail(round.code, round.reason, Duration { 1000 }));
    }
}

// Answers a resend of a request that has already run with the recorded outcome, without involving the upstream.
void Owner::replayRecorded(ActiveCall& it, const policy::ClaimOutcome& outcome)
{
    const OwnerCallId id = it.id;
    if (!outcome.bodyKept)
        return releaseAndRefuse(it, base::fail(Code::OutcomeUnknown, "it ran and was answered with status " + std::to_string(outcome.status) + "; the answer was too large to be recorded"));
    http::AnswerHead head;
    head.status = outcome.status;
    for (const auto& [name, value] : outcome.headers)
        head.headers.push_back({ name, value });
    head.headers.push_back({ "Appletally-Recorded", "1" });
    if (http::answerHasBody(it.call.method, outcome.status))
        head.length = static_cast<int64_t>(outcome.body.size());
    if (!it.detached) {
        it.handler.head(head);
        evbuffer* buf = evbuffer_new();
        evbuffer_add(buf, outcome.body.data(), outcome.body.size());
        if (evbuffer_get_length(buf) > 0)
            it.handler.body(buf);
        evbuffer_free(buf);
    }
    const auto changes = policy::cancel(m_admission, { id }, base::steadyNow());
    finish(it, {});
    applyFollowup(changes);
}

void Owner::releaseAndRefuse(ActiveCall& it, base::Error error)
{
    const auto changes = policy::cancel(m_admission, { it.id }, base::steadyNow());
    refuse(it, std::move(error));
    applyFollowup(changes);
}

http::UpstreamRequest Owner::requestFor(ActiveCall& it, Duration left) const
{
    const Dialect& names = m_settings.dialect;
    http::UpstreamRequest out;
    out.method = it.call.method;
    out.target = it.call.target;
    out.body = std::move(it.call.body);
    out.bodyLength = it.call.bodyBytes;
    out.bodyWindow = policy::bodyWindow(m_settings.memoryBytes, m_upstream->slots, bodyWindowBytes);
    out.idempotent = it.call.idempotent;
    const std::string* named = http::findHeader(it.call.headers, "Connection"); // lists fields that apply to the caller's connection only
    for (const http::HeaderField& field : it.call.headers) {
        const bool ours = http::sameName(field.name, names.timeLeft) || http::sameName(field.name, names.depth) || http::sameName(field.name, names.caller)
            || http::sameName(field.name, names.upstreamId) || http::sameName(field.name, names.sendId);
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
    if (!names.sendId.empty()) {
        const config::Service* service = upstreamService();
        out.idHeader = names.sendId;
        out.id = std::to_string(m_settings.incarnation.value) + "-" + std::to_string(it.id);
        out.idRequired = service && service->repeatsRequestId;
        add(names.sendId, out.id);
    } else if (id) {
        out.idHeader = names.requestId;
        out.id = *id;
    }
    return out;
}

void Owner::send(ActiveCall& it)
{
    const Time now = base::steadyNow();
    const Duration left = it.call.deadline - now;
    it.stage = Stage::Running;
    it.standing = m_suspectRequests->standingOf({ it.digest, it.version });
    it.upstreamBusy = static_cast<int>(m_admission.running.size()) * 4 >= m_admission.slots.announced * 3;
    it.startedMicros = base::steadyMicros();
    const Duration wait = std::max(left, Duration { 1 });
    const timeval deadline = base::toTimeval(wait);
    event_add(it.timer, &deadline);

    ++m_counts.ran;
    const OwnerCallId id = it.id;
    http::UpstreamHandler handler;
    handler.head = [this, id](http::AnswerHead& head) {
        std::erase_if(head.headers, [&](const http::HeaderField& field) { return http::sameName(field.name, m_settings.dialect.sendId); });
        if (ActiveCall* found = find(id))
            onHead(*found, head);
    };
    handler.body = [this, id](evbuffer* buf) {
        if (ActiveCall* found = find(id))
            onBody(*found, buf);
    };
    handler.end = [this, id](const http::AnswerEnd& end) {
        if (ActiveCall* found = find(id))
            onEnd(*found, end);
    };
    handler.wantBody = [this, id](uint64_t bytes) {
        ActiveCall* found = find(id);
        if (found && !found->detached && found->handler.wantBody)
            found->handler.wantBody(bytes);
    };
    it.upstream = m_client->start(requestFor(it, wait), std::move(handler));
}

// Checks for answers that a healthy upstream never sends.
static std::optional<base::Error> findProtocolViolation(const http::AnswerHead& head, const Dialect& names)
{
    const bool success = head.status >= 200 && head.status < 300;
    if (success && !names.completeAnswerHeader.empty() && !http::findHeader(head.headers, names.completeAnswerHeader))
        return base::fail(Code::InvalidUpstreamAnswer, "a success without the header that marks a complete answer");
    if (!names.allowContentCoding && http::findHeader(head.headers, "Content-Encoding"))
        return base::fail(Code::InvalidUpstreamAnswer, "a body in a content coding that was not requested");
    return {};
}

void Owner::onHead(ActiveCall& it, const http::AnswerHead& head)
{
    it.status = head.status;
    if (const auto broken = findProtocolViolation(head, m_settings.dialect))
        return failRun(it, *broken);
    if (it.claim) {
        it.outcome.status = head.status;
        for (const http::HeaderField& field : head.headers) {
            if (!http::isHopByHop(field.name))
                it.outcome.headers.push_back({ field.name, field.value });
        }
    }
    // An upstream that sheds load refuses before it starts. Only this header proves it, since a plain 503 may come from a
    // partial run. Errors in the request itself are passed on to the caller.
    constexpr int misdirected = 421; // Misdirected Request: meant for another upstream process than the one at this address
    const bool refused = head.status == 503 || head.status == 429 || head.status == misdirected;
    it.notRunByUpstream = refused && (head.status == misdirected || http::findHeader(head.headers, m_settings.dialect.notRun));
    it.misdirected = head.status == misdirected;
    const bool isItsOwn = !it.misdirected;
    // Failures and refusals may come from a part of the upstream that names no limit, so they do not lift one.
    const bool mayLift = head.status < 500 && !it.notRunByUpstream;
    if (!it.notRunByUpstream && !it.detached && it.handler.head)
        it.handler.head(head);
    if (isItsOwn) // last, because it may end calls
        onNotices(readNotices(head.headers, m_settings.dialect), mayLift);
}

constexpr uint64_t maxDiscardedBytes = 256 * 1024; // a new connection costs less than reading more

void Owner::onBody(ActiveCall& it, evbuffer* buf)
{
    const uint64_t n = evbuffer_get_length(buf);
    if (it.claim && it.outcome.bodyKept) {
        it.outcome.bodyKept = it.outcome.body.size() + n <= policy::ClaimSettings {}.maxOutcomeBytes.count;
        const size_t before = it.outcome.body.size();
        it.outcome.body.resize(it.outcome.bodyKept ? before + n : 0);
        if (it.outcome.bodyKept)
            evbuffer_copyout(buf, it.outcome.body.data() + before, n);
    }
    if (it.detached || it.notRunByUpstream || !it.handler.body)
        return discardBody(it, buf);
    it.unconsumedBytes += n;
    const auto upstream = it.upstream.lock();
    const bool isFull = it.unconsumedBytes > maxShortAnswerBytes && it.handler.isFull && it.handler.isFull();
    if (upstream && (isFull || it.unconsumedBytes > bodyWindowBytes))
        upstream->pause();
    it.handler.body(buf);
}

// The body of a refusal, or of an answer that nobody waits for. Its end frees the slot, but it may have none.
void Owner::discardBody(ActiveCall& it, evbuffer* buf)
{
    it.discardedBytes += evbuffer_get_length(buf);
    evbuffer_drain(buf, evbuffer_get_length(buf));
    const bool isRecorded = it.claim && it.outcome.bodyKept;
    if (it.discardedBytes <= maxDiscardedBytes || isRecorded)
        return;
    if (!it.notRunByUpstream)
        return failRun(it, base::fail(Code::AnswerTruncated, "nobody waits for the rest of the upstream's answer"));
    cancelUpstream(it);
    onEnd(it, {});
}

void Owner::consumed(OwnerCallId id, uint64_t bytes)
{
    ActiveCall* it = find(id);
    if (!it)
        return;
    it->unconsumedBytes -= std::min(bytes, it->unconsumedBytes);
    const auto upstream = it->upstream.lock();
    const bool isFull = it->unconsumedBytes > maxShortAnswerBytes && it->handler.isFull && it->handler.isFull();
    if (upstream && !isFull && it->unconsumedBytes <= bodyWindowBytes / 2)
        upstream->resume();
}

void Owner::readOn()
{
    for (const auto& [id, it] : m_calls) {
        const auto upstream = it->upstream.lock();
        if (upstream && it->unconsumedBytes <= bodyWindowBytes)
            upstream->resume();
    }
}

bool Owner::appendBody(OwnerCallId id, std::string_view bytes)
{
    ActiveCall* it = find(id);
    const auto upstream = it ? it->upstream.lock() : nullptr;
    if (!upstream)
        return true; // it has ended in the meantime
    it->bodyAppended += bytes.size();
    return upstream->appendBody(bytes);
}

void Owner::onEnd(ActiveCall& it, const http::AnswerEnd& end)
{
    it.upstream.reset();
    it.ranMicros = base::steadyMicros() - it.startedMicros;
    m_runTime.add(it.ranMicros);
    RunEnd how = RunEnd::Good;
    std::optional<base::Error> error = end.error;
    if (it.notRunByUpstream) {
        how = it.misdirected ? RunEnd::Cancelled : RunEnd::Shed;
        error = it.misdirected ? base::fail(Code::NotReady, "the upstream process has been replaced by another") : base::fail(Code::Overloaded, "the upstream sheds load", policy::retryAfterShed(policy::usualRun(m_admission.runs, it.call.route, it.call.expected), inner::randomNumber()));
    } else if (error || it.status >= 500)
        how = RunEnd::Failed;
    record(it, how);
    endClaim(it, error);
    if (!error) {
        forgetLostRunsBefore(it);
        m_suspectRequests->onAnswered({ it.digest, it.version });
    }
    const bool unreachable = error && error->code == Code::NoUpstream;
    const bool replaced = unreachable || it.misdirected;
    const bool connectionLost = error && (error->code == Code::OutcomeUnknown || error->code == Code::AnswerTruncated);
    const auto changes = policy::finished(m_admission, { it.id }, how, Duration { it.ranMicros / 1000 }, base::steadyNow());
    if (connectionLost && state() == EndpointState::Ready) // one that leaves ends as planned
        onRunLost(it, *error);
    else
        finish(it, std::move(error));
    applyFollowup(changes);
    if (replaced)
        onUpstreamEnded("another process or none is at its address");
    if (unreachable)
        onRestartSuspected();
}

// Only a run that has provably not started releases its key; in any other case a resend must not run again.
void Owner::endClaim(ActiveCall& it, const std::optional<base::Error>& error)
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

void Owner::cancelUpstream(ActiveCall& it)
{
    if (const auto upstream = it.upstream.lock())
        upstream->cancel();
    it.upstream.reset();
}

void Owner::failRun(ActiveCall& it, base::Error error)
{
    if (it.stage == Stage::Running)
        endRun(it, RunEnd::Failed, std::move(error));
}

void Owner::endRun(ActiveCall& it, RunEnd how, base::Error error)
{
    cancelUpstream(it);
    it.ranMicros = base::steadyMicros() - it.startedMicros;
    record(it, how);
    endClaim(it, error);
    const auto changes = policy::finished(m_admission, { it.id }, how, Duration { it.ranMicros / 1000 }, base::steadyNow());
    finish(it, std::move(error));
    applyFollowup(changes);
}

void Owner::refuse(ActiveCall& it, base::Error error)
{
    ++m_counts.refused;
    finish(it, std::move(error));
}

void Owner::logQueued(const ActiveCall& it) const
{
    const policy::Load load = currentLoad();
    base::logRequest(base::Event::CallQueued, it.name, { { "route", it.call.route.text }, { "left_ms", (it.call.deadline - base::steadyNow()).ms }, { "running", load.running }, { "waiting", load.waiting }, { "slots", load.slots } });
}

void Owner::logEnd(const ActiveCall& it, const std::optional<base::Error>& error) const
{
    const policy::Load load = currentLoad();
    if (!error) {
        base::logRequest(base::Event::CallEnded, it.name, { { "route", it.call.route.text }, { "status", it.status }, { "ran_ms", it.ranMicros / 1000 }, { "running", load.running }, { "waiting", load.waiting } });
        return;
    }
    base::logRequest(base::info(error->code).notRun ? base::Event::CallRefused : base::Event::CallFailed, it.name,
        { { "route", it.call.route.text }, { "digest", digestText(it.digest) }, { "code", static_cast<int64_t>(error->code) }, { "why", error->text }, { "left_ms", (it.call.deadline - base::steadyNow()).ms }, { "running", load.running },
            { "waiting", load.waiting }, { "slots", load.slots }, { "ran_ms", it.ranMicros / 1000 }, { "retry_after_ms", error->retryAfter.ms } });
}

void Owner::logCancelled(const ActiveCall& it) const
{
    const bool ran = it.stage == Stage::Running;
    base::logRequest(base::Event::CallCancelled, it.name,
        { { "route", it.call.route.text }, { "stage", ran ? "running" : "waiting" }, { "ran_ms", ran ? (base::steadyMicros() - it.startedMicros) / 1000 : 0 }, { "left_ms", (it.call.deadline - base::steadyNow()).ms } });
}

std::string requestLogName(const std::vector<http::HeaderField>& headers, const std::string& idHeader, uint64_t own)
{
    const std::string* id = idHeader.empty() ? nullptr : http::findHeader(headers, idHeader);
    return id ? *id : "#" + std::to_string(own);
}

void Owner::finish(ActiveCall& it, std::optional<base::Error> error)
{
    it.stage = Stage::Done;
    logEnd(it, error);
    if (error && !base::info(error->code).notRun)
        ++m_counts.failed;
    CallEnd end { std::move(error), currentLoad(), it.ranMicros, base::steadyMicros() - it.arrivedMicros, policy::observedRun(m_admission.runs, it.call.route).value_or(Duration {}), {} };
    if (end.error && m_upstream)
        end.suspect = m_suspectRequests->evidenceOf({ it.digest, it.version.empty() ? m_upstream->version : it.version });
    m_runningSuspects.erase(it.id);
    auto handler = std::move(it.handler);
    const bool detached = it.detached;
    m_calls.erase(it.id);
    if (!detached && handler.end)
        handler.end(end);
}

void Owner::cancel(OwnerCallId id)
{
    ActiveCall* it = find(id);
    if (!it)
        return;
    ++m_counts.cancelled;
    logCancelled(*it);
    const bool begun = it->stage == Stage::Running || it->stage == Stage::Claiming;
    const bool bodyIsCut = it->stage == Stage::Running && it->bodyAppended < it->call.bodyBytes;
    if (bodyIsCut) {
        it->detached = true;
        return endRun(*it, RunEnd::Cancelled, base::fail(Code::Cancelled, "the caller disconnected before its body was complete"));
    }
    if (begun && !it->call.idempotent) {
        it->detached = true;
        it->unconsumedBytes = 0;
        if (const auto upstream = it->upstream.lock())
            upstream->resume();
        return;
    }
    cancelUpstream(*it);
    const bool offered = it->offered;
    m_runningSuspects.erase(id);
    m_calls.erase(id);
    if (offered)
        applyFollowup(policy::cancel(m_admission, { id }, base::steadyNow()));
}

} // namespace appletally::node
