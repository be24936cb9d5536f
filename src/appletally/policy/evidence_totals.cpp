// Keeps the largest counters of each incarnation and sums over incarnations.
#include "appletally/policy/evidence_totals.h"

#include <algorithm>

namespace appletally::policy {

namespace {

    Tally tallyOf(const config::Evidence& it)
    {
        Tally out { it.answers, it.failures, {}, {}, it.coldAnswers, it.coldFailures };
        for (size_t bin = 0; bin < config::latencyBins; ++bin) {
            out.busy[bin] = it.busyLatency[bin];
            out.quiet[bin] = it.latency[bin] - std::min(it.busyLatency[bin], it.latency[bin]);
        }
        return out;
    }

    void keepLargest(Tally& known, const Tally& it)
    {
        known.answers = std::max(known.answers, it.answers);
        known.failures = std::max(known.failures, it.failures);
        known.coldAnswers = std::max(known.coldAnswers, it.coldAnswers);
        known.coldFailures = std::max(known.coldFailures, it.coldFailures);
        for (size_t bin = 0; bin < config::latencyBins; ++bin) {
            known.quiet[bin] = std::max(known.quiet[bin], it.quiet[bin]);
            known.busy[bin] = std::max(known.busy[bin], it.busy[bin]);
        }
    }

} // namespace

Tally& operator+=(Tally& sum, const Tally& it)
{
    sum.answers += it.answers;
    sum.failures += it.failures;
    sum.coldAnswers += it.coldAnswers;
    sum.coldFailures += it.coldFailures;
    for (size_t bin = 0; bin < config::latencyBins; ++bin) {
        sum.quiet[bin] += it.quiet[bin];
        sum.busy[bin] += it.busy[bin];
    }
    return sum;
}

Tally operator-(const Tally& all, const Tally& part)
{
    Tally out = all;
    out.answers -= part.answers;
    out.failures -= part.failures;
    out.coldAnswers -= part.coldAnswers;
    out.coldFailures -= part.coldFailures;
    for (size_t bin = 0; bin < config::latencyBins; ++bin) {
        out.quiet[bin] -= part.quiet[bin];
        out.busy[bin] -= part.busy[bin];
    }
    return out;
}

void mergeEvidence(EvidenceTotals& totals, const config::Evidence& it)
{
    keepLargest(totals.tallies[{ it.host, it.route, it.version }][it.incarnation], tallyOf(it));
    if (it.answers + it.coldAnswers > 0)
        totals.hosts[it.version].insert(it.host);
    if (it.stoppedHere)
        totals.stopped[it.version].insert(it.host);
}

Tally totalOf(const EvidenceTotals& totals, const EvidenceKey& key)
{
    Tally out;
    const auto found = totals.tallies.find(key);
    if (found == totals.tallies.end())
        return out;
    for (const auto& [incarnation, tally] : found->second)
        out += tally;
    return out;
}

} // namespace appletally::policy
