// Runs suspect requests one at a time, and refuses blocked ones. This node is the last that can: callers' nodes may not have
// heard of the latest end.
#include "appletally/node/owner_call.h"

#include "appletally/base/loop_time.h"

#include <algorithm>

namespace appletally::node {

using base::Code;
using base::Duration;

// A suspect that did nothing, as most are after a crash, waits no longer than this for others. Two that run side by side
// make the end ambiguous, not the verdict wrong.
constexpr Duration maxWaitForOthers { 300 };

std::optional<base::Error> Owner::findBlock(const ActiveCall& it) const
{
    if (!m_upstream)
        return {};
    const Duration left = m_suspectRequests->blockedFor({ it.digest, m_upstream->version });
    if (left <= Duration {})
        return {};
    return base::fail(Code::RequestBlocked, "upstreams of version " + m_upstream->version.text + " ended under this request", left);
}

bool Owner::holdSuspect(ActiveCall& it)
{
    const config::RequestOnVersion key { it.digest, m_upstream->version };
    if (it.call.suspect)
        m_suspectRequests->onTold(*std::exchange(it.call.suspect, {}));
    if (auto error = findBlock(it)) {
        refuse(it, *error);
        return true;
    }
    if (m_suspectRequests->suspicionOf(key) == policy::Suspicion::None)
        return false;
    const base::Time now = base::steadyNow();
    const bool sameRuns = std::any_of(m_runningSuspects.begin(), m_runningSuspects.end(), [&](const auto& running) { return running.second == key; });
    const bool waitsForOthers = !m_runningSuspects.empty() && now - it.heldSince.value_or(now) < maxWaitForOthers;
    if (!sameRuns && !waitsForOthers) {
        m_runningSuspects[it.id] = key;
        return false;
    }
    if (now + it.call.expected > it.call.deadline) {
        refuse(it, base::fail(Code::DeadlineTooNear, "it waited for the run of a suspect request"));
        return true;
    }
    if (!it.heldSince) {
        it.heldSince = now;
        m_heldSuspects.push_back(it.id);
    }
    return true;
}

// Those whose turn has not come are held again, in the same order.
void Owner::admitHeld()
{
    for (const OwnerCallId id : std::exchange(m_heldSuspects, {})) {
        ActiveCall* it = find(id);
        if (!it || it->stage != Stage::Offered || it->offered)
            continue;
        admit(*it);
        it = find(id);
        if (it && it->heldSince && !it->offered)
            m_heldSuspects.push_back(id);
    }
}

} // namespace appletally::node
