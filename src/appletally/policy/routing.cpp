// Versions by turn, two choices by expected answer; see routing.h.
#include "appletally/policy/routing.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <xxhash.h>

namespace appletally::policy {
namespace {

    constexpr double leastWarm = 0.1; // a cold upstream begins with a tenth of its slots: at 10 slots, one

    // Both deployments lie between: a round trip between two zones takes 1 ms or 3 ms.
    constexpr double otherZone = 2; // milliseconds

    // Bytes between zones are paid for. A kilobyte is worth this much waiting in the own zone: an archive of 90 KB stays
    // there unless its caller would wait a quarter of a second longer, a status of 1 KB goes wherever it is answered first.
    constexpr double zoneMsPerKilobyte = 3;

    // Weight of one answer in an upstream's pace. Runs vary by about their own mean, which makes this pace vary by a
    // quarter, so up to twice as slow is taken for usual; a bound of 1.5 turned one good answer in thirty into an
    // avoided upstream. Three times as slow shows after seven answers, ten times as slow after two.
    constexpr double paceWeight = 0.1;
    constexpr double usualPace = 2;
    constexpr double mostPace = 100;
    constexpr double sizeWeight = 0.05; // sizes of one route vary by about their own mean
    constexpr double routeWeight = 0.02; // the usual time of a route moves fifty times slower than answers come

    // Without answers from it a slow upstream is tried again after a while: one that was five times as slow after 4 s.
    // Each try that is slow again costs one caller and sets the pace up again.
    constexpr double paceHalfLife = 2000; // milliseconds
    constexpr double loadHalfLife = 500; // how fast others' load at an upstream becomes old news

    // A zone's own upstreams are used up to this part of their slots before its calls go elsewhere; the last slots are
    // for what other nodes have sent there since the last news.
    constexpr double fullShare = 0.8;
    constexpr double levelling = 0.05; // of a run, for full slots: decides only between equals

    // How much an upstream may differ from the others, for all that a few runs can say.
    constexpr double leastSpeed = 0.2;
    constexpr double mostSpeed = 5;

    // Between these an upstream is as quick as the others, for all that is known. Without it chance alone sends a part of a
    // calm zone's calls elsewhere, where nothing says what that is worth.
    constexpr double quickerThan = 0.65;
    constexpr double slowerThan = 1.5;

    constexpr double spreadWeight = 0.05;
    constexpr double leastSpread = 0.1;

    // Unseen for this long, an upstream's speed counts half as much: a cold one is slow for seconds and then like the others.
    constexpr double speedHalfLife = 2000; // milliseconds

    // A queue counts this much more than its own wait. By the wait alone a quick upstream's full queue is still sooner than a
    // slow one's free slot; everybody takes it, the slow slots idle, and owners turn away who would have been in time there.
    constexpr double crowding = 5;

    // Between upstreams that will all answer in time the quicker one goes first: this much for the whole of that time.
    constexpr double promptness = 0.4;

    // One pick in so many takes any upstream: one that was slow and is well again, or has just joined, is seen by its answers.
    constexpr uint64_t picksPerTrial = 64;

    // An upstream that was not there gets nothing for this long. Its record runs out after seconds only, and each call sent there
    // meanwhile costs a round trip; a node that restarts is back within about as long.
    constexpr base::Duration absentFor { 500 };

    constexpr double leastTime = 1; // milliseconds to an answer that count at least; a clock in milliseconds sees no less

    bool newer(const config::Endpoint& a, const config::Endpoint& b)
    {
        return std::tie(a.incarnation, a.sequence) > std::tie(b.incarnation, b.sequence);
    }

    Subject subjectOf(const Target& target, const base::RouteName& route)
    {
        return { target.endpoint.host, target.endpoint.version, route };
    }

    bool takesWork(const Target& target)
    {
        return target.endpoint.state == config::EndpointState::Ready && !target.load.draining;
    }

    bool isExcluded(const PickRequest& request, const base::HostId& host)
    {
        return std::find(request.excluded.begin(), request.excluded.end(), host) != request.excluded.end();
    }

    bool usable(const Router& it, const Target& target, const PickRequest& request, base::Time now)
    {
        if (!takesWork(target) || now < target.absentUntil || isExcluded(request, target.endpoint.host))
            return false;
        const Standing stands = standing(it.outliers, subjectOf(target, request.route), now);
        return stands == Standing::In || (stands == Standing::Probe && request.mayProbe);
    }

    // Of any version where `version` is null.
    std::vector<Target*> usableTargets(Router& it, const PickRequest& request, const base::UpstreamVersion* version, base::Time now)
    {
        std::vector<Target*> found;
        for (auto& [host, target] : it.targets)
            if ((!version || target.endpoint.version == *version) && usable(it, target, request, now))
                found.push_back(&target);
        return found;
    }

