// Routing and shared reads under random commands, checked against oracles that only count.
#include "appletally/policy/collapse.h"
#include "appletally/policy/routing.h"

#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <set>

using namespace appletally;
using namespace appletally::policy;
using base::Duration;
using base::Time;

namespace {

constexpr int hostCount = 6;

struct Known { // last announcement of a host, by the latest (incarnation, sequence)
    config::Endpoint endpoint;
    bool reportedDraining = false; // by an answer
};

struct Oracle {
    int unused = 0;
};

struct Simulation {
    Router router;
    Time now {};
    std::map<std::string, Known> known;
    std::map<std::string, int> inFlight;
    std::map<std::string, int> shares;
    std::map<std::string, std::map<std::string, int>> picks; // by route and version, since the shares were set
    int picked = 0;
    int none = 0;
};

std::string versionOf(int host) { return host % 3 == 0 ? "new" : "old"; }

using Command = rc::state::Command<Oracle, Simulation>;

struct Announce : Command {
    int host = *rc::gen::inRange(0, hostCount);
    uint64_t incarnation = static_cast<uint64_t>(*rc::gen::inRange(1, 4));
    uint64_t sequence = static_cast<uint64_t>(*rc::gen::inRange(1, 6));
    config::EndpointState state = *rc::gen::element(config::EndpointState::Ready, config::EndpointState::Ready,
        config::EndpointState::Ready, config::EndpointState::Starting, config::EndpointState::Draining);
    void run(const Oracle&, Simulation& it) const override
    {
        const std::string name = std::to_string(host);
        const config::Endpoint endpoint { { name }, { "s" }, { versionOf(host) }, { host % 2 ? "a" : "b" }, {}, {}, 10, state,
            { incarnation }, { sequence } };
        setEndpoints(it.router, std::vector { endpoint }, it.now);
        const auto at = it.known.find(name);
        const auto order = [](const config::Endpoint& e) { return std::pair { e.incarnation, e.sequence }; };
        if (at != it.known.end() && order(endpoint) <= order(at->second.endpoint))
            return;
        const bool restarted = at == it.known.end() || at->second.endpoint.incarnation != endpoint.incarnation;
        it.known[name] = { endpoint, restarted ? false : at->second.reportedDraining };
    }
    void show(std::ostream& out) const override { out << "announce " << host << " " << incarnation << "." << sequence; }
};

struct Share : Command {
    int ofNew = *rc::gen::element(0, 50, 500, 1000);
    uint64_t seed = *rc::gen::arbitrary<uint64_t>();
    void run(const Oracle&, Simulation& it) const override
    {
        setShares(it.router, std::vector<config::VersionShare> { { { "new" }, { ofNew } }, { { "old" }, { 1000 - ofNew } } }, seed);
        it.shares = { { "new", ofNew }, { "old", 1000 - ofNew } };
        it.picks.clear();
    }
    void show(std::ostream& out) const override { out << "share " << ofNew; }
};

struct Picks : Command {
    std::string route = *rc::gen::element<std::string>("a", "b");
    uint64_t random = *rc::gen::arbitrary<uint64_t>();
    int excluded = *rc::gen::inRange(0, 2 * hostCount); // none in half of the cases
    void run(const Oracle&, Simulation& it) const override
    {
        const std::vector<base::HostId> tried { { std::to_string(excluded) } };
        const auto chosen = pick(it.router, { { route }, tried, {} }, it.now, random);
        auto& counts = it.picks[route];
        ++counts["all"];
        ++(chosen ? it.picked : it.none);
        if (!chosen)
            return;
        const std::string host = chosen->host.text;
        RC_ASSERT(host != tried[0].text);
        RC_ASSERT(it.known.count(host) == 1);
        RC_ASSERT(it.known.at(host).endpoint.state == config::EndpointState::Ready);
        RC_ASSERT(!it.known.at(host).reportedDraining);
        RC_ASSERT(chosen->version.text == versionOf(std::stoi(host)));
        ++it.inFlight[host];
        ++counts[chosen->version.text];
        if (it.shares.empty())
            return;
        RC_ASSERT(it.shares.at(chosen->version.text) > 0);
        // The version on trial never exceeds its share, whatever happens to the other.
        const int share = it.shares.at("new");
        if (share < 500)
            RC_ASSERT(counts["new"] * 1000 - counts["all"] * share <= 1000);
    }
    void show(std::ostream& out) const override { out << "pick " << route << " not " << excluded; }
};

struct Answer : Command {
    int which = *rc::gen::inRange(0, 10);
    int ms = *rc::gen::inRange(0, 300);
    AnswerKind kind = *rc::gen::element(
        AnswerKind::Good, AnswerKind::Good, AnswerKind::Failed, AnswerKind::Refused, AnswerKind::Silent, AnswerKind::Cancelled);
    bool draining = *rc::gen::inRange(0, 12) == 0;
    std::string route = *rc::gen::element<std::string>("a", "b");
    void run(const Oracle&, Simulation& it) const override
    {
        std::erase_if(it.inFlight, [](const auto& entry) { return entry.second == 0; });
        if (it.inFlight.empty())
            return;
        const auto at = std::next(it.inFlight.begin(), which % static_cast<int>(it.inFlight.size()));
        --at->second;
        Load load;
        load.slots = 10;
        load.draining = draining;
        answered(it.router, { { at->first }, { route }, kind, Duration { ms }, load }, it.now);
        it.known.at(at->first).reportedDraining = draining;
        RC_ASSERT(it.router.targets.at({ at->first }).inFlight == at->second);
    }
    void show(std::ostream& out) const override { out << "answer " << which << " after " << ms; }
};

struct Pass : Command {
    int ms = *rc::gen::inRange(0, 3000);
    void run(const Oracle&, Simulation& it) const override { it.now = it.now + Duration { ms }; }
    void show(std::ostream& out) const override { out << "pass " << ms; }
};

} // namespace

