// Overload of callers with a target latency: how many get their answers within it.
#include "appletally/policy/admission.h"

#include <catch2/catch.hpp>
#include <functional>
#include <queue>
#include <random>
#include <tuple>

using namespace appletally;
using namespace appletally::policy;
using base::Duration;
using base::Time;

namespace {

constexpr int slots = 6;
constexpr Duration meanRun { 100 };
constexpr Duration targetLatency { 300 };
constexpr Duration deadline { 800 };
constexpr Duration length { 30'000 };

struct Result {
    int offered = 0;
    int inTarget = 0;
    int late = 0;
};

// The owner of one upstream. Refused callers retry once, after the refusal's retry time or a third of their remaining
// time, whichever is sooner.
class Simulation {
public:
    Simulation(double load, bool reportTarget, AdmissionOptions options = {})
        : m_gap(static_cast<double>(meanRun.ms) / slots / load)
        , m_reportTarget(reportTarget)
    {
        m_admission.options.prioritizeTimely = options.prioritizeTimely;
        m_admission.options.retryWithinTarget = options.retryWithinTarget;
        setSlots(m_admission, slots, { 0 });
    }

    void burst(int64_t from, int count)
    {
        for (int n = 0; n < count; ++n)
            at(from, [this] {
                ++m_result.offered;
                send({ m_now, false });
            });
    }

    Result run()
    {
        arrive(0);
        while (!m_events.empty()) {
            const Event it = m_events.top();
            m_events.pop();
            m_now = { it.at };
            it.act();
        }
        return m_result;
    }

private:
    struct Event {
        int64_t at;
        uint64_t order;
        std::function<void()> act;
        bool operator<(const Event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };
    struct Caller {
        Time first;
        bool back = false;
    };

    void at(int64_t ms, std::function<void()> act) { m_events.push({ ms, ++m_order, std::move(act) }); }

    void arrive(double ms)
    {
        if (ms >= static_cast<double>(length.ms))
            return;
        at(static_cast<int64_t>(ms), [this, ms] {
            ++m_result.offered;
            send({ m_now, false });
            arrive(ms + std::exponential_distribution<>(1 / m_gap)(m_random));
        });
    }

    void send(Caller caller)
    {
        const RequestId id { ++m_lastId };
        m_callers[id] = caller;
        Arrival arrival { id, { "c" }, { "r" }, config::Priority::Read, meanRun, caller.first + deadline, false, {} };
        if (m_reportTarget)
            arrival.targetDeadline = caller.first + targetLatency;
        const Decision decision = offer(m_admission, arrival, m_now);
        if (decision.action == AdmissionAction::Run)
            start(id);
        if (decision.action == AdmissionAction::Refuse)
            refused(decision.refusal);
        for (const Refusal& it : decision.displaced)
            refused(it);
    }

    void start(RequestId id)
    {
        const auto ran = static_cast<int64_t>(std::lognormal_distribution<>(std::log(meanRun.ms) - 0.045, 0.3)(m_random));
        at(m_now.ms + ran, [this, id, ran] {
            const Duration elapsed = m_now - m_callers[id].first;
            m_result.inTarget += elapsed <= targetLatency ? 1 : 0;
            m_result.late += elapsed > targetLatency && elapsed <= deadline ? 1 : 0;
            apply(finished(m_admission, id, RunEnd::Good, { ran }, m_now));
        });
    }

    void apply(const AdmissionChanges& it)
    {
        for (const Refusal& each : it.refused)
            refused(each);
        for (const RequestId& each : it.start)
            start(each);
    }

    void refused(const Refusal& it)
    {
        const Caller caller = m_callers[it.id];
        const Duration left = caller.first + deadline - m_now;
        if (caller.back || left.ms < meanRun.ms)
            return;
        at(m_now.ms + std::min(std::max<int64_t>(it.retryAfter.ms, 1), left.ms / 3), [this, caller] { send({ caller.first, true }); });
    }

    double m_gap;
    bool m_reportTarget;
    Admission m_admission { .options = { .fairness = false, .limitLongJobs = false, .adaptiveLimit = false } };
    std::priority_queue<Event> m_events;
    std::map<RequestId, Caller> m_callers;
    std::mt19937_64 m_random { 5 };
    Result m_result;
    Time m_now;
    uint64_t m_order = 0;
    uint64_t m_lastId = 0;
};

} // namespace

TEST_CASE("under overload more callers get their answers within the target latency", "[policy][overload]")
{
    // Guards against: late answers for all under overload. If every request may wait a third of its remaining time, it
    // misses its target, and those behind it as well; refused at once, some of them find a free slot on retry.
    for (const double load : { 1.2, 1.5, 2.0 }) {
        const Result before = Simulation(load, false).run();
        const Result after = Simulation(load, true).run();
        INFO("load " << load << ": within target " << before.inTarget << " of " << before.offered << " and late " << before.late << " before, " << after.inTarget << " and " << after.late << " after");
        CHECK(after.inTarget >= before.inTarget * 1.04);
        CHECK(after.inTarget + after.late >= (before.inTarget + before.late) * 0.97); // no capacity is lost for it
    }
    const Result before = Simulation(0.7, false).run();
    const Result after = Simulation(0.7, true).run();
    CHECK(after.inTarget >= before.inTarget);
    CHECK(after.inTarget >= after.offered * 0.97); // no overload: no requests are rejected for it
}

TEST_CASE("under overload requests that can meet their target go before those that cannot", "[policy][overload]")
{
    // Guards against: requests with little time left that make others late. After an outage all callers return at once;
    // served in order of arrival, retried requests are answered late, and each of them makes a new one late.
    for (const double load : { 1.2, 1.5, 2.0 }) {
        const Result before = Simulation(load, true, { .retryWithinTarget = false, .prioritizeTimely = false }).run();
        const Result after = Simulation(load, true, { .retryWithinTarget = false }).run();
        INFO("load " << load << ": within target " << before.inTarget << " of " << before.offered << " and late " << before.late << " before, " << after.inTarget << " and " << after.late << " after");
        CHECK(after.inTarget >= before.inTarget * 1.1);
        CHECK(after.inTarget + after.late >= (before.inTarget + before.late) * 0.95); // slots do not idle for it
    }
    const Result before = Simulation(0.7, true, { .retryWithinTarget = false, .prioritizeTimely = false }).run();
    const Result after = Simulation(0.7, true, { .retryWithinTarget = false }).run();
    CHECK(after.inTarget + after.late >= before.inTarget + before.late);
}

TEST_CASE("refused callers retry while they can still meet their target", "[policy][overload]")
{
    // Guards against: retry times after the target latency. Part of a service is cold, or many callers come at once. If
    // retries wait for the end of the overload, nearly all callers that could have been served a moment later are lost.
    const auto simulate = [](double load, bool retryWithinTarget, int together) {
        Simulation it(load, true, { .retryWithinTarget = retryWithinTarget });
        for (int64_t from = 2000; together > 0 && from < 30'000; from += 2000)
            it.burst(from, together);
        return it.run();
    };
    for (const auto& [load, together] : { std::pair(0.5, 18), std::pair(0.7, 12), std::pair(1.2, 0), std::pair(1.5, 0), std::pair(2.0, 0) }) {
        const Result before = simulate(load, false, together);
        const Result after = simulate(load, true, together);
        INFO("load " << load << ", " << together << " together: within target " << before.inTarget << " of " << before.offered << " and late " << before.late << " before, " << after.inTarget << " and " << after.late << " after");
        CHECK(after.inTarget >= before.inTarget);
        CHECK(after.inTarget + after.late >= (before.inTarget + before.late) * 0.97);
    }
}