    // The one with the highest credit after each version got its share.
    const base::UpstreamVersion* nextTurn(const Router& it, Turns& turns)
    {
        const base::UpstreamVersion* next = nullptr;
        for (const auto& [version, share] : it.shares) {
            if (share.value <= 0)
                continue;
            turns[version] += share.value;
            if (!next || turns[version] > turns[*next])
                next = &version;
        }
        if (next)
            turns[*next] -= wholeShare;
        return next;
    }

    const base::UpstreamVersion* nextVersion(Router& it, const base::RouteName& route)
    {
        const auto [at, fresh] = it.turns.try_emplace(route);
        if (fresh) {
            const uint64_t begin = it.turnSeed + XXH3_64bits(route.text.data(), route.text.size());
            for (uint64_t n = begin % wholeShare; n > 0; --n)
                nextTurn(it, at->second);
        }
        return nextTurn(it, at->second);
    }

    // The targets of the version whose turn it is, or of the next one that may stand in for it.
    std::vector<Target*> targetsByTurn(Router& it, const PickRequest& request, base::Time now)
    {
        const base::UpstreamVersion* turn = nextVersion(it, request.route);
        if (!turn)
            return it.shares.empty() ? usableTargets(it, request, nullptr, now) : std::vector<Target*> {};
        const base::PerMille share = it.shares.at(*turn);
        std::vector<Target*> found = usableTargets(it, request, turn, now);
        if (!found.empty() && !versionOut(it.outliers, *turn, request.route, now))
            return found;
        for (const auto& [version, other] : it.shares) {
            if (version == *turn || other < share || versionOut(it.outliers, version, request.route, now))
                continue;
            auto others = usableTargets(it, request, &version, now);
            if (!others.empty())
                return others;
        }
        return found.empty() && !it.standIn.empty() ? usableTargets(it, request, &it.standIn, now) : found;
    }

    double fading(base::Time since, double halfLife, base::Time now)
    {
        return std::exp2(-static_cast<double>((now - since).ms) / halfLife);
    }

    // The owner knows when its upstream began and how long it says that it is cold; who has heard nothing of the owner yet
    // goes by when it saw the upstream first.
    double warmth(const Target& target, base::Time now)
    {
        const bool heard = target.load.slots > 0;
        const double seen = static_cast<double>((now - target.readySince).ms) / static_cast<double>(slowStart.ms);
        const double told = static_cast<double>(target.load.warm.value) / wholeShare;
        return std::clamp(heard ? told : seen, leastWarm, 1.0);
    }

    // What is known of its pace fades towards the usual one.
    double paceNow(const Target& target, base::Time now)
    {
        return 1 + (target.pace - 1) * fading(target.paceAt, paceHalfLife, now);
    }

    double usualRunOf(const RoutePace& route) { return std::max(route.run > 0 ? route.run : route.mean, leastTime); }

    // Milliseconds that a request of the route runs there. The upstream's own node has seen the runs of all callers, so its
    // word counts after one answer; what it said a while ago fades towards the usual.
    double expectedRun(const Target& target, const base::RouteName& route, double usual, bool speeds, base::Time now)
    {
        const auto told = target.runs.find(route);
        if (speeds && told != target.runs.end()) {
            const double speed = std::clamp(told->second.ms / usual, leastSpeed, mostSpeed);
            return usual * (1 + (speed - 1) * fading(told->second.at, speedHalfLife, now));
        }
        const double pace = paceNow(target, now);
        return usual * (pace > usualPace ? pace : 1);
    }

    // What a request would meet at one upstream.
    struct Prospect {
        double run = 0; // milliseconds
        double usual = 0; // the same, over all upstreams
        double slots = 1;
        double busy = 0; // requests there now
        double way = 0; // milliseconds there and back
        double kilobytes = 0; // of an answer, where it has to cross zones
        double spread = 0;
    };

    Prospect prospectAt(const Router& it, const Target& target, const base::RouteName& route, base::Time now)
    {
        Prospect out;
        const auto known = it.routes.find(route);
        const double announced = target.load.slots > 0 ? target.load.slots : std::max(target.endpoint.slots, 1);
        out.usual = known == it.routes.end() ? leastTime : usualRunOf(known->second);
        out.run = expectedRun(target, route, out.usual, it.parts.speeds, now);
        out.slots = std::max(1.0, announced * warmth(target, now));
        out.busy = target.inFlight + target.ofOthers * fading(target.loadAt, loadHalfLife, now);
        out.spread = known == it.routes.end() ? RoutePace {}.spread : known->second.spread;
        if (target.endpoint.zone == it.zone)
            return out;
        out.way = otherZone;
        out.kilobytes = known == it.routes.end() ? 0 : known->second.kilobytes;
        return out;
    }

