// Ejection and recovery; see outlier.h.
#include "appletally/policy/outlier.h"

#include <algorithm>

namespace appletally::policy {
namespace {

    // Half of the answers failed, over about the last ten. A good upstream that fails 1 in 50 gets there once in
    // millions of answers; one that always fails is ejected after five.
    constexpr double maxFailureRate = 0.5;
    constexpr double answerWeight = 0.15; // weight of one answer in the moving mean
    constexpr int minAnswers = 5;

    constexpr base::Duration firstEjection { 1000 }; // a restart takes about this long
    constexpr base::Duration maxEjection { 10'000 }; // one failed call in 10 s is less than leaving a third of a service idle for longer
    constexpr int hostsPerEjection = 3; // at most one in three is ejected, so that the others can carry its load

    bool isEjected(const Health& it, base::Time now) { return it.ejected && (now < it.probeAt || it.probing); }
    bool probeDue(const Health& it, base::Time now) { return it.ejected && now >= it.probeAt && !it.probing; }

    template <typename Map, typename Key>
    const Health& healthOf(const Map& map, const Key& key)
    {
        static const Health unknown;
        const auto at = map.find(key);
        return at == map.end() ? unknown : at->second;
    }

    void eject(Health& it, base::Time now)
    {
        base::Duration out = firstEjection * (int64_t { 1 } << std::min(it.ejections, 10));
        out = std::min(out, maxEjection);
        it = { maxFailureRate, 0, true, now + out, false, it.ejections + 1 };
    }

    // The probe decides: either back with half the failure rate limit, or ejected for twice as long.
    void finishProbe(Health& it, bool failed, base::Time now)
    {
        if (failed)
            eject(it, now);
        else
            it = { maxFailureRate / 2, 0, false, {}, false, it.ejections };
    }

    // Returns true if it was ejected now.
    bool recordAnswer(Health& it, bool failed, bool mayEject, base::Time now)
    {
        if (it.ejected) {
            if (it.probing)
                finishProbe(it, failed, now);
            return false; // otherwise an answer to a request sent before the ejection
        }
        it.failureRate += ((failed ? 1 : 0) - it.failureRate) * answerWeight;
        it.answers = std::min(it.answers + 1, minAnswers * 20);
        if (it.answers == minAnswers * 20 && it.failureRate < maxFailureRate / 5)
            it.ejections = 0; // healthy for a hundred answers
        if (!mayEject || it.answers < minAnswers || it.failureRate < maxFailureRate)
            return false;
        eject(it, now);
        return true;
    }

    // A version is ejected on a route only if another version is healthy there; if all fail, the fault is elsewhere.
    bool otherVersionHealthy(const Outliers& it, const Subject& subject, base::Time now)
    {
        return std::any_of(it.versionRoutes.begin(), it.versionRoutes.end(), [&](const auto& entry) {
            const Health& health = entry.second;
            return entry.first.second == subject.route && entry.first.first != subject.version && !isEjected(health, now)
                && health.answers >= minAnswers && health.failureRate < maxFailureRate / 2;
        });
    }

} // namespace

HostStatus statusOf(const Outliers& it, const Subject& subject, base::Time now)
{
    const Health& host = healthOf(it.hosts, subject.host);
    const Health& route = healthOf(it.hostRoutes, std::pair { subject.host, subject.route });
    if (isEjected(host, now) || isEjected(route, now))
        return HostStatus::Ejected;
    return probeDue(host, now) || probeDue(route, now) ? HostStatus::ProbeDue : HostStatus::Active;
}

bool isVersionEjected(const Outliers& it, const base::UpstreamVersion& version, const base::RouteName& route, base::Time now)
{
    return isEjected(healthOf(it.versionRoutes, std::pair { version, route }), now);
}

void beginProbe(Outliers& it, const Subject& subject, base::Time now)
{
    const auto begin = [&](auto& map, const auto& key) {
        const auto at = map.find(key);
        if (at != map.end() && probeDue(at->second, now))
            at->second.probing = true;
    };
    begin(it.hosts, subject.host);
    begin(it.hostRoutes, std::pair { subject.host, subject.route });
    begin(it.versionRoutes, std::pair { subject.version, subject.route });
}

double failureRateOf(const Outliers& it, const Subject& subject)
{
    return healthOf(it.hostRoutes, std::pair { subject.host, subject.route }).failureRate;
}

bool observe(Outliers& it, const Subject& subject, bool failed, const PeerHealth& others, base::Time now)
{
    const bool oneInThree = (others.ejected + 1) * hostsPerEjection <= others.hosts + 1;
    const bool mayEject = oneInThree && others.failureRate < maxFailureRate / 2;
    const bool version = recordAnswer(it.versionRoutes[{ subject.version, subject.route }], failed, otherVersionHealthy(it, subject, now), now);
    const bool route = recordAnswer(it.hostRoutes[{ subject.host, subject.route }], failed, mayEject, now);
    const bool host = recordAnswer(it.hosts[subject.host], failed, mayEject, now);
    return version || route || host;
}

void cancelProbe(Outliers& it, const Subject& subject)
{
    const auto end = [](auto& map, const auto& key) {
        const auto at = map.find(key);
        if (at != map.end())
            at->second.probing = false;
    };
    end(it.hosts, subject.host);
    end(it.hostRoutes, std::pair { subject.host, subject.route });
    end(it.versionRoutes, std::pair { subject.version, subject.route });
}

void removeHost(Outliers& it, const base::HostId& host)
{
    it.hosts.erase(host);
    std::erase_if(it.hostRoutes, [&](const auto& entry) { return entry.first.first == host; });
}

} // namespace appletally::policy
