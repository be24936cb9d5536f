// Simulation of nodes, keepers, a lossy network and control's keeper sets around the claim policies, driven by one-line
// steps.
//
// The oracle records how often and when each key ran, and what its first run answered. Steps have the same text form in
// fuzzing, in shrunk reports and in recorded traces, so that a report can be stored as a trace unchanged.
#pragma once

#include "appletally/policy/claim_keeper.h"
#include "appletally/policy/claim_round.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

namespace claims_test {

using namespace appletally;
using namespace appletally::policy;

constexpr size_t hostCount = 5;

// Messages between nodes. Answers to requests travel back the same way.
using Payload = std::variant<ClaimRequest, ClaimFinish, ClaimRelease, ClaimAnswer, ClaimAck, CatchUpRequest, CatchUpAnswer>;
struct InFlightMessage {
    size_t from = 0;
    size_t to = 0;
    Payload payload;
};

struct OwnedRound {
    size_t host = 0;
    ClaimRound round;
    bool alive = true; // the owner's process has not crashed
    bool checked = false; // the decision has been checked
};

struct Run {
    base::Time at;
    base::AttemptId attempt;
    uint64_t digest = 0;
    std::optional<ClaimOutcome> outcome; // set once it has answered
};

class ClaimsSimulation {
public:
    ClaimsSimulation()
    {
        m_settings.catchUpBatch = 1; // so that paging occurs with the few keys of a test
        m_roundSettings.timeout = { 200 };
        m_sets.push_back(setOf(1, { 0, 1, 2 }, {}));
        for (size_t it = 0; it < hostCount; ++it) {
            m_keepers.push_back(startKeeper(hostId(it), { 1 }, m_now, m_settings));
            m_applied.push_back(0);
            applyKeeperSet(m_keepers[it], {}, m_now);
            applyKeeperSet(m_keepers[it], m_sets[0], m_now);
        }
        m_appliedSince.resize(hostCount);
        for (size_t it = 0; it < hostCount; ++it)
            m_appliedSince[it][1] = m_now;
    }

    std::string problem; // the first violated invariant; empty: none

    // One step: a word and up to three numbers, taken modulo the number of hosts, keys or messages.
    void step(const std::string& line)
    {
        std::istringstream in(line);
        std::string word;
        size_t a = 0;
        size_t b = 0;
        size_t c = 0;
        in >> word >> a >> b >> c;
        if (word == "ask")
            startClaim(a % hostCount, b % 2, c % 2);
        else if (word == "deliver")
            onInFlight(a, [this](size_t it) { deliver(it); });
        else if (word == "deliver-to")
            deliverTo(a % hostCount);
        else if (word == "drop")
            onInFlight(a, [this](size_t it) { m_inFlight.erase(m_inFlight.begin() + static_cast<long>(it)); });
        else if (word == "double")
            onInFlight(a, [this](size_t it) { m_inFlight.push_back(m_inFlight[it]); });
        else if (word == "flush")
            flush();
        else if (word == "crash")
            crash(a % hostCount);
        else if (word == "catch-up")
            catchUp(a % hostCount);
        else if (word == "publish")
            publish(a);
        else if (word == "follow-but")
            applyExcept(a % hostCount);
        else if (word == "apply")
            apply(a % hostCount);
        else if (word == "pass")
            advance({ static_cast<int64_t>(a) });
        else if (word == "answer")
            endNext(ClaimEnd::Finished);
        else if (word == "lose")
            endNext(ClaimEnd::Unknown);
        else if (word == "refuse")
            m_rejectNext = true;
        checkDecisions();
    }

    size_t runsOf(size_t key) const { return m_runs.contains(key) ? m_runs.at(key).size() : 0; }
    const ClaimRound& attempt(size_t n) const { return m_owned.at(n).round; }

    // After all faults: all messages arrive, all hosts apply the newest set, the window passes. Then a new key must
    // run.
    void settle()
    {
        for (size_t it = 0; it < hostCount; ++it)
            apply(it);
        for (int it = 0; it < 4; ++it) {
            advance(claimLife(m_settings) + base::Duration { 1000 });
            flush();
        }
        for (size_t it = 0; it < hostCount; ++it)
            apply(it);
        const size_t before = runsOf(0);
        m_rejectNext = false;
        startClaim(0, 0, 0);
        flush();
        checkDecisions();
        if (problem.empty() && runsOf(0) != before + 1)
            problem = "a request is rejected long after all faults ended";
    }

private:
    static base::HostId hostId(size_t it) { return { "host" + std::to_string(it) }; }
    static ClaimKey keyOf(size_t it) { return { { "plugs" }, { "crew" }, { "key" + std::to_string(it) } }; }
    static size_t hostIndex(const base::HostId& it) { return static_cast<size_t>(std::stoul(it.text.substr(4))); }
    static size_t keyIndex(const ClaimKey& it) { return static_cast<size_t>(std::stoul(it.key.text.substr(3))); }

    static std::vector<config::Keeper> members(const std::vector<size_t>& hosts)
    {
        std::vector<config::Keeper> out;
        out.reserve(hosts.size());
        for (size_t it : hosts)
            out.push_back({ hostId(it), {} });
        return out;
    }