    // Milliseconds that the queue there counts for: more than its own wait, see `crowding`.
    double queueAt(const Router& it, const Prospect& at, double run)
    {
        const double queue = std::max(0.0, at.busy + 1 - fullShare * at.slots) / at.slots + levelling * std::min(at.busy, at.slots) / at.slots;
        return run * queue * (it.parts.speeds ? crowding : 1);
    }

    // Milliseconds until an answer is expected, for requests that do not say within what time they need it.
    double expectedAnswer(const Router& it, const Prospect& at)
    {
        const bool alike = at.run > at.usual * quickerThan && at.run < at.usual * slowerThan;
        const double run = alike ? at.usual : at.run;
        return run + queueAt(it, at, run) + at.way + at.kilobytes * zoneMsPerKilobyte;
    }

    // The chance that a run ends within `left` milliseconds, with runs' logarithms normally distributed around the usual one.
    double chanceWithin(double left, double run, double spread)
    {
        if (left <= 0)
            return 0;
        const double deviation = std::max(spread, leastSpread);
        return std::erfc(-(std::log(left / run) / deviation + deviation / 2) / std::sqrt(2.0)) / 2;
    }

    // What sending a request there is worth, as a part of what an answer in time is worth to its caller.
    double expectedWorth(const Router& it, const Prospect& at, base::Duration within)
    {
        const double left = std::max(static_cast<double>(within.ms), leastTime);
        const double wait = queueAt(it, at, at.run) + at.way;
        return chanceWithin(left - wait, at.run, at.spread) - at.kilobytes * it.costs.kilobyteAcrossZones - promptness * (at.run + wait) / left;
    }

    // The least is taken. By worth where the request says what that depends on, else by time.
    double costOf(const Router& it, const Target& target, const PickRequest& request, base::Time now)
    {
        const Prospect at = prospectAt(it, target, request.route, now);
        return it.parts.worth && request.within ? -expectedWorth(it, at, *request.within) : expectedAnswer(it, at);
    }

    // Two different ones at random, or the only one.
    std::vector<Target*> twoOf(const std::vector<Target*>& from, uint64_t random)
    {
        if (from.size() <= 2)
            return from;
        const size_t first = random % from.size();
        const size_t second = (first + 1 + (random >> 16) % (from.size() - 1)) % from.size();
        return { from[first], from[second] };
    }

    Target* choose(const Router& it, const std::vector<Target*>& found, const PickRequest& request, base::Time now, uint64_t random)
    {
        if (it.parts.speeds && random % picksPerTrial == 0)
            return found[(random >> 8) % found.size()];
        std::vector<Target*> near;
        for (Target* target : found)
            if (target->endpoint.zone == it.zone)
                near.push_back(target);
        std::vector<Target*> choices = twoOf(near, random);
        const std::vector<Target*> anywhere = twoOf(found, random >> 32);
        choices.insert(choices.end(), anywhere.begin(), anywhere.end());
        Target* best = nullptr;
        double least = 0;
        for (Target* target : choices) {
            const double cost = costOf(it, *target, request, now);
            if (best && cost >= least)
                continue;
            best = target;
            least = cost;
        }
        return best;
    }

    void observeRun(Target& target, RoutePace& route, const Answered& answer, base::Time now)
    {
        if (answer.usualRun.ms <= 0)
            return;
        const auto usual = static_cast<double>(answer.usualRun.ms);
        target.runs[answer.route] = { usual, now };
        route.run += (usual - route.run) * (route.run > 0 ? routeWeight : 1);
        if (answer.ran.ms <= 0)
            return;
        const double off = std::log(static_cast<double>(answer.ran.ms) / usual);
        route.spread = std::sqrt(route.spread * route.spread * (1 - spreadWeight) + off * off * spreadWeight);
    }

    // Of a cancelled one only the least is known that it would have taken; a hedge that wins cancels the slow one, and
    // without this the slow one would never be seen as slow.
    void observePace(Router& it, Target& target, const Answered& answer, base::Time now)
    {
        const double took = std::max(static_cast<double>(answer.took.ms), leastTime);
        RoutePace& route = it.routes[answer.route];
        const bool whole = answer.kind != AnswerKind::Cancelled;
        if (route.mean == 0 && whole)
            route.mean = took;
        const double ratio = route.mean > 0 ? std::min(took / route.mean, mostPace) : 1;
        const double before = paceNow(target, now);
        if (!whole && ratio <= before)
            return;
        target.pace = before + (ratio - before) * paceWeight;
        target.paceAt = now;
        if (!whole)
            return;
        route.mean += (took - route.mean) * routeWeight;
        observeRun(target, route, answer, now);
        const double kilobytes = static_cast<double>(answer.size.count) / 1024;
        route.kilobytes += (kilobytes - route.kilobytes) * (route.kilobytes == 0 ? 1 : sizeWeight);
    }

