// Handles the results of a request's attempts and answers the caller.
#include "appletally/node/active_request.h"

#include "appletally/base/log.h"
#include "appletally/base/loop_time.h"
#include "appletally/inner/cluster_key.h"
#include "appletally/node/ingress_reply.h"
#include "appletally/node/request_digest.h"

#include <algorithm>

namespace appletally::node {

using base::Code;
using base::Duration;
using policy::AnswerKind;

void Ingress::onHead(ActiveRequest& it, Attempt& attempt, const http::AnswerHead& head)
{
    attempt.head = head;
    if (head.length > 0 && head.length <= maxBufferedAnswerBytes && http::answerHasBody(it.call.method, head.status))
        attempt.bufferedBody.reserve(static_cast<size_t>(head.length));
}

void Ingress::onBody(ActiveRequest& it, Attempt& attempt, evbuffer* buf)
{
    const size_t n = evbuffer_get_length(buf);
    attempt.bodyBytes += n;
    attempt.uncreditedBytes += n;
    if (it.streaming) {
        it.exchange->streamBody(buf);
        if (it.exchange->backlog() < bodyWindowBytes / 2)
            sendCredit(attempt);
        return;
    }
    const int64_t size = attempt.head->length >= 0 ? attempt.head->length : static_cast<int64_t>(attempt.bodyBytes);
    if (size > maxBufferedAnswerBytes)
        return startStream(it, attempt, buf);
    const size_t before = attempt.bufferedBody.size();
    attempt.bufferedBody.resize(before + n);
    evbuffer_remove(buf, attempt.bufferedBody.data() + before, n);
    sendCredit(attempt);
}

// Commits to this attempt: cancels any other copy, and requests that shared the run are sent on their own.
void Ingress::startStream(ActiveRequest& it, Attempt& attempt, evbuffer* buf)
{
    const std::vector<policy::RequestId> sharers = policy::ended(m_collapse, { it.id });
    for (const policy::RequestId& id : sharers) {
        ActiveRequest* other = id.value == it.id ? nullptr : find(id.value);
        if (other)
            send(*other);
    }
    if (!it.exchange)
        return abandon(it);
    const auto winner = attempt.number;
    for (size_t n = it.activeAttempts.size(); n-- > 0;) {
        if (it.activeAttempts[n]->number != winner)
            cancelAttempt(it, *it.activeAttempts[n], AnswerKind::Cancelled);
    }
    it.streaming = true;
    it.exchange->startStream(attempt.head->status, answerHeaders(*attempt.head), attempt.head->length);
    evbuffer* all = evbuffer_new();
    evbuffer_add(all, attempt.bufferedBody.data(), attempt.bufferedBody.size());
    evbuffer_add_buffer(all, buf);
    attempt.bufferedBody = {};
    it.exchange->streamBody(all);
    evbuffer_free(all);
    if (it.exchange->backlog() < bodyWindowBytes / 2)
        sendCredit(attempt);
}

// True: the caller has received nothing of the streamed answer, and the request goes on as if it had not been streamed.
bool Ingress::takeBackStream(ActiveRequest& it, const base::Error& error)
{
    if (!it.exchange->takeBack())
        return false;
    it.streaming = false;
    base::logRequest(base::Event::AnswerTakenBack, it.name, { { "route", it.route->name.text }, { "code", static_cast<int64_t>(error.code) }, { "why", error.text }, { "tries", it.attemptCount } });
    return true;
}

void Ingress::abortStream(ActiveRequest& it, const base::Error& error)
{
    ++m_counts.unknown;
    base::logRequest(base::Event::AnswerAborted, it.name, { { "route", it.route->name.text }, { "code", static_cast<int64_t>(error.code) }, { "why", error.text }, { "tries", it.attemptCount } });
    it.exchange->abort();
    removeRequest(it);
}

void Ingress::sendCredit(Attempt& attempt)
{
    if (attempt.uncreditedBytes == 0)
        return;
    if (attempt.local)
        m_owner->consumed(attempt.callId, attempt.uncreditedBytes);
    else
        m_peers->consumed(attempt.callId, attempt.uncreditedBytes);
    attempt.uncreditedBytes = 0;
}

void Ingress::sendBody(ActiveRequest& it, Attempt& attempt, uint64_t bytes)
{
    if (!it.body)
        return;
    const std::string_view part = it.body->view().substr(attempt.bodySent, bytes);
    attempt.bodySent += part.size();
    if (attempt.local)
        m_owner->appendBody(attempt.callId, part);
    else
        m_peers->appendBody(attempt.callId, part);
}

void Ingress::onDrained(ActiveRequest& it)
{
    for (const auto& attempt : it.activeAttempts)
        sendCredit(*attempt);
}

void Ingress::recordOutcome(const ActiveRequest& it, const Attempt& attempt, AnswerKind kind, const CallEnd& end)
{
    const base::Time now = base::steadyNow();
    const Duration took = now - attempt.sentAt;
    policy::answered(m_routers[it.call.service], { attempt.pick.host, it.route->name, kind, took, end.load, { attempt.bodyBytes }, Duration { end.runMicros / 1000 }, end.usualRun }, now);
    // A first attempt that lost to its hedge counts too; otherwise the slowest would be missing from the estimate.
    const bool lostToHedge = kind == AnswerKind::Cancelled && it.hedged && it.activeAttempts.size() > 0;
    if (!attempt.isHedge && (kind == AnswerKind::Good || lostToHedge))
        policy::observe(m_slowAnswers[it.route->name], took);
}

// What an answer took beside its wait and run at the owner: long where links are full.
void Ingress::recordTransit(Attempt& attempt, const CallEnd& end)
{
    attempt.ran = { end.runMicros / 1000 };
    if (attempt.local || end.ownerMicros == 0)
        return;
    attempt.transit = std::max(base::steadyNow() - attempt.sentAt - Duration { end.ownerMicros / 1000 }, Duration {});
    (attempt.bodyBytes <= maxShortAnswerBytes ? m_transitOfShort : m_transitOfLarge).add(attempt.transit.ms * 1000);
}

std::unique_ptr<Ingress::Attempt> Ingress::detachAttempt(ActiveRequest& it, const Attempt& attempt)
{
    auto found = std::find_if(it.activeAttempts.begin(), it.activeAttempts.end(), [&](const auto& candidate) { return candidate.get() == &attempt; });
    auto out = std::move(*found);
    it.activeAttempts.erase(found);
    return out;
}

void Ingress::cancelAttempt(ActiveRequest& it, Attempt& attempt, AnswerKind kind)
{
    if (attempt.local)
        m_owner->cancel(attempt.callId);
    else
        m_peers->cancel(attempt.callId);
    const auto ending = detachAttempt(it, attempt);
    recordOutcome(it, *ending, kind, {});
}

void Ingress::cancelAll(ActiveRequest& it)
{
    const bool late = base::steadyNow() >= it.call.deadline;
    while (!it.activeAttempts.empty())
        cancelAttempt(it, *it.activeAttempts.back(), late ? AnswerKind::Silent : AnswerKind::Cancelled);
}

static AnswerKind kindOf(const base::Error& error)
{
    if (error.code == Code::NoUpstream)
        return AnswerKind::Absent;
    if (error.code == Code::OutcomeUnknown || error.code == Code::DeadlinePassed)
        return AnswerKind::Silent;
    return base::info(error.code).notRun ? AnswerKind::Refused : AnswerKind::Failed;
}

static std::optional<base::Error> findWrongLength(const std::string& method, const http::AnswerHead& head, uint64_t bodyBytes)
{
    const bool hasBody = http::answerHasBody(method, head.status);
    if (!hasBody && bodyBytes > 0)
        return base::fail(Code::InvalidUpstreamAnswer, "a body in an answer that has none");
    if (hasBody && head.length >= 0 && bodyBytes != static_cast<uint64_t>(head.length))
        return base::fail(Code::AnswerTruncated, "the length of the body differs from its Content-Length");
    return {};
}

void Ingress::onEnd(ActiveRequest& it, Attempt& attempt, const CallEnd& end)
{
    std::optional<base::Error> error = end.error;
    if (end.suspect)
        m_suspectRequests->onTold(*end.suspect);
    if (!error && !attempt.head)
        error = base::fail(Code::AnswerTruncated, "the answer ended without a head");
    if (!error)
        error = findWrongLength(it.call.method, *attempt.head, attempt.bodyBytes);
    const auto ending = detachAttempt(it, attempt);
    if (!error || !base::info(error->code).notRun)
        updateVersionView(it, *ending, error || ending->head->status >= 500, end.runMicros);
    if (!error) {
        recordTransit(*ending, end);
        recordOutcome(it, *ending, ending->head->status >= 500 ? AnswerKind::Failed : AnswerKind::Good, end);
        return onCompleteAnswer(it, *ending);
    }
    recordOutcome(it, *ending, kindOf(*error), end);
    it.mayHaveRun |= !base::info(error->code).notRun;
    it.spentAttempts += policy::mayHaveReachedUpstream(error->code) ? 1 : 0;
    if (error->code == Code::VersionRolledBack)
        stopVersion(it, ending->pick);
    const bool copyTurnedAway = ending->isHedge && !policy::mayHaveReachedUpstream(error->code);
    if (it.activeAttempts.empty())
        onFailedAttempt(it, *error);
    else if (copyTurnedAway || waitsForSilentHosts(it)) // otherwise another attempt decides
        copyElsewhere(it, *error);
}

void Ingress::updateVersionView(const ActiveRequest& it, const Attempt& attempt, bool failed, int64_t runMicros)
{
    for (const auto& [id, rollout] : it.snapshot->rollouts) {
        if (rollout.service != it.call.service)
            continue;
        const base::UpstreamVersion& other = attempt.pick.version == rollout.to ? rollout.from : rollout.to;
        policy::observe(m_versionViews[{ it.route->name, attempt.pick.version }], failed, Duration { runMicros / 1000 }, m_versionViews[{ it.route->name, other }].answers);
    }
}

void Ingress::onCompleteAnswer(ActiveRequest& it, Attempt& attempt)
{
    cancelAll(it);
    ++m_counts.answered;
    m_latency.add(base::steadyMicros() - it.startedMicros);
    base::logRequest(base::Event::RequestAnswered, it.name,
        { { "route", it.route->name.text }, { "upstream", attempt.pick.host.text }, { "status", attempt.head->status }, { "took_ms", (base::steadyNow() - it.startedAt).ms }, { "ran_ms", attempt.ran.ms }, { "transit_ms", attempt.transit.ms }, { "tries", it.attemptCount } });
    if (it.streaming) {
        it.exchange->onGone = nullptr;
        it.exchange->onDrained = nullptr;
        it.exchange->endStream();
        return removeRequest(it);
    }
    for (const policy::RequestId& id : policy::ended(m_collapse, { it.id })) {
        ActiveRequest* other = id.value == it.id ? nullptr : find(id.value);
        if (!other)
            continue;
        ++m_counts.shared;
        replyBuffered(*other, *attempt.head, attempt.bufferedBody);
    }
    if (it.exchange)
        replyBuffered(it, *attempt.head, attempt.bufferedBody);
    else
        removeRequest(it);
}

void Ingress::replyBuffered(ActiveRequest& it, const http::AnswerHead& head, const std::string& body)
{
    it.exchange->onGone = nullptr;
    it.exchange->onDrained = nullptr;
    it.exchange->reply(head.status, answerHeaders(head), body, head.length);
    removeRequest(it);
}

// The caller gets the reason of the first refusal, with the shortest Retry-After of all refusals.
void Ingress::recordRefusal(ActiveRequest& it, const base::Error& error)
{
    if (!base::info(error.code).notRun)
        return;
    if (!it.firstRefusal)
        it.firstRefusal = error;
    else if (error.retryAfter.ms > 0 && (it.firstRefusal->retryAfter.ms == 0 || error.retryAfter < it.firstRefusal->retryAfter))
        it.firstRefusal->retryAfter = error.retryAfter;
}

// Reports the first refusal rather than NoUpstream, since its reason and Retry-After are more useful.
void Ingress::onNoUpstreamLeft(ActiveRequest& it)
{
    event_del(it.hedgeTimer);
    base::Error last = it.firstRefusal.value_or(base::fail(Code::NoUpstream, "no upstream of " + it.call.service.text + " is available", startupRetryAfter));
    if (const auto blocked = findBlock(it))
        last = *blocked;
    last.code = policy::finalCode(it.mayHaveRun, last.code);
    failRequest(it, last);
}

void Ingress::onFailedAttempt(ActiveRequest& it, const base::Error& error)
{
    event_del(it.hedgeTimer);
    if (it.streaming && !takeBackStream(it, error))
        return abortStream(it, error);
    recordRefusal(it, error);
    const policy::RetryDecision decision = decideRetry(it, error);
    if (decision.retry)
        return retryAfterPause(it, error, decision.after);
    base::Error last = error;
    last.code = policy::finalCode(it.mayHaveRun, decision.code);
    if (it.firstRefusal)
        last.retryAfter = it.firstRefusal->retryAfter;
    failRequest(it, last);
}

policy::RetryDecision Ingress::decideRetry(const ActiveRequest& it, const base::Error& error)
{
    policy::FailedAttempt failed;
    failed.idempotent = it.route->idempotent;
    failed.callerReturned = it.earlierWait.ms > 0 || it.call.internal; // the calls of a run do not return
    failed.code = error.code;
    failed.attempts = it.attemptCount;
    failed.deadline = it.call.deadline;
    failed.expected = it.route->expected;
    failed.maxAttempts = it.route->maxAttempts;
    return policy::mayRetry(m_retries[it.call.service], failed, base::steadyNow(), inner::randomNumber());
}

void Ingress::retryAfterPause(ActiveRequest& it, const base::Error& error, Duration pause)
{
    ++m_counts.retried;
    base::logRequest(base::Event::RequestRetried, it.name,
        { { "code", static_cast<int64_t>(error.code) }, { "why", error.text }, { "tries", it.attemptCount }, { "after_ms", pause.ms }, { "budget_thousandths", policy::available(m_retries[it.call.service], base::steadyNow()) } });
    if (pause.ms <= 0)
        return send(it);
    it.retryPending = true;
    const timeval wait = base::toTimeval(pause);
    event_add(it.timer, &wait);
}

// The process exits at the graceful shutdown timeout even if requests are active: an answer may be delayed for seconds behind
// others on a congested link. A final answer tells the caller that the outcome is unknown; otherwise its connection would
// just close.
void Ingress::answerPendingRequests()
{
    std::vector<uint64_t> open;
    for (const auto& [id, it] : m_calls)
        open.push_back(id);
    for (const uint64_t id : open) {
        ActiveRequest* it = find(id);
        if (!it || !it->exchange)
            continue;
        const bool mayHaveRun = it->mayHaveRun || !it->activeAttempts.empty();
        const base::Error error = mayHaveRun ? base::fail(Code::OutcomeUnknown, "this node stopped before the answer arrived") : base::fail(Code::Draining, "this node is stopping");
        if (it->streaming && !takeBackStream(*it, error))
            continue;
        cancelAll(*it);
        failRequest(*it, error);
    }
}

void Ingress::failRequest(ActiveRequest& it, const base::Error& error)
{
    // A refusal applies to all requests that share the run; after any other failure each of them is sent on its own.
    const bool notRun = base::info(error.code).notRun;
    const auto sharers = it.awaitingSharedRun ? std::vector<policy::RequestId> {} : policy::ended(m_collapse, { it.id });
    if (it.awaitingSharedRun)
        policy::leave(m_collapse, { it.id });
    for (const policy::RequestId& id : sharers) {
        ActiveRequest* other = id.value == it.id ? nullptr : find(id.value);
        if (other && notRun)
            answerError(*other, error);
        else if (other && !joinSharedRun(*other))
            send(*other);
    }
    if (!it.exchange)
        return removeRequest(it);
    const bool keyed = m_settings.features.claims && !it.route->idempotent && !it.call.key.empty();
    const bool keepersQueried = error.code == Code::NoKeepers || error.code == Code::KeyReusedDifferently;
    if (keyed && notRun && !keepersQueried)
        return verifyNotRun(it, error);
    answerError(it, error);
}

// This send did not run, but an earlier send with the same key may have run and its answer may have been lost. If the caller
// gets "not run", it might resend under a new key, and the request would run twice. So a claim is requested from the keepers:
// if it is granted (and then released), no send has run; a recorded answer is returned instead of the refusal; otherwise the
// outcome remains unknown.
void Ingress::verifyNotRun(ActiveRequest& it, const base::Error& error)
{
    event_del(it.timer);
    const uint64_t id = it.id;
    auto claim = std::make_shared<ClaimId>(0);
    *claim = m_claims->start({ it.call.service, it.call.caller, it.call.key }, Claims::digestOf(it.call), Duration { 0 },
        [this, id, claim, error](const policy::ClaimRound& round) {
            if (round.decision == policy::ClaimDecision::Run)
                m_claims->end(*claim, policy::ClaimEnd::NotStarted, {});
            auto found = m_calls.find(id);
            if (found != m_calls.end())
                onNotRunVerified(*found->second, error, round);
        });
}

void Ingress::onNotRunVerified(ActiveRequest& it, const base::Error& error, const policy::ClaimRound& round)
{
    const bool recorded = round.decision == policy::ClaimDecision::AnswerRecorded && round.outcome->bodyKept;
    if (!recorded) {
        const bool proven = round.decision == policy::ClaimDecision::Run || round.decision == policy::ClaimDecision::NotRun;
        return answerError(it, proven ? error : base::fail(round.decision == policy::ClaimDecision::AnswerRecorded ? Code::OutcomeUnknown : round.code, error.text + "; an earlier send may have run: " + round.reason, error.retryAfter));
    }
    http::AnswerHead head;
    head.status = round.outcome->status;
    for (const auto& [name, value] : round.outcome->headers)
        head.headers.push_back({ name, value });
    head.headers.push_back({ "Appletally-Recorded", "1" });
    ++m_counts.answered;
    replyBuffered(it, head, round.outcome->body);
}

void Ingress::reply(http::CallerExchange& exchange, const base::Error& error, bool notRun, bool stopsRetries)
{
    replyError(exchange, m_settings.dialect, error, notRun, stopsRetries);
}

void Ingress::answerError(ActiveRequest& it, const base::Error& error)
{
    const bool notRun = base::info(error.code).notRun;
    ++(notRun ? m_counts.refused : m_counts.unknown);
    if (notRun)
        ++m_counts.refusedBy[{ it.call.service, error.code }];
    base::logRequest(notRun ? base::Event::RequestRefused : base::Event::OutcomeLost, it.name,
        { { "route", it.route->name.text }, { "digest", digestText(it.digest) }, { "code", static_cast<int64_t>(error.code) }, { "why", error.text }, { "tries", it.attemptCount }, { "took_ms", (base::steadyNow() - it.startedAt).ms },
            { "left_ms", (it.call.deadline - base::steadyNow()).ms }, { "retry_after_ms", error.retryAfter.ms }, { "config_version", static_cast<int64_t>(it.snapshot->version.value) } });
    it.exchange->onGone = nullptr;
    it.exchange->onDrained = nullptr;
    reply(*it.exchange, error, notRun, policy::stopsRetriesAbove(error.code));
    removeRequest(it);
}

void Ingress::removeRequest(ActiveRequest& it)
{
    // A request that ends without an answer must not remain registered as a run that others wait for.
    policy::leave(m_collapse, { it.id });
    m_calls.erase(it.id);
}

} // namespace appletally::node
