// Callers and upstreams on an event queue in simulated milliseconds, to measure policy/ by what callers receive.
//
// Callers are open streams (they don't wait for earlier answers), runs are exponential, and a caller gives up at its
// deadline. The run is determined by the seed. It models load only: no sockets, no membership, no message loss.
#pragma once

#include "appletally/policy/admission.h"
#include "appletally/policy/cold_start.h"
#include "appletally/policy/hedge.h"
#include "appletally/policy/retry.h"
#include "appletally/policy/routing.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace appletally::load_model {

using namespace appletally::policy;
using base::Duration;
using base::Time;
using config::Priority;

struct Stream {
    std::string caller;
    std::string route;
    Priority priority = Priority::Read;
    double perSecond = 1;
    double meanRun = 20; // milliseconds
    Duration timeout { 2000 };
    Time from {};
    Time to { 1 << 30 };
    bool internal = false;
    bool retriesAfterRefusal = false; // once, if the refusal had a retry time
    int zone = 0; // of the caller's node
    int callers = 1; // that send in turn
    Duration attemptTimeout {}; // of one attempt; zero: the whole timeout
    double spread = 0; // of the runs' logarithms; 0: runs are exponential
    Duration targetLatency {}; // zero: none
    uint64_t answerBytes = 0;
};

struct Tally { // of one stream
    int offered = 0;
    int inTime = 0;
    int inTarget = 0;
    int late = 0; // gave up at the deadline without an answer
    int refused = 0;
    int refusedWithoutReturn = 0; // of these, by admission without a time to retry after
    int failed = 0; // answered with an error
    int retried = 0; // sent again at the retry time of the refusal
    int retriedInTime = 0;
    std::vector<int64_t> waits; // of those answered in time: sending to answer
    std::vector<int64_t> refusedAfter; // sending to refusal

    Tally& operator+=(const Tally& it)
    {
        offered += it.offered;
        inTime += it.inTime;
        inTarget += it.inTarget;
        late += it.late;
        refused += it.refused;
        failed += it.failed;
        return *this;
    }
    double shareInTarget() const { return offered ? static_cast<double>(inTarget) / offered : 1; }
    double goodput() const { return offered ? static_cast<double>(inTime) / offered : 1; }
};

inline int64_t quantile(std::vector<int64_t> of, double q)
{
    if (of.empty())
        return 0;
    std::sort(of.begin(), of.end());
    return of[static_cast<size_t>(q * static_cast<double>(of.size() - 1))];
}

enum class Queueing { Admission, // policy::Admission
    Fifo, // unbounded, first come, first served; abandoned requests run all the same
    FifoDropping }; // the same, but abandoned requests are dropped while they wait
enum class Choosing { Routing, // policy::Router
    RoundRobin };

enum class Retrying { None,
    Budget, // policy::RetryBudget
    Unbounded }; // three attempts each

struct Upstream {
    int slots = 10;
    int zone = 0;
    std::function<double(int running, Time now)> slowdown = [](int, Time) { return 1.0; };
    std::function<bool(const std::string& route, Time now)> fails = [](const std::string&, Time) { return false; }; // at once
    double pauseShare = 0; // share of runs that take fifty times as long, whatever the load
    std::string version = "v1";
    Time from {}; // announced to ingress nodes
    Admission admission;
    std::deque<size_t> fifo;
    int running = 0;
    int taken = 0; // requests that reached it
    std::optional<Time> tickAt; // the next scheduled tick
};

struct Model {
    Queueing queueing = Queueing::Admission;
    Choosing choosing = Choosing::Routing;
    Retrying retrying = Retrying::None;
    RetryBudget budget;
    bool hedging = false;
    HedgeBudget hedges;
    LatencyEstimate slowAnswer;
    int sent = 0; // attempts of all kinds
    int crossed = 0; // of these, to another availability zone
    Duration roundTrip { 0 }; // between two availability zones
    std::vector<Upstream> upstreams;
    std::vector<Stream> streams;
    std::vector<Tally> tallies; // one for each stream
    std::vector<Router> routers; // one ingress node in each zone
    std::mt19937_64 random { 1 };

    struct Call { // one request of a caller
        size_t stream = 0;
        Time sent;
        Time deadline;
        bool returned = false;
        bool open = true; // no final outcome yet
        std::vector<size_t> attempts; // those not ended
        int sentAttempts = 0;
        std::vector<base::HostId> tried;
    };
    struct Attempt {
        size_t call = 0;
        size_t upstream = 0;
        Time sent;
        Time started;
        bool isFirst = true;
        bool open = true;
        bool running = false;
        Duration ran {}; // at the upstream, once it ended
    };
    std::vector<Call> calls;
    std::vector<Attempt> attempts; // RequestId is the index
    Time now {};

