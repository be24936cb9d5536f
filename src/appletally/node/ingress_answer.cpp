// What comes back from a request's tries, and what its caller gets of it.
#include "appletally/node/active_request.h"

#include "appletally/base/log.h"
#include "appletally/base/loop_time.h"
#include "appletally/inner/cluster_key.h"
#include "appletally/node/ingress_reply.h"

#include <algorithm>

namespace appletally::node {

using base::Code;
using base::Duration;
using policy::AnswerKind;

void Ingress::onHead(Active&, Try& tried, const http::AnswerHead& head)
{
    tried.head = head;
    if (head.length > 0 && head.length <= heldAnswerBytes)
        tried.held.reserve(static_cast<size_t>(head.length));
}

void Ingress::onBody(Active& it, Try& tried, evbuffer* buf)
{
    const size_t n = evbuffer_get_length(buf);
    tried.bodyBytes += n;
    tried.uncredited += n;
    if (it.streaming) {
        it.exchange->streamBody(buf);
        if (it.exchange->backlog() < bodyWindow / 2)
            passCredit(tried);
        return;
    }
    const int64_t size = tried.head->length >= 0 ? tried.head->length : static_cast<int64_t>(tried.bodyBytes);
    if (size > heldAnswerBytes)
        return startStream(it, tried, buf);
    const size_t before = tried.held.size();
    tried.held.resize(before + n);
    evbuffer_remove(buf, tried.held.data() + before, n);
    passCredit(tried);
}

// From here on this try is the answer: any other copy ends, and whoever shared the run makes one of its own.
void Ingress::startStream(Active& it, Try& tried, evbuffer* buf)
{
    const std::vector<policy::RequestId> wanting = policy::ended(m_collapse, { it.id });
    for (const policy::RequestId& id : wanting) {
        Active* other = id.value == it.id ? nullptr : find(id.value);
        if (other)
            send(*other);
    }
    if (!it.exchange)
        return abandon(it);
    const auto winner = tried.number;
    for (size_t n = it.underWay.size(); n-- > 0;) {
        if (it.underWay[n]->number != winner)
            cancelTry(it, *it.underWay[n], AnswerKind::Cancelled);
    }
    it.streaming = true;
    it.exchange->startStream(tried.head->status, answerHeaders(*tried.head), tried.head->length);
    evbuffer* all = evbuffer_new();
    evbuffer_add(all, tried.held.data(), tried.held.size());
    evbuffer_add_buffer(all, buf);
    tried.held = {};
    it.exchange->streamBody(all);
    evbuffer_free(all);
    if (it.exchange->backlog() < bodyWindow / 2)
        passCredit(tried);
}

void Ingress::passCredit(Try& tried)
{
    if (tried.uncredited == 0)
        return;
    if (tried.local)
        m_owner->consumed(tried.callId, tried.uncredited);
    else
        m_peers->consumed(tried.callId, tried.uncredited);
    tried.uncredited = 0;
}

void Ingress::onDrained(Active& it)
{
    for (const auto& tried : it.underWay)
        passCredit(*tried);
}

void Ingress::settle(const Active& it, const Try& tried, AnswerKind kind, const CallEnd& end)
{
    const base::Time now = base::steadyNow();
    const Duration took = now - tried.sentAt;
    policy::answered(m_routers[it.call.service], { tried.pick.host, it.route->name, kind, took, end.load, { tried.bodyBytes }, Duration { end.runMicros / 1000 }, end.usualRun }, now);
    // A first try that lost against its copy counts as well, or the slowest would be missing from the estimate.
    const bool lostToHedge = kind == AnswerKind::Cancelled && it.tries == 2 && it.underWay.size() > 0;
    if (!tried.isHedge && (kind == AnswerKind::Good || lostToHedge))
        policy::observe(m_slowAnswers[it.route->name], took);
}

std::unique_ptr<Ingress::Try> Ingress::take(Active& it, const Try& tried)
{
    auto found = std::find_if(it.underWay.begin(), it.underWay.end(), [&](const auto& candidate) { return candidate.get() == &tried; });
    auto out = std::move(*found);
    it.underWay.erase(found);
    return out;
}

void Ingress::cancelTry(Active& it, Try& tried, AnswerKind kind)
{
    if (tried.local)
        m_owner->cancel(tried.callId);
    else
        m_peers->cancel(tried.callId);
    const auto ending = take(it, tried);
    settle(it, *ending, kind, {});
}

void Ingress::cancelAll(Active& it)
{
    const bool late = base::steadyNow() >= it.call.deadline;
    while (!it.underWay.empty())
        cancelTry(it, *it.underWay.back(), late ? AnswerKind::Silent : AnswerKind::Cancelled);
}

static AnswerKind kindOf(const base::Error& error)
{
    if (error.code == Code::NoUpstream)
        return AnswerKind::Absent;
    if (error.code == Code::OutcomeUnknown || error.code == Code::DeadlinePassed)
        return AnswerKind::Silent;
    return base::info(error.code).notRun ? AnswerKind::Refused : AnswerKind::Failed;
}

void Ingress::onEnd(Active& it, Try& tried, const CallEnd& end)
{
    std::optional<base::Error> error = end.error;
    if (!error && !tried.head)
        error = base::fail(Code::AnswerTruncated, "an end without a beginning");
    if (!error && tried.head->length >= 0 && it.call.method != "HEAD" && tried.bodyBytes != static_cast<uint64_t>(tried.head->length))
        error = base::fail(Code::AnswerTruncated, "the answer is shorter or longer than it said");
    const auto ending = take(it, tried);
    if (!error || !base::info(error->code).notRun)
        view(it, *ending, error || ending->head->status >= 500, end.runMicros);
    if (!error) {
        settle(it, *ending, ending->head->status >= 500 ? AnswerKind::Failed : AnswerKind::Good, end);
        return onWhole(it, *ending);
    }
    settle(it, *ending, kindOf(*error), end);
    it.mayHaveRun |= !base::info(error->code).notRun;
    if (error->code == Code::VersionRolledBack)
        stopVersion(it, ending->pick);
    if (it.underWay.empty())
        onFailedTry(it, *error); // else the other copy decides
}

void Ingress::view(const Active& it, const Try& tried, bool failed, int64_t runMicros)
{
    for (const auto& [id, rollout] : it.snapshot->rollouts) {
        if (rollout.service != it.call.service)
            continue;
        const base::UpstreamVersion& other = tried.pick.version == rollout.to ? rollout.from : rollout.to;
        policy::observe(m_views[{ it.route->name, tried.pick.version }], failed, Duration { runMicros / 1000 }, m_views[{ it.route->name, other }].answers);
    }
}

void Ingress::onWhole(Active& it, Try& tried)
{
    cancelAll(it);
    ++m_counts.answered;
    m_latency.add(base::steadyMicros() - it.beganMicros);
    base::logRequest(base::Event::RequestAnswered, it.name,
        { { "route", it.route->name.text }, { "upstream", tried.pick.host.text }, { "status", tried.head->status }, { "took_ms", (base::steadyNow() - it.began).ms }, { "tries", it.tries } });
    if (it.streaming) {
        it.exchange->onGone = nullptr;
        it.exchange->onDrained = nullptr;
        it.exchange->endStream();
        return forget(it);
    }
    for (const policy::RequestId& id : policy::ended(m_collapse, { it.id })) {
        Active* other = id.value == it.id ? nullptr : find(id.value);
        if (!other)
            continue;
        ++m_counts.shared;
        giveHeld(*other, *tried.head, tried.held);
    }
    if (it.exchange)
        giveHeld(it, *tried.head, tried.held);
    else
        forget(it);
}

void Ingress::giveHeld(Active& it, const http::AnswerHead& head, const std::string& body)
{
    it.exchange->onGone = nullptr;
    it.exchange->onDrained = nullptr;
    it.exchange->reply(head.status, answerHeaders(head), body);
    forget(it);
}

// The first reason is the caller's to hear; when to come back, whoever has room first says.
void Ingress::noteRefusal(Active& it, const base::Error& error)
{
    if (!base::info(error.code).notRun)
        return;
    if (!it.refusal)
        it.refusal = error;
    else if (error.retryAfter.ms > 0 && (it.refusal->retryAfter.ms == 0 || error.retryAfter < it.refusal->retryAfter))
        it.refusal->retryAfter = error.retryAfter;
}

// That nobody else is left says less than what the first one refused it for, and when to come back.
void Ingress::onNobodyLeft(Active& it)
{
    event_del(it.hedgeTimer);
    base::Error last = it.refusal.value_or(base::fail(Code::NoUpstream, "no upstream of " + it.call.service.text + " can take it", startingPause));
    last.code = policy::finalCode(it.mayHaveRun, last.code);
    giveUp(it, last);
}

void Ingress::onFailedTry(Active& it, const base::Error& error)
{
    event_del(it.hedgeTimer);
    if (it.streaming) {
        ++m_counts.unknown;
        it.exchange->abort();
        return forget(it);
    }
    noteRefusal(it, error);
    policy::FailedTry failed;
    failed.idempotent = it.route->idempotent;
    failed.code = error.code;
    failed.tries = it.tries;
    failed.deadline = it.call.deadline;
    failed.expected = it.route->expected;
    failed.mostTries = it.route->mostAttempts;
    const auto decision = policy::mayRetry(m_retries[it.call.service], failed, base::steadyNow(), inner::randomNumber());
    if (!decision.retry) {
        base::Error last = error;
        last.code = policy::finalCode(it.mayHaveRun, decision.code);
        if (it.refusal)
            last.retryAfter = it.refusal->retryAfter;
        return giveUp(it, last);
    }
    ++m_counts.retried;
    base::logRequest(base::Event::RequestRetried, it.name,
        { { "code", static_cast<int64_t>(error.code) }, { "why", error.text }, { "tries", it.tries }, { "after_ms", decision.after.ms }, { "budget_thousandths", m_retries[it.call.service].tokens } });
    if (decision.after.ms <= 0)
        return send(it);
    it.waitsToRetry = true;
    const timeval wait = base::toTimeval(decision.after);
    event_add(it.timer, &wait);
}

// A stop ends at its bound, whoever still waits. An answer may be stuck behind others on a crowded line for seconds; cut off
// without a word the caller learns nothing and its connection just ends, told now it knows that the outcome is unknown.
void Ingress::answerAll()
{
    std::vector<uint64_t> open;
    for (const auto& [id, it] : m_calls)
        open.push_back(id);
    for (const uint64_t id : open) {
        Active* it = find(id);
        if (!it || it->streaming || !it->exchange)
            continue;
        const bool mayHaveRun = it->mayHaveRun || !it->underWay.empty();
        cancelAll(*it);
        giveUp(*it, mayHaveRun ? base::fail(Code::OutcomeUnknown, "this node ends before the answer is here") : base::fail(Code::Draining, "this node ends"));
    }
}

void Ingress::giveUp(Active& it, const base::Error& error)
{
    // What was refused for all is refused for those who share the run; after anything else each makes a run of its own.
    const bool notRun = base::info(error.code).notRun;
    const auto wanting = it.waitsForRun ? std::vector<policy::RequestId> {} : policy::ended(m_collapse, { it.id });
    if (it.waitsForRun)
        policy::left(m_collapse, { it.id });
    for (const policy::RequestId& id : wanting) {
        Active* other = id.value == it.id ? nullptr : find(id.value);
        if (other && notRun)
            answerError(*other, error);
        else if (other && !share(*other))
            send(*other);
    }
    if (!it.exchange)
        return forget(it);
    const bool keyed = m_settings.features.claims && !it.route->idempotent && !it.call.key.empty();
    const bool askedKeepers = error.code == Code::NoKeepers || error.code == Code::KeyReusedDifferently;
    if (keyed && notRun && !askedKeepers)
        return proveNotRun(it, error);
    answerError(it, error);
}

// This send did not run, but the caller may have sent its key before, lost the answer, and now read "not run" as leave
// to send it under a new key: then it runs twice. So the key's keepers are asked. A claim that is granted and given back
// proves that none has run; a recorded answer is better than any refusal; else the outcome stays unknown.
void Ingress::proveNotRun(Active& it, const base::Error& error)
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
                onProof(*found->second, error, round);
        });
}

