// Version choice by exact shares, candidates, and what answers say of an upstream's state; see routing.h.
#include "appletally/policy/routing_estimate.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace appletally::policy {
namespace {

    // One pick in this many takes any upstream, so that one that has recovered or has just joined is measured by its
    // answers.
    constexpr uint64_t picksPerTrial = 64;

    // An absent upstream gets no requests for this long. Its record expires only after seconds, and each call sent
    // there meanwhile costs a round trip; a node that restarts is back within about this time.
    constexpr base::Duration absentFor { 500 };

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
        if (!takesWork(target) || it.evacuatedZones.contains(target.endpoint.zone) || now < target.absentUntil || isExcluded(request, target.endpoint.host))
            return false;
        const HostStatus stands = statusOf(it.outliers, subjectOf(target, request.route), now);
        return stands == HostStatus::Active || (stands == HostStatus::ProbeDue && request.mayProbe);
    }

    // Of any version if `version` is null.
    std::vector<Target*> usableTargets(Router& it, const PickRequest& request, const base::UpstreamVersion* version, base::Time now)
    {
        std::vector<Target*> found;
        for (auto& [host, target] : it.targets)
            if ((!version || target.endpoint.version == *version) && usable(it, target, request, now))
                found.push_back(&target);
        return found;
    }

    // Adds each version's share to its credit, then returns the version with the highest credit, which pays the total.
    const base::UpstreamVersion* nextByCredit(const Router& it, VersionCredits& versionCredits)
    {
        const base::UpstreamVersion* next = nullptr;
        for (const auto& [version, share] : it.shares) {
            if (share.value <= 0)
                continue;
            versionCredits[version] += share.value;
            if (!next || versionCredits[version] > versionCredits[*next])
                next = &version;
        }
        if (next)
            versionCredits[*next] -= totalShare;
        return next;
    }

    const base::UpstreamVersion* nextVersion(Router& it, const base::RouteName& route)
    {
        const auto [at, fresh] = it.versionCredits.try_emplace(route);
        if (fresh) {
            const uint64_t begin = it.creditSeed + XXH3_64bits(route.text.data(), route.text.size());
            for (uint64_t n = begin % totalShare; n > 0; --n)
                nextByCredit(it, at->second);
        }
        return nextByCredit(it, at->second);
    }

    // The targets of the next version by credit, or of the version that takes its requests.
    std::vector<Target*> targetsByShare(Router& it, const PickRequest& request, base::Time now)
    {
        const base::UpstreamVersion* turn = nextVersion(it, request.route);
        if (!turn)
            return it.shares.empty() ? usableTargets(it, request, nullptr, now) : std::vector<Target*> {};
        const base::PerMille share = it.shares.at(*turn);
        std::vector<Target*> found = usableTargets(it, request, turn, now);
        if (!found.empty() && !isVersionEjected(it.outliers, *turn, request.route, now))
            return found;
        for (const auto& [version, other] : it.shares) {
            if (version == *turn || other < share || isVersionEjected(it.outliers, version, request.route, now))
                continue;
            auto others = usableTargets(it, request, &version, now);
            if (!others.empty())
                return others;
        }
        return found.empty() && !it.fallbackVersion.empty() ? usableTargets(it, request, &it.fallbackVersion, now) : found;
    }

    // Two different targets at random, or all if there are no more than two.
    std::vector<Target*> sampleTwo(const std::vector<Target*>& from, uint64_t random)
    {
        if (from.size() <= 2)
            return from;
        const size_t first = random % from.size();
        const size_t second = (first + 1 + (random >> 16) % (from.size() - 1)) % from.size();
        return { from[first], from[second] };
    }

    Target* choose(const Router& it, const std::vector<Target*>& found, const PickRequest& request, base::Time now, uint64_t random)
    {
        if (it.options.useRunTimes && random % picksPerTrial == 0)
            return found[(random >> 8) % found.size()];
        std::vector<Target*> near;
        for (Target* target : found)
            if (target->endpoint.zone == it.zone)
                near.push_back(target);
        std::vector<Target*> choices = sampleTwo(near, random);
        const std::vector<Target*> anywhere = sampleTwo(found, random >> 32);
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

    // Rendezvous hashing: nodes that know the same targets agree without a message, and a target that ends moves only its own
    // requests.
    Target* meetingPoint(const std::vector<Target*>& found, base::RequestDigest digest)
    {
        const auto weight = [&](const Target* it) { return XXH3_64bits_withSeed(it->endpoint.host.text.data(), it->endpoint.host.text.size(), digest.value); };
        return *std::max_element(found.begin(), found.end(), [&](const Target* a, const Target* b) { return weight(a) < weight(b); });
    }

    void observeOutcome(Router& it, const Target& target, const AnswerReport& answer, base::Time now)
    {
        PeerHealth others;
        for (const auto& [host, other] : it.targets) {
            if (!takesWork(other) || host == target.endpoint.host)
                continue;
            const Subject subject = subjectOf(other, answer.route);
            ++others.hosts;
            others.ejected += statusOf(it.outliers, subject, now) == HostStatus::Active ? 0 : 1;
            others.failureRate += failureRateOf(it.outliers, subject);
        }
        others.failureRate /= std::max(others.hosts, 1);
        observe(it.outliers, subjectOf(target, answer.route), answer.kind != AnswerKind::Good, others, now);
    }

    void recordLoad(Target& target, const Load& load, base::Time now)
    {
        target.load = load;
        target.loadAt = now;
        target.otherLoad = std::max(0, load.running + load.waiting - target.inFlight);
    }

} // namespace