    void at(Time when, std::function<void()> what) { m_events.push({ when, m_sequence++, std::move(what) }); }

    void run(Duration length)
    {
        tallies.resize(streams.size());
        for (Upstream& it : upstreams)
            setAnnounced(it.admission.slots, it.slots);
        setUpRouters();
        for (size_t n = 0; n < streams.size(); ++n) {
            m_next.push_back(static_cast<double>(streams[n].from.ms));
            at(next(n), [this, n] { arrive(n); });
        }
        const Time end = now + length;
        while (!m_events.empty() && m_events.top().when <= end) {
            Event next = m_events.top();
            m_events.pop();
            now = next.when;
            next.what();
        }
    }

    // What the node beside the upstream does when the rate of requests that it takes changes.
    void limitRate(size_t n, std::optional<double> perSecond, std::optional<Time> until = {})
    {
        apply(setRate(upstreams[n].admission, perSecond, now, until));
        scheduleTick(n);
    }

private:
    struct Event {
        Time when;
        uint64_t sequence;
        std::function<void()> what;
        bool operator<(const Event& o) const { return std::tie(when, sequence) > std::tie(o.when, o.sequence); }
    };
    std::priority_queue<Event> m_events;
    uint64_t m_sequence = 0;
    size_t m_turn = 0;
    std::vector<double> m_next; // next arrival of each stream

    // Arrivals are kept in fractions of a millisecond and rounded up to the next event.
    Time next(size_t n)
    {
        m_next[n] += std::exponential_distribution<>(streams[n].perSecond / 1000)(random);
        return Time { static_cast<int64_t>(std::ceil(m_next[n])) };
    }

    void setUpRouters()
    {
        routers.resize(3);
        for (size_t zone = 0; zone < routers.size(); ++zone)
            routers[zone].zone = { std::to_string(zone) };
        std::vector<config::Endpoint> there;
        for (size_t n = 0; n < upstreams.size(); ++n) {
            const Upstream& it = upstreams[n];
            const config::Endpoint endpoint { { std::to_string(n) }, { "s" }, { it.version }, { std::to_string(it.zone) }, {}, {}, it.slots,
                config::EndpointState::Ready, { 1 }, { 1 } };
            if (it.from > now)
                at(it.from, [this, endpoint] { announceEndpoints({ endpoint }); });
            else
                there.push_back(endpoint);
        }
        announceEndpoints(there);
    }

    void announceEndpoints(const std::vector<config::Endpoint>& endpoints)
    {
        for (Router& it : routers)
            setEndpoints(it, endpoints, now);
    }

    void arrive(size_t n)
    {
        if (now > streams[n].to)
            return;
        ++tallies[n].offered;
        accrue(budget, now);
        accrue(hedges, now);
        call(n, false);
        at(next(n), [this, n] { arrive(n); });
    }

    void call(size_t n, bool returned)
    {
        const size_t id = calls.size();
        calls.push_back({ n, now, now + streams[n].timeout, returned, true, {}, 0, {} });
        at(calls[id].deadline, [this, id] { giveUp(id); });
        send(id);
        const auto hedge = hedging ? hedgeDelay(true, slowAnswer, calls[id].deadline, now) : std::nullopt;
        if (hedge)
            at(now + *hedge, [this, id] {
                if (calls[id].open && calls[id].attempts.size() == 1 && acquireHedge(hedges, budget, now, random()))
                    send(id);
            });
    }

    void send(size_t callId)
    {
        Call& it = calls[callId];
        if (!it.open)
            return;
        const Stream& stream = streams[it.stream];
        const std::optional<size_t> chosen = choose(it);
        if (!chosen)
            return finish(callId, Outcome::Refused, Duration {});
        const size_t id = attempts.size();
        attempts.push_back({ callId, *chosen, now, {}, it.sentAttempts == 0, true, false, {} });
        it.attempts.push_back(id);
        it.tried.push_back({ std::to_string(*chosen) });
        ++it.sentAttempts;
        ++sent;
        crossed += stream.zone == upstreams[*chosen].zone ? 0 : 1;
        at(now + networkDelay(stream.zone, upstreams[*chosen].zone) / 2, [this, id] { arriveAtUpstream(id); });
        if (stream.attemptTimeout.ms > 0)
            at(now + stream.attemptTimeout, [this, id] { abandon(id, AnswerKind::Silent); });
    }

    Duration networkDelay(int a, int b) const { return a == b ? Duration { 0 } : roundTrip; }