void Ingress::onProof(Active& it, const base::Error& error, const policy::ClaimRound& round)
{
    const bool recorded = round.decision == policy::ClaimDecision::AnswerRecorded && round.outcome->bodyKept;
    if (!recorded) {
        const bool proven = round.decision == policy::ClaimDecision::Run || round.decision == policy::ClaimDecision::NotRun;
        return answerError(it, proven ? error : base::fail(round.decision == policy::ClaimDecision::AnswerRecorded ? Code::OutcomeUnknown : round.code, error.text + "; an earlier send may have run: " + round.why, error.retryAfter));
    }
    http::AnswerHead head;
    head.status = round.outcome->status;
    for (const auto& [name, value] : round.outcome->headers)
        head.headers.push_back({ name, value });
    head.headers.push_back({ "Appletally-Recorded", "1" });
    ++m_counts.answered;
    giveHeld(it, head, round.outcome->body);
}

void Ingress::reply(http::CallerExchange& exchange, const base::Error& error, bool notRun, bool stopsRetries)
{
    replyError(exchange, m_settings.dialect, error, notRun, stopsRetries);
}

void Ingress::answerError(Active& it, const base::Error& error)
{
    const bool notRun = base::info(error.code).notRun;
    ++(notRun ? m_counts.refused : m_counts.unknown);
    if (notRun)
        ++m_counts.refusedBy[{ it.call.service, error.code }];
    base::logRequest(notRun ? base::Event::RequestRefused : base::Event::OutcomeLost, it.name,
        { { "route", it.route->name.text }, { "code", static_cast<int64_t>(error.code) }, { "why", error.text }, { "tries", it.tries }, { "took_ms", (base::steadyNow() - it.began).ms },
            { "left_ms", (it.call.deadline - base::steadyNow()).ms }, { "retry_after_ms", error.retryAfter.ms }, { "config_version", static_cast<int64_t>(it.snapshot->version.value) } });
    it.exchange->onGone = nullptr;
    it.exchange->onDrained = nullptr;
    reply(*it.exchange, error, notRun, policy::stopsRetriesAbove(error.code));
    forget(it);
}

void Ingress::forget(Active& it)
{
    // A request that leaves by another way than its answer must not stay as a run that others wait for.
    policy::left(m_collapse, { it.id });
    m_calls.erase(it.id);
}

} // namespace appletally::node
