// Publishes what this node has seen, and logs verdicts; see suspect_registry.h.
#include "appletally/node/suspect_registry.h"

#include "appletally/base/log.h"
#include "appletally/inner/cluster_key.h"
#include "appletally/node/request_digest.h"

#include <algorithm>

namespace appletally::node {

using config::RequestOnVersion;
using config::SuspectRequest;
using policy::Suspicion;

// More than the slots of most upstreams: all that ran at an end fits. At about 60 bytes each the record stays below 2 KB.
constexpr size_t maxPublished = 32;

SuspectRegistry::SuspectRegistry(Events events)
    : m_events(std::move(events))
{
}

Suspicion SuspectRegistry::suspicionOf(const RequestOnVersion& key) const { return policy::suspicionOf(m_state, key, base::steadyNow()); }

bool SuspectRegistry::knows(base::RequestDigest request) const
{
    const auto first = m_state.known.lower_bound({ request, {} });
    return first != m_state.known.end() && first->first.request == request;
}

base::Duration SuspectRegistry::blockedFor(const RequestOnVersion& key) const { return policy::blockedFor(m_state, key, base::steadyNow()); }

std::optional<SuspectRequest> SuspectRegistry::evidenceOf(const RequestOnVersion& key) const
{
    const SuspectRequest* known = policy::evidenceOf(m_state, key);
    return known ? std::optional(*known) : std::nullopt;
}

void SuspectRegistry::onUpstreamEnded(std::span<const policy::RunAtEnd> runs)
{
    std::map<RequestOnVersion, Suspicion> before;
    for (const policy::RunAtEnd& it : runs)
        before[it.key] = suspicionOf(it.key);
    publish(policy::onUpstreamEnded(m_state, runs, inner::randomNumber(), base::steadyNow()));
    for (const auto& [key, suspicion] : before)
        logVerdict(key, suspicion);
}

void SuspectRegistry::onAnswered(const RequestOnVersion& key)
{
    const Suspicion before = suspicionOf(key);
    const auto changed = policy::onAnswered(m_state, key, base::steadyNow());
    if (!changed)
        return;
    publish({ *changed });
    logVerdict(key, before);
}

void SuspectRegistry::onTold(const SuspectRequest& told)
{
    const Suspicion before = suspicionOf(told.key);
    const policy::MergeResult result = policy::merge(m_state, told, base::steadyNow());
    if (!result.changed)
        return;
    logVerdict(told.key, before);
    if (result.objection)
        publish({ *result.objection });
    else
        m_events.learned(*evidenceOf(told.key));
}

void SuspectRegistry::forgetOld()
{
    policy::forgetOld(m_state, base::steadyNow());
    std::erase_if(m_own, [&](const RequestOnVersion& key) { return !m_state.known.contains(key); });
}

void SuspectRegistry::publish(const std::vector<SuspectRequest>& changed)
{
    if (changed.empty())
        return;
    for (const SuspectRequest& it : changed) {
        std::erase(m_own, it.key);
        m_own.push_back(it.key);
    }
    if (m_own.size() > maxPublished)
        m_own.erase(m_own.begin(), m_own.end() - maxPublished);
    m_events.seen(changed);
}

std::vector<SuspectRequest> SuspectRegistry::published() const
{
    std::vector<SuspectRequest> out;
    for (const RequestOnVersion& key : m_own) {
        if (const SuspectRequest* known = policy::evidenceOf(m_state, key))
            out.push_back(*known);
    }
    return out;
}

void SuspectRegistry::logVerdict(const RequestOnVersion& key, Suspicion before) const
{
    const Suspicion now = suspicionOf(key);
    if ((now == Suspicion::Blocked) == (before == Suspicion::Blocked))
        return;
    const auto known = evidenceOf(key);
    const std::string text = "digest " + digestText(key.request) + " on version " + key.version.text;
    if (now == Suspicion::Blocked)
        base::logEvent(base::Event::RequestBlocked, text + ": " + std::to_string(known->ends.size()) + " upstreams ended under it; next run in " + std::to_string(blockedFor(key).ms) + " ms");
    else
        base::logEvent(base::Event::RequestUnblocked, text + ": an upstream has answered it");
}

nlohmann::json SuspectRegistry::toJson() const
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto& [key, it] : m_state.known) {
        if (!it.evidence.ends.empty()) {
            out.push_back({ { "digest", digestText(key.request) }, { "version", key.version.text }, { "ends", it.evidence.ends.size() }, { "order", standingOf(key).order },
                { "changedMsAgo", (base::steadyNow() - it.changedAt).ms }, { "blockedForMs", blockedFor(key).ms } });
        }
    }
    return out;
}

void SuspectRegistry::writeMetrics(base::MetricsText& out) const
{
    size_t suspected = 0;
    size_t blocked = 0;
    for (const auto& [key, it] : m_state.known) {
        const Suspicion suspicion = suspicionOf(key);
        suspected += suspicion == Suspicion::Suspected;
        blocked += suspicion == Suspicion::Blocked;
    }
    out.add("appletally_suspect_requests", "state=\"suspected\"", static_cast<double>(suspected));
    out.add("appletally_suspect_requests", "state=\"blocked\"", static_cast<double>(blocked));
}

} // namespace appletally::node