void setEndpoints(Router& it, std::span<const config::Endpoint> endpoints, base::Time now)
{
    const bool boot = it.targets.empty(); // upstreams that are there before this node count as warm
    for (const config::Endpoint& endpoint : endpoints) {
        const auto known = it.targets.find(endpoint.host);
        if (known != it.targets.end() && !newer(endpoint, known->second.endpoint))
            continue;
        if (endpoint.state == config::EndpointState::Gone) {
            it.targets.erase(endpoint.host);
            removeHost(it.outliers, endpoint.host);
            continue;
        }
        Target& target = it.targets[endpoint.host];
        const bool fresh = target.endpoint.incarnation != endpoint.incarnation || target.endpoint.host.empty();
        if (fresh) {
            target = { endpoint, now, target.inFlight, {}, now, 0, 1, now, {}, {} };
            removeHost(it.outliers, endpoint.host);
        }
        if (target.endpoint.state != config::EndpointState::Ready || fresh)
            target.readySince = boot ? now - slowStart : now;
        target.endpoint = endpoint;
    }
}

void setShares(Router& it, std::span<const config::VersionShare> shares, uint64_t random, const base::UpstreamVersion& fallbackVersion)
{
    it.fallbackVersion = fallbackVersion;
    it.shares.clear();
    it.versionCredits.clear();
    it.creditSeed = random;
    for (const config::VersionShare& share : shares)
        it.shares[share.version] = share.share;
}

std::optional<Pick> pick(Router& it, const PickRequest& request, base::Time now, uint64_t random)
{
    const std::vector<Target*> found
        = request.onlyVersion ? usableTargets(it, request, &*request.onlyVersion, now) : targetsByShare(it, request, now);
    if (found.empty())
        return std::nullopt;
    // An ejected target whose probe is due gets the next request that may probe it: left to the choice by expected
    // answer, a slow one would never be measured again.
    const auto probe = std::find_if(found.begin(), found.end(), [&](const Target* target) {
        return statusOf(it.outliers, subjectOf(*target, request.route), now) == HostStatus::ProbeDue;
    });
    Target* best = request.suspect ? meetingPoint(found, *request.suspect) : probe != found.end() ? *probe
                                                                                                  : choose(it, found, request, now, random);
    beginProbe(it.outliers, subjectOf(*best, request.route), now);
    ++best->inFlight;
    return Pick { best->endpoint.host, best->endpoint.version };
}

void answered(Router& it, const AnswerReport& answer, base::Time now)
{
    const auto at = it.targets.find(answer.host);
    if (at == it.targets.end())
        return;
    Target& target = at->second;
    target.inFlight = std::max(0, target.inFlight - 1);
    if (answer.kind == AnswerKind::Absent) {
        // Ignore the load that came back: it belongs to whatever is there now.
        target.absentUntil = now + absentFor;
        cancelProbe(it.outliers, subjectOf(target, answer.route));
        return;
    }
    if (answer.load)
        recordLoad(target, *answer.load, now);
    // A fast failure is no sign of speed, and a refusal is described by the load that comes with it.
    if (answer.kind != AnswerKind::Failed && answer.kind != AnswerKind::Refused)
        observeLatency(it, target, answer, now);
    if (answer.kind == AnswerKind::Cancelled || answer.kind == AnswerKind::Refused)
        cancelProbe(it.outliers, subjectOf(target, answer.route));
    else
        observeOutcome(it, target, answer, now);
}

void loadReported(Router& it, const base::HostId& host, const Load& load, base::Time now)
{
    const auto target = it.targets.find(host);
    if (target != it.targets.end())
        recordLoad(target->second, load, now);
}

} // namespace appletally::policy