    std::optional<size_t> choose(const Call& it)
    {
        if (choosing == Choosing::RoundRobin)
            return m_turn++ % upstreams.size();
        const Stream& stream = streams[it.stream];
        std::optional<Duration> remainingTarget;
        if (stream.targetLatency.ms > 0)
            remainingTarget = (now < it.sent + stream.targetLatency ? it.sent + stream.targetLatency : it.deadline) - now;
        const auto picked = pick(routers[stream.zone], { { stream.route }, it.tried, {}, true, remainingTarget }, now, random());
        return picked ? std::optional<size_t>(std::stoul(picked->host.text)) : std::nullopt;
    }

    void arriveAtUpstream(size_t id)
    {
        Attempt& it = attempts[id];
        Upstream& up = upstreams[it.upstream];
        if (!it.open)
            return;
        ++up.taken;
        if (queueing != Queueing::Admission) {
            up.fifo.push_back(id);
            startFifo(up);
            return;
        }
        const Call& of = calls[it.call];
        const Stream& stream = streams[of.stream];
        const std::string caller = stream.caller + std::to_string(it.call % static_cast<size_t>(stream.callers));
        const Duration expected { std::max<int64_t>(1, std::llround(stream.meanRun)) };
        const std::optional<Time> targetDeadline = stream.targetLatency.ms > 0 ? std::optional(of.sent + stream.targetLatency) : std::nullopt;
        const Decision decision
            = offer(up.admission, { { id }, { caller }, { stream.route }, stream.priority, expected, of.deadline, stream.internal, targetDeadline }, now);
        if (decision.action == AdmissionAction::Run)
            begin(id);
        if (decision.action == AdmissionAction::Refuse)
            refuse(decision.refusal);
        for (const Refusal& other : decision.displaced)
            refuse(other);
        scheduleTick(it.upstream);
    }

    void scheduleTick(size_t n)
    {
        const Time next = nextTick(upstreams[n].admission, now);
        if (upstreams[n].tickAt && *upstreams[n].tickAt <= next)
            return;
        upstreams[n].tickAt = next;
        at(next, [this, n, next] {
            if (upstreams[n].tickAt != next)
                return; // an earlier one has been scheduled since
            upstreams[n].tickAt.reset();
            apply(tick(upstreams[n].admission, now));
            if (load(upstreams[n].admission, now).waiting > 0)
                scheduleTick(n);
        });
    }

    void startFifo(Upstream& up)
    {
        while (up.running < up.slots && !up.fifo.empty()) {
            const size_t id = up.fifo.front();
            up.fifo.pop_front();
            if (queueing == Queueing::FifoDropping && !attempts[id].open)
                continue;
            begin(id);
        }
    }

    void begin(size_t id)
    {
        Attempt& it = attempts[id];
        Upstream& up = upstreams[it.upstream];
        const Stream& stream = streams[calls[it.call].stream];
        ++up.running;
        it.started = now;
        it.running = true;
        const bool fails = up.fails(stream.route, now);
        double mean = fails ? 1 : stream.meanRun * up.slowdown(up.running, now);
        if (up.pauseShare > 0 && std::bernoulli_distribution(up.pauseShare)(random))
            mean *= 50;
        const double run = stream.spread > 0 ? std::lognormal_distribution<>(std::log(mean) - stream.spread * stream.spread / 2, stream.spread)(random)
                                             : std::exponential_distribution<>(1 / mean)(random);
        const auto ran = static_cast<int64_t>(std::ceil(run));
        at(now + Duration { ran }, [this, id, fails] { end(id, fails); });
    }

    void end(size_t id, bool fails)
    {
        Attempt& it = attempts[id];
        if (!it.running)
            return;
        Upstream& up = upstreams[it.upstream];
        it.running = false;
        --up.running;
        const Duration ran = now - it.started;
        it.ran = ran;
        if (queueing == Queueing::Admission)
            apply(finished(up.admission, { id }, fails ? RunEnd::Failed : RunEnd::Good, ran, now));
        else
            startFifo(up);
        const Duration delay = networkDelay(streams[calls[it.call].stream].zone, up.zone);
        at(now + (delay - delay / 2), [this, id, fails] { arriveAtCaller(id, fails); });
    }

    void arriveAtCaller(size_t id, bool fails)
    {
        const Attempt& it = attempts[id];
        if (!it.open)
            return;
        closeAttempt(id, fails ? AnswerKind::Failed : AnswerKind::Good);
        if (!fails)
            finish(it.call, Outcome::Good, Duration {});
        else if (!scheduleRetry(it.call, base::Code::InvalidUpstreamAnswer, false))
            finish(it.call, Outcome::Failed, Duration {});
    }

