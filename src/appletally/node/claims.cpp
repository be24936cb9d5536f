// Transports claim messages between claim rounds, the local keeper and other nodes.
#include "appletally/node/claims.h"

#include "appletally/base/log.h"
#include "appletally/base/loop_time.h"

#include <algorithm>
#include <xxhash.h>

namespace appletally::node {

using base::Duration;

constexpr Duration busyTickInterval { 5 }; // shorter than the shortest pause of a round (8 ms)
constexpr Duration idleTickInterval { 250 }; // only the expiry of claims needs the tick then
constexpr Duration expiryInterval { 1000 };
constexpr Duration catchUpInterval { 50 }; // as required by claim_keeper.h

struct Claims::Round {
    policy::ClaimRound round;
    OnDecided onDecided; // reset once called
};

Claims::Claims(event_base* loop, base::HostId own, base::Incarnation incarnation, Peers& peers)
    : m_loop(loop)
    , m_own(std::move(own))
    , m_peers(&peers)
    , m_keeper(policy::startKeeper(m_own, incarnation, base::steadyNow()))
{
    m_tick = event_new(
        loop, -1, EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<Claims*>(self)->onTick(); }, this);
    setTick(false);
}

void Claims::setTick(bool busy)
{
    if (m_tickBusy == busy)
        return;
    m_tickBusy = busy;
    const timeval every = base::toTimeval(busy ? busyTickInterval : idleTickInterval);
    event_add(m_tick, &every);
}

Claims::~Claims() { event_free(m_tick); }

uint64_t Claims::digestOf(const Call& call)
{
    const std::string text = call.method + "\n" + call.target + "\n" + call.body;
    return XXH3_64bits_withSeed(text.data(), text.size(), call.bodyBytes > 0 ? call.bodyBytes ^ call.bodyDigest : 0);
}

void Claims::apply(const config::KeeperSet& set)
{
    if (set.number > m_set.number)
        base::logEvent(base::Event::KeeperSetChanged, "set " + std::to_string(set.number.value) + " of " + std::to_string(set.members.size()) + " hosts");
    m_set = set;
    policy::applyKeeperSet(m_keeper, set, base::steadyNow());
}

const base::Address* Claims::addressOf(const base::HostId& host) const
{
    for (const auto* group : { &m_set.members, &m_set.previous }) {
        for (const config::Keeper& it : *group) {
            if (it.host == host)
                return &it.inner;
        }
    }
    return nullptr;
}

ClaimId Claims::start(const policy::ClaimKey& key, uint64_t digest, Duration runWithin, OnDecided onDecided)
{
    const ClaimId id = ++m_lastId;
    auto made = std::make_unique<Round>();
    made->round = policy::startRound(m_set, key, digest, { inner::randomNumber() }, runWithin, base::steadyNow());
    made->onDecided = std::move(onDecided);
    m_rounds[id] = std::move(made);
    setTick(true);
    sendPending(id);
    return id;
}

void Claims::end(ClaimId id, policy::ClaimEnd how, std::optional<policy::ClaimOutcome> outcome)
{
    auto it = m_rounds.find(id);
    if (it == m_rounds.end())
        return;
    policy::endRun(it->second->round, how, std::move(outcome), base::steadyNow());
    sendPending(id);
}

// Sends the pending messages of a round. The decision is reported from the tick, never from within start().
void Claims::sendPending(ClaimId id)
{
    auto it = m_rounds.find(id);
    if (it == m_rounds.end())
        return;
    const auto sends = policy::messagesToSend(it->second->round, base::steadyNow(), inner::randomNumber());
    for (const policy::OutgoingClaimMessage& send : sends)
        std::visit([&](const auto& message) { sendTo(id, send.to, message); }, send.message);
}

void Claims::sendTo(ClaimId id, const base::HostId& to, const ClaimMessage& message)
{
    const std::string bytes = encodeClaim(message);
    if (to == m_own) {
        const std::string answer = receive(bytes);
        return onAnswer(id, to, answer);
    }
    if (const base::Address* address = addressOf(to))
        m_peers->sendClaimMessage(to, *address, bytes, [this, id, to](const std::string& body) { onAnswer(id, to, body); });
}

