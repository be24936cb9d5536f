// Handles a caller's request from arrival to its attempts at upstreams.
#include "appletally/node/active_request.h"

#include "appletally/base/log.h"
#include "appletally/base/loop_time.h"
#include "appletally/inner/cluster_key.h"
#include "appletally/node/ingress_reply.h"
#include "appletally/node/request_digest.h"
#include "appletally/policy/planned_stop.h"

#include <algorithm>
#include <strings.h>

namespace appletally::node {

using base::Code;
using base::Duration;
using base::Time;
using policy::AnswerKind;

constexpr size_t maxKeyBytes = 256;
constexpr Duration oneWayLatency { 1 }; // latency between two availability zones: 0.5 to 1.5 ms, rounded
constexpr uint8_t maxCallDepth = 16; // legitimate calls are up to 7 deep; more than twice that is taken for a loop

Ingress::ActiveRequest* Ingress::find(uint64_t id)
{
    auto it = m_calls.find(id);
    return it == m_calls.end() ? nullptr : it->second.get();
}

const config::Route* Ingress::routeOf(const http::CallerRequest& request) const
{
    static const std::string none;
    const std::string* host = http::findHeader(request.headers, "Host");
    return m_snapshot ? config::match(m_index, host ? *host : none, request.method, request.path) : nullptr;
}

// Before the configuration no route is known; the limit is checked again when the request is served.
size_t Ingress::bodyLimit(const http::CallerRequest& request) const
{
    constexpr size_t unroutedBodyBytes = 1024 * 1024; // it is read so that the caller gets to know that there is no route
    const config::Route* route = routeOf(request);
    return route ? route->maxRequestBody.count : (m_snapshot ? unroutedBodyBytes : SIZE_MAX);
}

void Ingress::refuse(http::CallerExchange& exchange, Code code, const std::string& why, Duration retryAfter)
{
    const http::CallerRequest& request = exchange.request();
    const bool keyed = m_settings.features.claims && http::findHeader(request.headers, "Idempotency-Key");
    ++m_counts.refused;
    ++m_counts.refusedBy[{ {}, code }];
    base::logRequest(base::Event::RequestRefused, requestLogName(request.headers, m_settings.dialect.requestId, m_lastId),
        { { "code", static_cast<int64_t>(code) }, { "why", why }, { "config_version", static_cast<int64_t>(m_snapshot ? m_snapshot->version.value : 0) } });
    // An earlier send of a keyed request may have run elsewhere, and the keepers have not been queried here.
    reply(exchange, base::fail(code, why, retryAfter), base::info(code).notRun && !keyed, false);
}

void Ingress::setConfigurationExpected(bool expected) { m_earlyRequests.setConfigurationExpected(expected); }

void Ingress::open()
{
    m_open = true;
    m_earlyRequests.serveAll();
}

void Ingress::onRequest(http::CallerExchange& exchange)
{
    const Duration timeLeft { headerNumber(http::findHeader(exchange.request().headers, m_settings.dialect.timeLeft), 0) };
    if (!m_open && m_earlyRequests.enqueue(exchange, timeLeft))
        return;
    serve(exchange, base::steadyNow());
}

void Ingress::serve(http::CallerExchange& exchange, Time arrivedAt)
{
    const http::CallerRequest& request = exchange.request();
    if (!m_snapshot)
        return refuse(exchange, Code::NotReady, "no proven configuration yet", startupRetryAfter);
    const config::Route* route = routeOf(request);
    if (!route)
        return refuse(exchange, Code::NoRoute, "no route for " + request.method + " " + request.path);
    const uint64_t bodyBytes = request.largeBody ? request.largeBody->size() : request.body.size();
    if (bodyBytes > route->maxRequestBody.count)
        return refuse(exchange, Code::BodyTooLarge, "body larger than " + std::to_string(route->maxRequestBody.count) + " bytes");
    const std::string* key = http::findHeader(request.headers, "Idempotency-Key");
    if (key && (key->empty() || key->size() > maxKeyBytes))
        return refuse(exchange, Code::KeySizeInvalid, "Idempotency-Key must have 1 to 256 bytes");
    const Dialect& names = m_settings.dialect;
    const int64_t depth = names.depth.empty() ? 0 : headerNumber(http::findHeader(request.headers, names.depth), 0);
    if (depth < 0 || depth > maxCallDepth)
        return refuse(exchange, Code::RequestMalformed, "the call depth is out of range; calls may form a loop");
    ActiveRequest& it = begin(exchange, *route, static_cast<uint8_t>(depth), arrivedAt);
    if (!endsBeforeStop(it))
        return failRequest(it, base::fail(Code::Draining, "this node is stopping, and the request would not end before"));
    if (m_stop)
        it.call.deadline = std::min(it.call.deadline, *m_stop);
    if (!joinSharedRun(it))
        send(it);
}

bool Ingress::endsBeforeStop(const ActiveRequest& it) const
{
    if (!m_stop)
        return true;
    const auto seen = m_slowAnswers.find(it.route->name);
    const auto usual = seen == m_slowAnswers.end() ? std::nullopt : policy::usualLatency(seen->second);
    const Time now = base::steadyNow();
    return policy::endsBefore(*m_stop, { usual, it.route->expected, it.call.deadline - now, it.route->idempotent }, now);
}

// A caller that retries after a refusal has already waited, but sends only its remaining time. The longest timeout seen on
// the route is taken as the initial timeout of all its callers.
Duration Ingress::estimateEarlierWait(const ActiveRequest& it, Duration requestedTimeout)
{
    Duration& longest = m_longestTimeouts[it.route->name];
    longest = std::max(longest, requestedTimeout);
    return longest - requestedTimeout;
}

Ingress::ActiveRequest& Ingress::begin(http::CallerExchange& exchange, const config::Route& route, uint8_t depth, Time arrivedAt)
{
    const http::CallerRequest& request = exchange.request();
    auto made = std::make_unique<ActiveRequest>();
    ActiveRequest& it = *made;
    it.id = ++m_lastId;
    it.name = requestLogName(request.headers, m_settings.dialect.requestId, it.id);
    it.ingress = this;
    it.exchange = &exchange;
    it.snapshot = m_snapshot;
    it.route = &route;
    it.startedAt = arrivedAt;
    it.startedMicros = base::steadyMicros() - (base::steadyNow() - arrivedAt).ms * 1000;
    const std::string* key = http::findHeader(request.headers, "Idempotency-Key");
    const Dialect& names = m_settings.dialect;
    const std::string* caller = names.caller.empty() ? nullptr : http::findHeader(request.headers, names.caller);
    const int64_t requestedTimeout = headerNumber(http::findHeader(request.headers, names.timeLeft), route.timeout.ms);
    it.call.service = route.splits.empty() ? route.service : policy::nextSplit(m_splitTurns[route.name], route.splits);
    it.call.route = route.name;
    it.call.method = request.method;
    it.call.target = request.target;
    it.call.headers = request.headers;
    if (!names.service.empty()) {
        std::erase_if(it.call.headers, [&](const http::HeaderField& field) { return http::sameName(field.name, names.service); });
        it.call.headers.push_back({ names.service, m_settings.service.text });
    }
    it.call.body = exchange.takeBody();
    if (request.largeBody) {
        it.body = request.largeBody;
        it.call.bodyBytes = it.body->size();
        it.call.bodyDigest = it.body->digest();
    }
    it.digest = digestOf(it.call);
    it.call.deadline = it.startedAt + Duration { std::clamp<int64_t>(requestedTimeout, 1, route.timeout.ms) };
    it.call.caller = { caller ? *caller : request.peerIp };
    it.call.key = { key ? *key : "" };
    it.call.internal = depth > 0;
    it.call.configVersion = m_snapshot->version;
    it.call.depth = depth;
    it.call.idempotent = route.idempotent;
    it.call.priority = route.priority;
    it.call.expected = route.expected;
    it.earlierWait = estimateEarlierWait(it, Duration { requestedTimeout });
    if (route.target.ms > 0)
        it.call.targetDeadline = it.startedAt + route.target - it.earlierWait;
    const auto timerOf = [&](event_callback_fn function) { return event_new(m_loop, -1, 0, function, &it); };
    it.timer = timerOf([](evutil_socket_t, short, void* arg) {
        auto* self = static_cast<ActiveRequest*>(arg);
        self->ingress->onTimer(*self);
    });
    it.hedgeTimer = timerOf([](evutil_socket_t, short, void* arg) {
        auto* self = static_cast<ActiveRequest*>(arg);
        self->ingress->onHedgeTimer(*self);
    });
    exchange.onGone = [this, &it] { onCallerGone(it); };
    exchange.onDrained = [this, &it] { onDrained(it); };
    m_calls[it.id] = std::move(made);
    return it;
}

// Includes all headers except timeout and depth, on which no answer depends.
static policy::ReadKey readKeyOf(const Call& call, const Dialect& names)
{
    std::string request = call.method + " " + call.target;
    for (const http::HeaderField& it : call.headers) {
        if (!http::sameName(it.name, names.timeLeft) && !http::sameName(it.name, names.depth))
            request += "\n" + it.name + ":" + it.value;
    }
    return { call.caller, call.route, request };
}

bool Ingress::joinSharedRun(ActiveRequest& it)
{
    const bool isRead = m_settings.features.sharedReads && it.call.method == "GET" && it.route->idempotent && it.call.body.empty() && !it.body;
    if (!isRead || policy::join(m_collapse, readKeyOf(it.call, m_settings.dialect), { it.id }))
        return false;
    it.awaitingSharedRun = true;
    const timeval left = base::toTimeval(it.call.deadline - base::steadyNow());
    event_add(it.timer, &left);
    return true;
}

void Ingress::send(ActiveRequest& it)
{
    const Time now = base::steadyNow();
    it.awaitingSharedRun = false;
    const timeval left = base::toTimeval(it.call.deadline - now);
    event_add(it.timer, &left);
    const auto pick = pickFor(it);
    if (!pick)
        return onNoUpstreamLeft(it);
    if (it.attemptCount == 0) {
        policy::accrue(m_retries[it.call.service], now);
        policy::accrue(m_hedges[it.call.service], now);
    }
    armHedge(it);
    startAttempt(it, *pick, false);
}

// Time until the target latency is exceeded, or until the deadline if it has been. Empty: the route has no target.
static std::optional<Duration> remainingTargetTime(const Call& call, Time now)
{
    if (!call.targetDeadline)
        return {};
    return (now < *call.targetDeadline ? *call.targetDeadline : call.deadline) - now;
}

// Excludes unresponsive hosts as long as there are others; the endpoint records report them only seconds later.
std::optional<policy::Pick> Ingress::pickFor(const ActiveRequest& it)
{
    policy::Router& router = m_routers[it.call.service];
    const Time now = base::steadyNow();
    std::vector<base::HostId> unusable = it.attemptedHosts;
    const std::vector<base::HostId> blocked = blockedHosts(it);
    unusable.insert(unusable.end(), blocked.begin(), blocked.end());
    policy::PickRequest request { it.route->name, unusable, {}, it.route->idempotent, remainingTargetTime(it.call, now) };
    if (isSuspect(it))
        request.suspect = it.digest;
    const std::vector<base::HostId>& silent = m_peers->suspects();
    if (!silent.empty()) {
        std::vector<base::HostId> excluded = unusable;
        excluded.insert(excluded.end(), silent.begin(), silent.end());
        request.excluded = excluded;
        if (auto pick = policy::pick(router, request, now, inner::randomNumber()))
            return pick;
        request.excluded = unusable;
    }
    return policy::pick(router, request, now, inner::randomNumber());
}

// A host froze, or a device on the path lost the state of the connection: no error is reported. A read that waited for the
// link's own timeout would miss its deadline; since it may run twice, a copy is sent elsewhere now.
void Ingress::onSuspected(const base::HostId& host)
{
    std::vector<uint64_t> there;
    for (const auto& [id, it] : m_calls) {
        const bool waits = it->route->idempotent && !it->streaming && it->activeAttempts.size() == 1 && it->activeAttempts[0]->pick.host == host;
        if (waits)
            there.push_back(id);
    }
    for (const uint64_t id : there) {
        ActiveRequest* it = find(id);
        if (!it || it->activeAttempts.size() != 1)
            continue;
        copyElsewhere(*it, base::fail(Code::OutcomeUnknown, host.text + " is unresponsive"));
    }
}

// Sends a copy of a read whose attempts are all late or at silent hosts. The earlier attempts go on: their upstreams may be at
// work, and their answers may only be late.
void Ingress::copyElsewhere(ActiveRequest& it, const base::Error& error)
{
    if (isSuspect(it))
        return; // its upstream may be silent because it ends
    const auto other = pickFor(it);
    if (!other)
        return;
    if (decideRetry(it, error).retry)
        return startAttempt(it, *other, true);
    policy::answered(m_routers[it.call.service], { other->host, it.route->name, AnswerKind::Cancelled, {}, {} }, base::steadyNow());
}

bool Ingress::waitsForSilentHosts(const ActiveRequest& it) const
{
    const std::vector<base::HostId>& suspects = m_peers->suspects();
    return it.route->idempotent && !it.streaming
        && std::all_of(it.activeAttempts.begin(), it.activeAttempts.end(), [&](const auto& attempt) { return std::find(suspects.begin(), suspects.end(), attempt->pick.host) != suspects.end(); });
}

// Only for the new version of a rollout; no other version is evaluated.
std::optional<policy::CallerBaseline> Ingress::baselineFor(const ActiveRequest& it, const policy::Pick& pick) const
{
    for (const auto& [id, rollout] : it.snapshot->rollouts) {
        if (rollout.service != it.call.service || rollout.to != pick.version)
            continue;
        const auto old = m_versionViews.find({ it.route->name, rollout.from });
        const auto fresh = m_versionViews.find({ it.route->name, rollout.to });
        if (old == m_versionViews.end())
            return std::nullopt;
        return policy::baselineOf(old->second, fresh == m_versionViews.end() ? policy::VersionStats {} : fresh->second);
    }
    return std::nullopt;
}

void Ingress::startAttempt(ActiveRequest& it, const policy::Pick& pick, bool isHedge)
{
    const Time now = base::steadyNow();
    ++it.attemptCount;
    it.attemptedHosts.push_back(pick.host);
    it.activeAttempts.push_back(std::make_unique<Attempt>());
    Attempt& made = *it.activeAttempts.back();
    made.number = ++m_lastAttemptNumber;
    made.pick = pick;
    made.sentAt = now;
    made.isHedge = isHedge;
    made.local = pick.host == m_settings.host;
    it.call.attempt = { inner::randomNumber() };

    // Callbacks look up the request and the attempt by number, since both may have ended in the meantime.
    const auto with = [this, id = it.id, number = made.number](auto function) {
        ActiveRequest* active = find(id);
        if (!active)
            return;
        for (const auto& attempt : active->activeAttempts) {
            if (attempt->number == number)
                return function(*active, *attempt);
        }
    };
    logSent(it, made);
    CallHandler handler;
    handler.head = [this, with](const http::AnswerHead& head) { with([&](ActiveRequest& active, Attempt& attempt) { onHead(active, attempt, head); }); };
    handler.body = [this, with](evbuffer* buf) { with([&](ActiveRequest& active, Attempt& attempt) { onBody(active, attempt, buf); }); };
    handler.end = [this, with](const CallEnd& end) { with([&](ActiveRequest& active, Attempt& attempt) { onEnd(active, attempt, end); }); };
    handler.wantBody = [this, with](uint64_t bytes) { with([&](ActiveRequest& active, Attempt& attempt) { sendBody(active, attempt, bytes); }); };
    Call call = it.call;
    call.baseline = baselineFor(it, pick);
    call.suspect = m_suspectRequests->evidenceOf({ it.digest, pick.version });
    call.deadline = now + policy::timeLeft(it.call.deadline, now, made.local ? Duration { 0 } : oneWayLatency);
    if (made.local) {
        made.callId = m_owner->start(std::move(call), std::move(handler));
        return;
    }
    const base::Address& address = m_routers[it.call.service].targets.at(pick.host).endpoint.inner;
    made.callId = m_peers->start(pick.host, address, call, it.route->idempotent, std::move(handler));
}

void Ingress::logSent(const ActiveRequest& it, const Attempt& attempt) const
{
    const auto& targets = m_routers.at(it.call.service).targets;
    const auto found = targets.find(attempt.pick.host);
    if (found == targets.end())
        return;
    const policy::Target& target = found->second;
    base::logRequest(base::Event::RequestSent, it.name,
        { { "route", it.route->name.text }, { "service", it.call.service.text }, { "digest", digestText(it.digest) }, { "upstream", attempt.pick.host.text }, { "version", attempt.pick.version.text }, { "try", it.attemptCount },
            { "left_ms", (it.call.deadline - attempt.sentAt).ms }, { "in_flight", target.inFlight }, { "running", target.load.running }, { "waiting", target.load.waiting }, { "slots", target.load.slots },
            { "load_age_ms", (attempt.sentAt - target.loadAt).ms }, { "config_version", static_cast<int64_t>(it.snapshot->version.value) } });
}

void Ingress::armHedge(ActiveRequest& it)
{
    if (!m_settings.features.hedges)
        return;
    const auto after = policy::hedgeDelay(it.route->idempotent, m_slowAnswers[it.route->name], it.call.deadline, base::steadyNow());
    if (!after)
        return;
    const timeval wait = base::toTimeval(*after);
    event_add(it.hedgeTimer, &wait);
}

void Ingress::onHedgeTimer(ActiveRequest& it)
{
    const int attempts = it.spentAttempts + static_cast<int>(it.activeAttempts.size());
    const bool useful = it.activeAttempts.size() == 1 && !it.hedged && !it.streaming && attempts < it.route->maxAttempts && !isSuspect(it);
    if (!useful)
        return;
    const Time now = base::steadyNow();
    const auto pick = policy::pick(m_routers[it.call.service], { it.route->name, it.attemptedHosts, it.activeAttempts[0]->pick.version, false }, now, inner::randomNumber());
    if (!pick)
        return;
    if (!policy::acquireHedge(m_hedges[it.call.service], m_retries[it.call.service], now, inner::randomNumber())) {
        policy::answered(m_routers[it.call.service], { pick->host, it.route->name, AnswerKind::Cancelled, {}, {} }, now);
        return;
    }
    ++m_counts.hedged;
    it.hedged = true;
    startAttempt(it, *pick, true);
}

void Ingress::onTimer(ActiveRequest& it)
{
    if (it.retryPending) {
        it.retryPending = false;
        return send(it);
    }
    const bool sent = !it.activeAttempts.empty() || it.awaitingSharedRun;
    cancelAll(it);
    const base::Error error = sent ? base::fail(Code::DeadlinePassed, "no answer before the deadline") : base::fail(Code::DeadlineTooNear, "no time left for an attempt");
    if (it.streaming && !takeBackStream(it, error))
        return abortStream(it, error);
    failRequest(it, error);
}

void Ingress::onCallerGone(ActiveRequest& it)
{
    ++m_counts.callerLeft;
    base::logRequest(base::Event::RequestCancelled, it.name, { { "route", it.route->name.text }, { "after_ms", (base::steadyNow() - it.startedAt).ms }, { "tries", it.attemptCount } });
    it.exchange = nullptr;
    const bool shared = m_collapse.keyByRequest.contains({ it.id });
    if (!shared || it.streaming)
        return abandon(it);
    const auto run = policy::leave(m_collapse, { it.id });
    const bool isRun = !it.awaitingSharedRun;
    if (run) {
        if (ActiveRequest* sharedRun = find(run->value))
            abandon(*sharedRun);
    }
    // A run that other callers share continues without its own caller.
    if (!isRun)
        removeRequest(it);
}

void Ingress::abandon(ActiveRequest& it)
{
    cancelAll(it);
    removeRequest(it);
}

} // namespace appletally::node