TEST_CASE("picks only go to ready hosts, not excluded, of a version with a share", "[policy][fuzz]")
{
    // Records arrive out of order, hosts drain and restart, answers fail, shares change. Guards against: a request sent
    // to a draining host, which is cut or refused, and one sent to a version without a share, which may be bad.
    int picked = 0;
    int none = 0;
    const bool held = rc::check("routing", [&] {
        for (int n = 0; n < 10; ++n) {
            Simulation simulation;
            simulation.router.zone = { "a" };
            rc::state::check(Oracle {}, simulation,
                rc::state::gen::execOneOfWithArgs<Announce, Announce, Share, Picks, Picks, Picks, Picks, Picks, Answer, Answer, Answer, Pass>());
            picked += simulation.picked;
            none += simulation.none;
        }
    });
    CHECK(held);
    CHECK(picked >= 500);
    CHECK(none >= 500);
}

TEST_CASE("each shared read is answered once, by its own run", "[policy][fuzz]")
{
    // Concurrent reads, disconnects and answers in any order. Guards against: a read that is forgotten and waits for
    // ever, and one that gets another page's answer.
    const bool held = rc::check("collapse", [] {
        Collapse it;
        std::map<uint64_t, int> waiting; // request: its page
        std::map<int, uint64_t> runOf; // page: its current run
        uint64_t next = 0;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 20)));
        for (const auto& [what, which] : steps) {
            const int page = which % 3;
            if (what < 3) {
                const bool runs = join(it, { { "c" }, { "r" }, std::to_string(page) }, { ++next });
                RC_ASSERT(runs == (runOf.count(page) == 0));
                if (runs)
                    runOf[page] = next;
                waiting[next] = page;
            } else if (what == 3 && runOf.count(page)) {
                std::set<uint64_t> expected;
                for (const auto& [id, of] : waiting)
                    if (of == page)
                        expected.insert(id);
                std::set<uint64_t> got;
                for (const RequestId id : ended(it, { runOf[page] }))
                    got.insert(id.value);
                RC_ASSERT(got == expected);
                std::erase_if(waiting, [page](const auto& entry) { return entry.second == page; });
                runOf.erase(page);
            } else if (what > 3 && !waiting.empty()) {
                const auto at = std::next(waiting.begin(), which % static_cast<int>(waiting.size()));
                const uint64_t id = at->first;
                const int of = at->second;
                waiting.erase(id);
                const bool last = std::none_of(waiting.begin(), waiting.end(), [of](const auto& entry) { return entry.second == of; });
                const auto cancelledRun = leave(it, { id });
                RC_ASSERT(cancelledRun.has_value() == last);
                if (last)
                    runOf.erase(of);
            }
        }
        RC_ASSERT(it.sharedRuns.size() == runOf.size());
    });
    CHECK(held);
}
