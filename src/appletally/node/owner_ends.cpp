// Tells an upstream that ended under its runs from one that lost an answer or closed a single connection.
//
// Both look the same to a run: its connection closes before the answer is complete. Afterwards an ended upstream refuses
// connections, or announces itself as another process; one that goes on answers later requests.
#include "appletally/node/owner_call.h"

#include "appletally/base/log.h"
#include "appletally/base/loop_time.h"
#include "appletally/node/request_digest.h"

#include <algorithm>

namespace appletally::node {

using base::Duration;

constexpr Duration maxCheckTime { 20 }; // the upstream is on this host, and the caller's node waits for the outcome
constexpr Duration endShowsWithin { 5000 }; // in the announcements of the next process

// The caller's node must know whether the upstream ended before it repeats the request, so the call ends after the check.
void Owner::onRunLost(ActiveCall& it, const base::Error& error)
{
    it.stage = Stage::Lost;
    it.lostWith = error;
    m_lostRuns.push_back({ { { it.digest, it.version }, it.standing }, base::steadyNow() });
    if (m_checkStartedAt)
        return;
    m_checkStartedAt = base::steadyNow();
    m_client->checkListening([this](bool listening) {
        if (!listening)
            onUpstreamEnded("it refuses connections");
        finishLostCalls();
    });
}

void Owner::finishLostCalls()
{
    m_checkStartedAt.reset();
    std::vector<OwnerCallId> lost;
    for (const auto& [id, it] : m_calls) {
        if (it->stage == Stage::Lost)
            lost.push_back(id);
    }
    for (const OwnerCallId id : lost) {
        if (ActiveCall* it = find(id))
            finish(*it, it->lostWith);
    }
}

void Owner::expireLostRuns()
{
    const base::Time now = base::steadyNow();
    if (m_checkStartedAt && now - *m_checkStartedAt > maxCheckTime)
        finishLostCalls();
    std::erase_if(m_lostRuns, [&](const LostRun& it) { return now - it.at > endShowsWithin; });
}

void Owner::onUpstreamEnded(const std::string& sign)
{
    if (m_lostRuns.empty())
        return;
    ++m_counts.upstreamEnds;
    std::string digests;
    std::vector<policy::RunAtEnd> runs;
    for (const LostRun& it : std::exchange(m_lostRuns, {})) {
        digests += " " + digestText(it.run.key.request);
        runs.push_back(it.run);
    }
    base::logEvent(base::Event::UpstreamEnded, runs.back().key.version.text + ": " + sign + "; it ran" + digests);
    m_suspectRequests->onUpstreamEnded(runs);
}

// The same process has answered a run that began after these were lost.
void Owner::forgetLostRunsBefore(const ActiveCall& answered)
{
    const base::Time begun { answered.startedMicros / 1000 };
    std::erase_if(m_lostRuns, [&](const LostRun& it) { return it.at < begun; });
}

} // namespace appletally::node
