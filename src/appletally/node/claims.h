// At-most-once execution: requests claims from the keepers before a keyed request runs, and serves as a keeper for other
// nodes.
//
// The protocol is decided in policy/claim_round.h and policy/claim_keeper.h; this class transports their messages and
// drives their timers.
#pragma once

#include "appletally/node/claim_codec.h"
#include "appletally/node/peers.h"
#include "appletally/policy/claim_round.h"

#include <event2/event.h>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>

namespace appletally::node {

using ClaimId = uint64_t;

class Claims {
public:
    using OnDecided = std::function<void(const policy::ClaimRound&)>; // called once, from the loop

    Claims(event_base*, base::HostId own, base::Incarnation, Peers&);
    ~Claims();
    Claims(const Claims&) = delete;
    Claims& operator=(const Claims&) = delete;

    void apply(const config::KeeperSet&);

    ClaimId start(const policy::ClaimKey&, uint64_t digest, base::Duration runWithin, OnDecided);
    // Identifies the content of a request: the same key with another digest is refused.
    static uint64_t digestOf(const Call&);
    void end(ClaimId, policy::ClaimEnd, std::optional<policy::ClaimOutcome>); // exactly once after a decision to run

    // Handles a message from another node. Returns the answer, empty if there is none.
    std::string receive(const std::string& body);
    bool idle() const { return m_rounds.empty(); } // the keepers have also acknowledged the ends of all runs
    nlohmann::json toJson() const;

private:
    struct Round;
    void sendPending(ClaimId);
    void sendTo(ClaimId, const base::HostId& to, const ClaimMessage&);
    void onAnswer(ClaimId, const base::HostId& from, const std::string& body);
    void onTick();
    void setTick(bool busy);
    void catchUp();
    const base::Address* addressOf(const base::HostId&) const;

    event_base* m_loop;
    base::HostId m_own;
    Peers* m_peers;
    policy::ClaimKeeper m_keeper;
    config::KeeperSet m_set;
    event* m_tick = nullptr;
    std::map<ClaimId, std::unique_ptr<Round>> m_rounds;
    base::Time m_expiredAt;
    base::Time m_caughtUpAt;
    ClaimId m_lastId = 0;
    bool m_tickBusy = true;
};

} // namespace appletally::node