void Claims::onAnswer(ClaimId id, const base::HostId& from, const std::string& body)
{
    auto it = m_rounds.find(id);
    if (it == m_rounds.end() || body.empty())
        return;
    const auto message = decodeClaim(body);
    if (!message)
        return;
    if (const auto* answer = std::get_if<policy::ClaimAnswer>(&message.value()))
        policy::onClaimAnswer(it->second->round, from, *answer, base::steadyNow());
    else if (const auto* noted = std::get_if<policy::ClaimAck>(&message.value()))
        policy::onClaimAck(it->second->round, from, *noted);
    // The answer may arrive within sendPending(), so it is processed from the loop.
    event_active(m_tick, 0, 0);
}

std::string Claims::receive(const std::string& body)
{
    const auto message = decodeClaim(body);
    if (!message)
        return {};
    const base::Time now = base::steadyNow();
    if (const auto* ask = std::get_if<policy::ClaimRequest>(&message.value()))
        return encodeClaim(policy::onClaimRequest(m_keeper, *ask, now));
    if (const auto* finish = std::get_if<policy::ClaimFinish>(&message.value()))
        return encodeClaim(policy::onClaimFinish(m_keeper, *finish, now));
    if (const auto* release = std::get_if<policy::ClaimRelease>(&message.value()))
        return encodeClaim(policy::onClaimRelease(m_keeper, *release, now));
    if (const auto* ask = std::get_if<policy::CatchUpRequest>(&message.value()))
        return encodeClaim(policy::onCatchUpRequest(m_keeper, *ask, now));
    return {};
}

void Claims::onTick()
{
    const base::Time now = base::steadyNow();
    std::vector<ClaimId> ids;
    for (const auto& [id, it] : m_rounds)
        ids.push_back(id);
    for (const ClaimId id : ids) {
        Round& it = *m_rounds.at(id);
        policy::onRoundTick(it.round, now);
        if (it.round.decision != policy::ClaimDecision::Pending && it.onDecided) {
            const auto onDecided = std::move(it.onDecided);
            it.onDecided = nullptr;
            onDecided(it.round);
        }
        sendPending(id);
        const bool running = it.round.decision == policy::ClaimDecision::Run && !it.round.end;
        if (!it.onDecided && !running && !policy::nextSendAt(it.round))
            m_rounds.erase(id);
    }
    if (!m_keeper.caughtUp && now - m_caughtUpAt >= catchUpInterval) {
        m_caughtUpAt = now;
        catchUp();
    }
    if (now - m_expiredAt >= expiryInterval) {
        m_expiredAt = now;
        policy::expireClaims(m_keeper, now);
    }
    setTick(!m_rounds.empty() || !m_keeper.caughtUp);
}

void Claims::catchUp()
{
    for (const auto& [host, ask] : policy::catchUpRequests(m_keeper)) {
        const base::Address* address = addressOf(host);
        if (!address)
            continue;
        m_peers->sendClaimMessage(host, *address, encodeClaim(ask), [this](const std::string& body) {
            const auto message = decodeClaim(body);
            const auto* answer = message ? std::get_if<policy::CatchUpAnswer>(&message.value()) : nullptr;
            if (!answer)
                return;
            const bool before = m_keeper.caughtUp;
            policy::onCatchUpAnswer(m_keeper, *answer, base::steadyNow());
            if (!before && m_keeper.caughtUp)
                base::logEvent(base::Event::KeeperCaughtUp, std::to_string(m_keeper.claims.size()) + " claims");
        });
    }
}

nlohmann::json Claims::toJson() const
{
    return { { "keeperSet", m_set.number.value }, { "members", m_set.members.size() }, { "changing", !m_set.previous.empty() },
        { "claims", m_keeper.claims.size() }, { "claimBytes", m_keeper.claimBytes }, { "outcomeBytes", m_keeper.outcomeBytes },
        { "caughtUp", m_keeper.caughtUp }, { "rounds", m_rounds.size() } };
}

} // namespace appletally::node