    // An attempt is over; the ingress records its result.
    void closeAttempt(size_t id, AnswerKind kind)
    {
        Attempt& it = attempts[id];
        it.open = false;
        Call& of = calls[it.call];
        std::erase(of.attempts, id);
        if (it.isFirst && (kind == AnswerKind::Good || kind == AnswerKind::Cancelled))
            observe(slowAnswer, now - it.sent);
        if (choosing != Choosing::Routing)
            return;
        const Stream& stream = streams[of.stream];
        std::optional<Load> carried;
        Duration usual {};
        if (queueing == Queueing::Admission && kind != AnswerKind::Silent) {
            const Admission& owner = upstreams[it.upstream].admission;
            carried = load(owner, now);
            usual = observedRun(owner.runs, { stream.route }).value_or(Duration {});
        }
        answered(routers[stream.zone], { { std::to_string(it.upstream) }, { stream.route }, kind, now - it.sent, carried, { stream.answerBytes }, it.ran, usual }, now);
    }

    void refuse(const Refusal& refusal)
    {
        tallies[calls[attempts[refusal.id.value].call].stream].refusedWithoutReturn += refusal.retryAfter.ms <= 0 ? 1 : 0;
        const size_t callId = attempts[refusal.id.value].call;
        closeAttempt(refusal.id.value, AnswerKind::Refused);
        if (!scheduleRetry(callId, refusal.code, false))
            finish(callId, Outcome::Refused, refusal.retryAfter);
    }

    // True: another attempt is scheduled, or still in flight.
    bool scheduleRetry(size_t callId, base::Code code, bool refusedDownstream)
    {
        const Call& it = calls[callId];
        if (!it.open || !it.attempts.empty())
            return true;
        if (retrying == Retrying::None || (retrying == Retrying::Unbounded && it.sentAttempts >= 3))
            return false;
        Duration after {};
        if (retrying == Retrying::Budget) {
            const Duration expected { std::llround(streams[it.stream].meanRun) };
            const RetryDecision decision = mayRetry(budget, { true, code, refusedDownstream, it.sentAttempts, it.deadline, expected }, now, random());
            if (!decision.retry)
                return false;
            after = decision.after;
        }
        at(now + after, [this, callId] { send(callId); });
        return true;
    }

    // The ingress abandons this attempt: the upstream is notified, and the slot is free if it supports cancellation.
    void abandon(size_t id, AnswerKind kind)
    {
        Attempt& it = attempts[id];
        if (!it.open)
            return;
        const size_t callId = it.call;
        closeAttempt(id, kind);
        if (queueing == Queueing::Admission) {
            Upstream& up = upstreams[it.upstream];
            up.running -= it.running ? 1 : 0;
            it.running = false;
            apply(cancel(up.admission, { id }, now));
        }
        if (calls[callId].open && !scheduleRetry(callId, base::Code::OutcomeUnknown, false))
            finish(callId, Outcome::Late, Duration {});
    }

    void giveUp(size_t callId)
    {
        if (calls[callId].open)
            finish(callId, Outcome::Late, Duration {});
    }

    enum class Outcome { Good,
        Failed,
        Refused,
        Late };

    // The caller's final outcome.
    void finish(size_t callId, Outcome outcome, Duration retryAfter)
    {
        Call& it = calls[callId];
        if (!it.open)
            return;
        it.open = false;
        const size_t n = it.stream;
        const bool returned = it.returned;
        const Duration waited = now - it.sent;
        const std::vector<size_t> left = it.attempts;
        for (const size_t id : left)
            abandon(id, outcome == Outcome::Late ? AnswerKind::Silent : AnswerKind::Cancelled);
        Tally& tally = tallies[n];
        if (returned) {
            tally.retriedInTime += outcome == Outcome::Good ? 1 : 0;
            return;
        }
        tally.inTime += outcome == Outcome::Good ? 1 : 0;
        tally.inTarget += outcome == Outcome::Good && (streams[n].targetLatency.ms == 0 || waited <= streams[n].targetLatency) ? 1 : 0;
        tally.failed += outcome == Outcome::Failed ? 1 : 0;
        tally.refused += outcome == Outcome::Refused ? 1 : 0;
        tally.late += outcome == Outcome::Late ? 1 : 0;
        if (outcome == Outcome::Good)
            tally.waits.push_back(waited.ms);
        if (outcome == Outcome::Refused)
            tally.refusedAfter.push_back(waited.ms);
        if (outcome == Outcome::Refused && streams[n].retriesAfterRefusal && retryAfter.ms > 0) {
            ++tally.retried;
            at(now + retryAfter, [this, n] { call(n, true); });
        }
    }

    void apply(const AdmissionChanges& changes)
    {
        for (const RequestId id : changes.start)
            begin(id.value);
        for (const Refusal& refusal : changes.refused)
            refuse(refusal);
    }
};

} // namespace appletally::load_model
