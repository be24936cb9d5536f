// Overload of callers whose answers are worth most within a time: how many get theirs in it.
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

// One upstream's node. Callers who are refused come back once, when they were told to or after a third of what they have
// left, as members' phones do.
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
            follow(finished(m_admission, id, RunEnd::Good, { ran }, m_now));
        });
    }

    void follow(const AdmissionChanges& it)
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

TEST_CASE("at one and a half times capacity callers get their answers while these are worth most", "[policy][overload]")
{
    // The subscription service loses a third of its upstreams at noon. Everybody who waits a third of the time left is
    // answered after the page has stopped looking quick, and those behind them as well; refused at once, some of them come
    // back to a free slot.
    for (const double load : { 1.2, 1.5, 2.0 }) {
        const Result before = Simulation(load, false).run();
        const Result after = Simulation(load, true).run();
        INFO("load " << load << ": in time " << before.inTarget << " of " << before.offered << " and late " << before.late << " before, " << after.inTarget << " and " << after.late << " after");
        CHECK(after.inTarget >= before.inTarget * 1.04);
        CHECK(after.inTarget + after.late >= (before.inTarget + before.late) * 0.97); // no capacity is lost for it
    }
    const Result before = Simulation(0.7, false).run();
    const Result after = Simulation(0.7, true).run();
    CHECK(after.inTarget >= before.inTarget);
    CHECK(after.inTarget >= after.offered * 0.97); // no overload: nobody is turned away for it
}

TEST_CASE("in an overload those who can still be answered in time do not stand behind those who cannot", "[policy][overload]")
{
    // After an outage everybody comes back at once. Those who were refused have little time left; let in again in the order in
    // which they come, they are answered late, and each of them makes one late who had just come.
    for (const double load : { 1.2, 1.5, 2.0 }) {
        const Result before = Simulation(load, true, { .retryWithinTarget = false, .prioritizeTimely = false }).run();
        const Result after = Simulation(load, true, { .retryWithinTarget = false }).run();
        INFO("load " << load << ": in time " << before.inTarget << " of " << before.offered << " and late " << before.late << " before, " << after.inTarget << " and " << after.late << " after");
        CHECK(after.inTarget >= before.inTarget * 1.1);
        CHECK(after.inTarget + after.late >= (before.inTarget + before.late) * 0.95); // slots do not idle for it
    }
    const Result before = Simulation(0.7, true, { .retryWithinTarget = false, .prioritizeTimely = false }).run();
    const Result after = Simulation(0.7, true, { .retryWithinTarget = false }).run();
    CHECK(after.inTarget + after.late >= before.inTarget + before.late);
}

TEST_CASE("callers who are refused come back while their answer is still worth most", "[policy][overload]")
{
    // A quarter of a service is cold, or a page is opened in all offices at once. Told to come back when the whole rush is
    // over, callers come back too late for an answer that looks quick, and nearly all who could have been served a moment later are lost.
    const auto simulate = [](double load, bool retryWithinTarget, int together) {
        Simulation it(load, true, { .retryWithinTarget = retryWithinTarget });
        for (int64_t from = 2000; together > 0 && from < 30'000; from += 2000)
            it.burst(from, together);
        return it.run();
    };
    for (const auto& [load, together] : { std::pair(0.5, 18), std::pair(0.7, 12), std::pair(1.2, 0), std::pair(1.5, 0), std::pair(2.0, 0) }) {
        const Result before = simulate(load, false, together);
        const Result after = simulate(load, true, together);
        INFO("load " << load << ", " << together << " together: in time " << before.inTarget << " of " << before.offered << " and late " << before.late << " before, " << after.inTarget << " and " << after.late << " after");
        CHECK(after.inTarget >= before.inTarget);
        CHECK(after.inTarget + after.late >= (before.inTarget + before.late) * 0.97);
    }
}