    static config::KeeperSet setOf(uint64_t number, const std::vector<size_t>& hosts, const std::vector<config::Keeper>& previous)
    {
        return { { number }, members(hosts), previous };
    }

    template <typename Action>
    void onInFlight(size_t n, Action action)
    {
        if (!m_inFlight.empty())
            action(n % m_inFlight.size());
    }

    void startClaim(size_t host, size_t key, size_t digest)
    {
        m_owned.push_back({ host, startRound(m_keepers[host].set, keyOf(key), digest, { ++m_lastAttempt * 7919 % 100'003 }, { 2000 }, m_now, m_roundSettings) });
        sendMessagesOf(m_owned.size() - 1);
    }

    void sendMessagesOf(size_t n)
    {
        OwnedRound& it = m_owned[n];
        if (!it.alive)
            return;
        for (OutgoingClaimMessage& send : messagesToSend(it.round, m_now, m_lastAttempt))
            std::visit([&](auto& message) { m_inFlight.push_back({ it.host, hostIndex(send.to), message }); }, send.message);
    }

    void deliverTo(size_t host)
    {
        for (size_t it = 0; it < m_inFlight.size();) {
            if (m_inFlight[it].to == host)
                deliver(it);
            else
                ++it;
        }
    }

    void flush()
    {
        for (int it = 0; it < 300 && !m_inFlight.empty(); ++it) {
            deliver(0);
            checkDecisions();
        }
    }

    void deliver(size_t n)
    {
        const InFlightMessage it = m_inFlight[n];
        m_inFlight.erase(m_inFlight.begin() + static_cast<long>(n));
        std::visit([&](const auto& payload) { receive(it, payload); }, it.payload);
    }

    void reply(const InFlightMessage& to, Payload payload) { m_inFlight.push_back({ to.to, to.from, std::move(payload) }); }
    void receive(const InFlightMessage& it, const ClaimRequest& m) { reply(it, onClaimRequest(m_keepers[it.to], m, m_now)); }
    void receive(const InFlightMessage& it, const ClaimFinish& m) { reply(it, onClaimFinish(m_keepers[it.to], m, m_now)); }
    void receive(const InFlightMessage& it, const ClaimRelease& m) { reply(it, onClaimRelease(m_keepers[it.to], m, m_now)); }
    void receive(const InFlightMessage& it, const CatchUpRequest& m) { reply(it, onCatchUpRequest(m_keepers[it.to], m, m_now)); }

    void receive(const InFlightMessage& it, const CatchUpAnswer& m)
    {
        onCatchUpAnswer(m_keepers[it.to], m, m_now);
        sendCatchUpRequests(it.to);
    }

    void receive(const InFlightMessage& it, const ClaimAnswer& m)
    {
        for (size_t n = 0; n < m_owned.size(); ++n) {
            if (!m_owned[n].alive || m_owned[n].host != it.to || m_owned[n].round.attempt != m.attempt)
                continue;
            onClaimAnswer(m_owned[n].round, hostId(it.from), m, m_now);
            checkDecisions();
            sendMessagesOf(n);
        }
    }

    void receive(const InFlightMessage& it, const ClaimAck& m)
    {
        for (OwnedRound& each : m_owned) {
            if (each.alive && each.host == it.to && each.round.attempt == m.attempt)
                onClaimAck(each.round, hostId(it.from), m);
        }
    }

    void sendCatchUpRequests(size_t host)
    {
        for (auto& [peer, startClaim] : catchUpRequests(m_keepers[host])) {
            const auto same = [&, to = hostIndex(peer)](const InFlightMessage& it) { return it.from == host && it.to == to && std::holds_alternative<CatchUpRequest>(it.payload); };
            if (std::none_of(m_inFlight.begin(), m_inFlight.end(), same))
                m_inFlight.push_back({ host, hostIndex(peer), startClaim });
        }
    }

    // The process crashes, losing its claims and rounds, and starts with its applied set or a newer one.
    void crash(size_t host)
    {
        for (OwnedRound& it : m_owned)
            it.alive = it.alive && it.host != host;
        m_keepers[host] = startKeeper(hostId(host), { m_keepers[host].incarnation.value + 1 }, m_now, m_settings);
        applyKeeperSet(m_keepers[host], m_sets[m_applied[host]], m_now);
        sendCatchUpRequests(host);
    }

    // Delivers only this host's catch-up messages.
    void catchUp(size_t host)
    {
        const auto concerns = [&](const InFlightMessage& it) {
            return (it.from == host && std::holds_alternative<CatchUpRequest>(it.payload)) || (it.to == host && std::holds_alternative<CatchUpAnswer>(it.payload));
        };
        for (int n = 0; n < 60; ++n) {
            const auto found = std::find_if(m_inFlight.begin(), m_inFlight.end(), concerns);
            if (found == m_inFlight.end())
                return;
            deliver(static_cast<size_t>(found - m_inFlight.begin()));
        }
    }

    // Applies the newest set at all hosts but one, which is cut off from control.
    void applyExcept(size_t host)
    {
        for (size_t it = 0; it < hostCount; ++it) {
            if (it != host)
                apply(it);
        }
    }

    // Control commits the next set: a change to other members, or the end of a change once that is safe.
    void publish(size_t choice)
    {
        const config::KeeperSet last = m_sets.back();
        const uint64_t number = last.number.value + 1;
        if (last.previous.empty()) {
            const std::vector<std::vector<size_t>> choices { { 1, 2, 3 }, { 2, 3, 4 }, { 0, 3, 4 }, { 0, 1, 2 }, { 0, 1, 2, 3 } };
            m_sets.push_back(setOf(number, choices[choice % choices.size()], last.members));
            return;
        }
        SetChange change { last, {} };
        for (size_t it = 0; it < hostCount; ++it) {
            if (m_appliedSince[it].contains(last.number.value))
                change.appliedSince[hostId(it)] = m_appliedSince[it][last.number.value];
        }
        if (mayEndChange(change, claimLife(m_settings), m_now))
            m_sets.push_back({ { number }, last.members, {} });
    }

    void apply(size_t host)
    {
        m_applied[host] = m_sets.size() - 1;
        applyKeeperSet(m_keepers[host], m_sets.back(), m_now);
        for (const config::KeeperSet& it : m_sets)
            m_appliedSince[host].try_emplace(it.number.value, m_now);
    }

    void advance(base::Duration duration)
    {
        m_now = m_now + duration;
        // Links are closed when they go silent, so an outcome is never minutes late. All other messages may be.
        if (duration.ms >= 10'000)
            std::erase_if(m_inFlight, [](const InFlightMessage& it) { return std::holds_alternative<ClaimFinish>(it.payload); });
        for (size_t it = 0; it < hostCount; ++it) {
            expireClaims(m_keepers[it], m_now);
            sendCatchUpRequests(it);
        }
        for (size_t it = 0; it < m_owned.size(); ++it) {
            if (m_owned[it].alive)
                onRoundTick(m_owned[it].round, m_now);
            checkDecisions();
            sendMessagesOf(it);
        }
    }

    void endNext(ClaimEnd end)
    {
        for (size_t n = 0; n < m_owned.size(); ++n) {
            OwnedRound& it = m_owned[n];
            if (!it.alive || it.round.decision != ClaimDecision::Run || it.round.end)
                continue;
            const ClaimOutcome outcome { 200, {}, "answer of attempt " + std::to_string(it.round.attempt.value), true };
            for (Run& run : m_runs[keyIndex(it.round.key)]) {
                if (end == ClaimEnd::Finished && run.attempt == it.round.attempt)
                    run.outcome = outcome;
            }
            endRun(it.round, end, outcome, m_now);
            sendMessagesOf(n);
            return;
        }
    }

    // Performs the decided runs, and checks every decision against the oracle.
    void checkDecisions()
    {
        for (size_t n = 0; n < m_owned.size(); ++n) {
            OwnedRound& it = m_owned[n];
            if (it.checked || !it.alive || it.round.decision == ClaimDecision::Pending)
                continue;
            it.checked = true;
            check(it);
            sendMessagesOf(n);
        }
    }

    void check(OwnedRound& it)
    {
        std::vector<Run>& past = m_runs[keyIndex(it.round.key)];
        const bool ranLately = !past.empty() && m_now - past.back().at < m_settings.window;
        const std::string name = " of key " + std::to_string(keyIndex(it.round.key));
        switch (it.round.decision) {
        case ClaimDecision::Run:
            if (std::exchange(m_rejectNext, false)) {
                endRun(it.round, ClaimEnd::NotStarted, std::nullopt, m_now);
                return;
            }
            if (ranLately)
                problem = "second run" + name;
            past.push_back({ m_now, it.round.attempt, it.round.digest, std::nullopt });
            return;
        case ClaimDecision::NotRun:
            if (ranLately && past.back().digest == it.round.digest)
                problem = "reported not run after a run" + name;
            return;
        case ClaimDecision::AnswerRecorded:
            // Keepers expire an outcome at times up to one run's length apart, so just after the window it may be that
            // of the run before the last. It is never one that no run of this request produced.
            if (std::none_of(past.begin(), past.end(), [&](const Run& run) { return run.digest == it.round.digest && run.outcome == it.round.outcome; }))
                problem = "returned an answer that the run did not produce" + name;
            return;
        default:
            return;
        }
    }

    base::Time m_now { 1000 };
    ClaimSettings m_settings;
    ClaimRoundSettings m_roundSettings;
    std::vector<config::KeeperSet> m_sets;
    std::vector<ClaimKeeper> m_keepers;
    std::vector<size_t> m_applied; // index into sets, per host
    std::vector<std::map<uint64_t, base::Time>> m_appliedSince; // time of the first report of each number, per host
    std::vector<OwnedRound> m_owned;
    std::deque<InFlightMessage> m_inFlight;
    std::map<size_t, std::vector<Run>> m_runs; // per key
    bool m_rejectNext = false;
    uint64_t m_lastAttempt = 0;
};

} // namespace claims_test