    void observeOutcome(Router& it, const Target& target, const Answered& answer, base::Time now)
    {
        Others others;
        for (const auto& [host, other] : it.targets) {
            if (!takesWork(other) || host == target.endpoint.host)
                continue;
            const Subject subject = subjectOf(other, answer.route);
            ++others.hosts;
            others.out += standing(it.outliers, subject, now) == Standing::In ? 0 : 1;
            others.failures += failuresOf(it.outliers, subject);
        }
        others.failures /= std::max(others.hosts, 1);
        observe(it.outliers, subjectOf(target, answer.route), answer.kind != AnswerKind::Good, others, now);
    }

    void noteLoad(Target& target, const Load& load, base::Time now)
    {
        target.load = load;
        target.loadAt = now;
        target.ofOthers = std::max(0, load.running + load.waiting - target.inFlight);
    }

} // namespace

void setEndpoints(Router& it, std::span<const config::Endpoint> endpoints, base::Time now)
{
    const bool boot = it.targets.empty(); // what is there before this node is no news, and as warm as can be known
    for (const config::Endpoint& endpoint : endpoints) {
        const auto known = it.targets.find(endpoint.host);
        if (known != it.targets.end() && !newer(endpoint, known->second.endpoint))
            continue;
        if (endpoint.state == config::EndpointState::Gone) {
            it.targets.erase(endpoint.host);
            forgetHost(it.outliers, endpoint.host);
            continue;
        }
        Target& target = it.targets[endpoint.host];
        const bool fresh = target.endpoint.incarnation != endpoint.incarnation || target.endpoint.host.empty();
        if (fresh) {
            target = { endpoint, now, target.inFlight, {}, now, 0, 1, now, {}, {} };
            forgetHost(it.outliers, endpoint.host);
        }
        if (target.endpoint.state != config::EndpointState::Ready || fresh)
            target.readySince = boot ? now - slowStart : now;
        target.endpoint = endpoint;
    }
}

void setShares(Router& it, std::span<const config::VersionShare> shares, uint64_t random, const base::UpstreamVersion& standIn)
{
    it.standIn = standIn;
    it.shares.clear();
    it.turns.clear();
    it.turnSeed = random;
    for (const config::VersionShare& share : shares)
        it.shares[share.version] = share.share;
}

std::optional<Pick> pick(Router& it, const PickRequest& request, base::Time now, uint64_t random)
{
    const std::vector<Target*> found
        = request.only ? usableTargets(it, request, &*request.only, now) : targetsByTurn(it, request, now);
    if (found.empty())
        return std::nullopt;
    // An ejected one whose time is over gets the next request that may try it: left to the choice by expected answer,
    // a slow one would never be seen again.
    const auto probe = std::find_if(found.begin(), found.end(), [&](const Target* target) {
        return standing(it.outliers, subjectOf(*target, request.route), now) == Standing::Probe;
    });
    Target* best = probe != found.end() ? *probe : choose(it, found, request, now, random);
    beginProbe(it.outliers, subjectOf(*best, request.route), now);
    ++best->inFlight;
    return Pick { best->endpoint.host, best->endpoint.version };
}

void answered(Router& it, const Answered& answer, base::Time now)
{
    const auto at = it.targets.find(answer.host);
    if (at == it.targets.end())
        return;
    Target& target = at->second;
    target.inFlight = std::max(0, target.inFlight - 1);
    if (answer.kind == AnswerKind::Absent) {
        // Without the load that came back: it is of whatever is there now.
        target.absentUntil = now + absentFor;
        cancelled(it.outliers, subjectOf(target, answer.route));
        return;
    }
    if (answer.load)
        noteLoad(target, *answer.load, now);
    // A fast failure is no sign of speed, and a refusal is told by the load that comes with it.
    if (answer.kind != AnswerKind::Failed && answer.kind != AnswerKind::Refused)
        observePace(it, target, answer, now);
    if (answer.kind == AnswerKind::Cancelled || answer.kind == AnswerKind::Refused)
        cancelled(it.outliers, subjectOf(target, answer.route));
    else
        observeOutcome(it, target, answer, now);
}

void loadTold(Router& it, const base::HostId& host, const Load& load, base::Time now)
{
    const auto target = it.targets.find(host);
    if (target != it.targets.end())
        noteLoad(target->second, load, now);
}

} // namespace appletally::policy
