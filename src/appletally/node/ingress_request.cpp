// A caller's request from its arrival to its tries at upstreams.
#include "appletally/node/active_request.h"

#include "appletally/base/log.h"
#include "appletally/base/loop_time.h"
#include "appletally/inner/cluster_key.h"
#include "appletally/node/ingress_reply.h"

#include <algorithm>
#include <strings.h>

namespace appletally::node {

using base::Code;
using base::Duration;
using base::Time;
using policy::AnswerKind;

constexpr size_t keyBytesLimit = 256;
constexpr Duration oneWay { 1 }; // between two availability zones, rounded; the brief's are 0.5 and 1.5 ms apart
constexpr uint8_t mostDepth = 16; // calls are up to 7 deep; more than twice that is a loop

Ingress::Active* Ingress::find(uint64_t id)
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

size_t Ingress::bodyLimit(const http::CallerRequest& request) const
{
    const config::Route* route = routeOf(request);
    return route ? route->mostRequestBody.count : SIZE_MAX; // without a route the listener's own limit holds
}

void Ingress::refuse(http::CallerExchange& exchange, Code code, const std::string& why, Duration retryAfter)
{
    const http::CallerRequest& request = exchange.request();
    const bool keyed = m_settings.features.claims && http::findHeader(request.headers, "Idempotency-Key");
    ++m_counts.refused;
    ++m_counts.refusedBy[{ {}, code }];
    base::logRequest(base::Event::RequestRefused, nameOf(request.headers, m_settings.dialect.requestId, m_lastId),
        { { "code", static_cast<int64_t>(code) }, { "why", why }, { "config_version", static_cast<int64_t>(m_snapshot ? m_snapshot->version.value : 0) } });
    // Of a keyed request an earlier send may have run elsewhere; nobody has been asked about that here.
    reply(exchange, base::fail(code, why, retryAfter), base::info(code).notRun && !keyed, false);
}

void Ingress::setConfigurationExpected(bool expected) { m_early.setExpected(expected); }

void Ingress::open()
{
    m_open = true;
    m_early.serveAll();
}

void Ingress::onRequest(http::CallerExchange& exchange)
{
    const Duration timeLeft { numberIn(http::findHeader(exchange.request().headers, m_settings.dialect.timeLeft), 0) };
    if (!m_open && m_early.keep(exchange, timeLeft))
        return;
    serve(exchange, base::steadyNow());
}

void Ingress::serve(http::CallerExchange& exchange, Time since)
{
    const http::CallerRequest& request = exchange.request();
    if (!m_snapshot)
        return refuse(exchange, Code::NotReady, "no proven configuration yet", startingPause);
    const config::Route* route = routeOf(request);
    if (!route)
        return refuse(exchange, Code::NoRoute, "no route for " + request.method + " " + request.path);
    const std::string* key = http::findHeader(request.headers, "Idempotency-Key");
    if (key && (key->empty() || key->size() > keyBytesLimit))
        return refuse(exchange, Code::KeySizeInvalid, "an Idempotency-Key has 1 to 256 bytes");
    const Dialect& names = m_settings.dialect;
    const int64_t depth = names.depth.empty() ? 0 : numberIn(http::findHeader(request.headers, names.depth), 0);
    if (depth < 0 || depth > mostDepth)
        return refuse(exchange, Code::RequestMalformed, "calls call each other in a circle");
    Active& it = begin(exchange, *route, static_cast<uint8_t>(depth), since);
    if (!share(it))
        send(it);
}

// A caller that comes back after a refusal has waited before. It says only how long it waits on; the longest that was seen
// on the route is how long they all do at first.
Duration Ingress::waitedBefore(const Active& it, Duration asked)
{
    Duration& longest = m_longestAsked[it.route->name];
    longest = std::max(longest, asked);
    return longest - asked;
}

Ingress::Active& Ingress::begin(http::CallerExchange& exchange, const config::Route& route, uint8_t depth, Time since)
{
    const http::CallerRequest& request = exchange.request();
    auto made = std::make_unique<Active>();
    Active& it = *made;
    it.id = ++m_lastId;
    it.name = nameOf(request.headers, m_settings.dialect.requestId, it.id);
    it.ingress = this;
    it.exchange = &exchange;
    it.snapshot = m_snapshot;
    it.route = &route;
    it.began = since;
    it.beganMicros = base::steadyMicros() - (base::steadyNow() - since).ms * 1000;
    const std::string* key = http::findHeader(request.headers, "Idempotency-Key");
    const Dialect& names = m_settings.dialect;
    const std::string* caller = names.caller.empty() ? nullptr : http::findHeader(request.headers, names.caller);
    const int64_t asked = numberIn(http::findHeader(request.headers, names.timeLeft), route.timeout.ms);
    it.call.service = route.splits.empty() ? route.service : policy::nextSplit(m_splitTurns[route.name], route.splits);
    it.call.route = route.name;
    it.call.method = request.method;
    it.call.target = request.target;
    it.call.headers = request.headers;
    if (!names.service.empty()) {
        std::erase_if(it.call.headers, [&](const http::HeaderField& field) { return http::sameName(field.name, names.service); });
        it.call.headers.push_back({ names.service, m_settings.service.text });
    }
    it.call.body = request.body;
    it.call.deadline = it.began + Duration { std::clamp<int64_t>(asked, 1, route.timeout.ms) };
    it.call.caller = { caller ? *caller : request.peerIp };
    it.call.key = { key ? *key : "" };
    it.call.internal = depth > 0;
    it.call.configVersion = m_snapshot->version;
    it.call.depth = depth;
    it.call.idempotent = route.idempotent;
    it.call.priority = route.priority;
    it.call.expected = route.expected;
    if (route.target.ms > 0)
        it.call.fullWorthBy = it.began + route.target - waitedBefore(it, Duration { asked });
    const auto timerOf = [&](event_callback_fn function) { return event_new(m_loop, -1, 0, function, &it); };
    it.timer = timerOf([](evutil_socket_t, short, void* arg) {
        auto* self = static_cast<Active*>(arg);
        self->ingress->onTimer(*self);
    });
    it.hedgeTimer = timerOf([](evutil_socket_t, short, void* arg) {
        auto* self = static_cast<Active*>(arg);
        self->ingress->onHedgeTimer(*self);
    });
    exchange.onGone = [this, &it] { leave(it); };
    exchange.onDrained = [this, &it] { onDrained(it); };
    m_calls[it.id] = std::move(made);
    return it;
}

// All headers count but those that say how long or how deep, which no answer depends on.
static policy::ReadKey readKeyOf(const Call& call, const Dialect& names)
{
    std::string request = call.method + " " + call.target;
    for (const http::HeaderField& it : call.headers) {
        if (!http::sameName(it.name, names.timeLeft) && !http::sameName(it.name, names.depth))
            request += "\n" + it.name + ":" + it.value;
    }
    return { call.caller, call.route, request };
}

bool Ingress::share(Active& it)
{
    const bool isRead = m_settings.features.sharedReads && it.call.method == "GET" && it.route->idempotent && it.call.body.empty();
    if (!isRead || policy::join(m_collapse, readKeyOf(it.call, m_settings.dialect), { it.id }))
        return false;
    it.waitsForRun = true;
    const timeval left = base::toTimeval(it.call.deadline - base::steadyNow());
    event_add(it.timer, &left);
    return true;
}

void Ingress::send(Active& it)
{
    const Time now = base::steadyNow();
    it.waitsForRun = false;
    const timeval left = base::toTimeval(it.call.deadline - now);
    event_add(it.timer, &left);
    const auto pick = pickFor(it);
    if (!pick)
        return onNobodyLeft(it);
    if (it.tries == 0) {
        policy::earn(m_retries[it.call.service]);
        policy::earn(m_hedges[it.call.service]);
        armHedge(it);
    }
    startTry(it, *pick, false);
}

// How long an answer is still worth most; once that is over, how long it is worth anything. None: nothing was said.
static std::optional<Duration> timeWorthMost(const Call& call, Time now)
{
    if (!call.fullWorthBy)
        return {};
    return (now < *call.fullWorthBy ? *call.fullWorthBy : call.deadline) - now;
}

// Hosts that have gone silent are left out as long as there are others; the endpoint records say so only seconds later.
std::optional<policy::Pick> Ingress::pickFor(const Active& it)
{
    policy::Router& router = m_routers[it.call.service];
    const Time now = base::steadyNow();
    const std::optional<Duration> within = timeWorthMost(it.call, now);
    const std::vector<base::HostId>& suspects = m_peers->suspects();
    if (!suspects.empty()) {
        std::vector<base::HostId> excluded = it.tried;
        excluded.insert(excluded.end(), suspects.begin(), suspects.end());
        if (auto pick = policy::pick(router, { it.route->name, excluded, {}, it.route->idempotent, within }, now, inner::randomNumber()))
            return pick;
    }
    return policy::pick(router, { it.route->name, it.tried, {}, it.route->idempotent, within }, now, inner::randomNumber());
}

// A host froze, or something between lost track of the connection: no error ever comes. A read that waited for the
// link's own limit would miss its deadline; it may run twice, so it goes elsewhere now.
void Ingress::onSuspected(const base::HostId& host)
{
    std::vector<uint64_t> there;
    for (const auto& [id, it] : m_calls) {
        const bool waits = it->route->idempotent && !it->streaming && it->underWay.size() == 1 && it->underWay[0]->pick.host == host;
        if (waits)
            there.push_back(id);
    }
    for (const uint64_t id : there) {
        Active* it = find(id);
        if (!it || it->underWay.size() != 1)
            continue;
        cancelTry(*it, *it->underWay[0], AnswerKind::Silent);
        it->mayHaveRun = true;
        onFailedTry(*it, base::fail(Code::OutcomeUnknown, host.text + " went silent"));
    }
}

// Only for the new version of a rollout; nobody else is judged.
std::optional<policy::CallerBaseline> Ingress::baselineFor(const Active& it, const policy::Pick& pick) const
{
    for (const auto& [id, rollout] : it.snapshot->rollouts) {
        if (rollout.service != it.call.service || rollout.to != pick.version)
            continue;
        const auto old = m_views.find({ it.route->name, rollout.from });
        const auto fresh = m_views.find({ it.route->name, rollout.to });
        if (old == m_views.end())
            return std::nullopt;
        return policy::baselineOf(old->second, fresh == m_views.end() ? policy::VersionView {} : fresh->second);
    }
    return std::nullopt;
}

void Ingress::startTry(Active& it, const policy::Pick& pick, bool isHedge)
{
    const Time now = base::steadyNow();
    ++it.tries;
    it.tried.push_back(pick.host);
    it.underWay.push_back(std::make_unique<Try>());
    Try& made = *it.underWay.back();
    made.number = ++m_lastTry;
    made.pick = pick;
    made.sentAt = now;
    made.isHedge = isHedge;
    made.local = pick.host == m_settings.host;
    it.call.attempt = { inner::randomNumber() };

    // A callback finds its request and its try by number: both may have ended while it was on its way.
    const auto with = [this, id = it.id, number = made.number](auto function) {
        Active* active = find(id);
        if (!active)
            return;
        for (const auto& tried : active->underWay) {
            if (tried->number == number)
                return function(*active, *tried);
        }
    };
    logSent(it, made);
    CallHandler handler;
    handler.head = [this, with](const http::AnswerHead& head) { with([&](Active& active, Try& tried) { onHead(active, tried, head); }); };
    handler.body = [this, with](evbuffer* buf) { with([&](Active& active, Try& tried) { onBody(active, tried, buf); }); };
    handler.end = [this, with](const CallEnd& end) { with([&](Active& active, Try& tried) { onEnd(active, tried, end); }); };
    Call call = it.call;
    call.old = baselineFor(it, pick);
    call.deadline = now + policy::timeLeft(it.call.deadline, now, made.local ? Duration { 0 } : oneWay);
    if (made.local) {
        made.callId = m_owner->start(std::move(call), std::move(handler));
        return;
    }
    const base::Address& address = m_routers[it.call.service].targets.at(pick.host).endpoint.inner;
    made.callId = m_peers->start(pick.host, address, call, it.route->idempotent, std::move(handler));
}

void Ingress::logSent(const Active& it, const Try& tried) const
{
    const auto& targets = m_routers.at(it.call.service).targets;
    const auto found = targets.find(tried.pick.host);
    if (found == targets.end())
        return;
    const policy::Target& target = found->second;
    base::logRequest(base::Event::RequestSent, it.name,
        { { "route", it.route->name.text }, { "service", it.call.service.text }, { "upstream", tried.pick.host.text }, { "version", tried.pick.version.text }, { "try", it.tries },
            { "left_ms", (it.call.deadline - tried.sentAt).ms }, { "in_flight", target.inFlight }, { "running", target.load.running }, { "waiting", target.load.waiting }, { "slots", target.load.slots },
            { "load_age_ms", (tried.sentAt - target.loadAt).ms }, { "config_version", static_cast<int64_t>(it.snapshot->version.value) } });
}

void Ingress::armHedge(Active& it)
{
    if (!m_settings.features.hedges)
        return;
    const auto after = policy::hedgeAfter(it.route->idempotent, m_slowAnswers[it.route->name], it.call.deadline, base::steadyNow());
    if (!after)
        return;
    const timeval wait = base::toTimeval(*after);
    event_add(it.hedgeTimer, &wait);
}

void Ingress::onHedgeTimer(Active& it)
{
    const bool useful = it.underWay.size() == 1 && it.tries == 1 && !it.streaming;
    if (!useful)
        return;
    const auto pick = policy::pick(m_routers[it.call.service], { it.route->name, it.tried, it.underWay[0]->pick.version, false }, base::steadyNow(), inner::randomNumber());
    if (!pick)
        return;
    if (!policy::takeHedge(m_hedges[it.call.service])) {
        policy::answered(m_routers[it.call.service], { pick->host, it.route->name, AnswerKind::Cancelled, {}, {} }, base::steadyNow());
        return;
    }
    ++m_counts.hedged;
    startTry(it, *pick, true);
}

void Ingress::onTimer(Active& it)
{
    if (it.waitsToRetry) {
        it.waitsToRetry = false;
        return send(it);
    }
    const bool sent = !it.underWay.empty() || it.waitsForRun;
    cancelAll(it);
    if (it.streaming) {
        ++m_counts.unknown;
        it.exchange->abort();
        return forget(it);
    }
    giveUp(it, sent ? base::fail(Code::DeadlinePassed, "no answer in time") : base::fail(Code::DeadlineTooNear, "no time left"));
}

void Ingress::leave(Active& it)
{
    ++m_counts.gone;
    base::logRequest(base::Event::RequestCancelled, it.name, { { "route", it.route->name.text }, { "after_ms", (base::steadyNow() - it.began).ms }, { "tries", it.tries } });
    it.exchange = nullptr;
    const bool shared = m_collapse.byRequest.contains({ it.id });
    if (!shared || it.streaming)
        return abandon(it);
    const auto run = policy::left(m_collapse, { it.id });
    const bool isRun = !it.waitsForRun;
    if (run) {
        if (Active* unwanted = find(run->value))
            abandon(*unwanted);
    }
    // A run that others wait for goes on without its own caller.
    if (!isRun)
        forget(it);
}

void Ingress::abandon(Active& it)
{
    cancelAll(it);
    forget(it);
}

} // namespace appletally::node
