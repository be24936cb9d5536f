// Links that this node dials: calls to other hosts' owners, and claims to keepers.
#pragma once

#include "appletally/inner/node_link.h"
#include "appletally/node/call.h"

#include <event2/event.h>
#include <functional>
#include <list>
#include <map>
#include <memory>

namespace appletally::node {

using PeerCallId = uint64_t;

class Peers {
public:
    struct Events {
        std::function<void(const base::HostId&, const policy::Load&)> load; // told by an owner unasked
        std::function<void(const base::HostId&)> suspected; // nothing was heard from it for a while; see suspects()
    };
    // No answer, or the keeper could not be reached: an empty body.
    using OnClaimAnswer = std::function<void(const std::string& body)>;

    Peers(event_base*, const inner::Membership&, Events);
    ~Peers();
    Peers(const Peers&) = delete;
    Peers& operator=(const Peers&) = delete;

    PeerCallId start(const base::HostId&, const base::Address&, const Call&, bool mayRepeat, CallHandler);
    void cancel(PeerCallId); // no callback follows
    void consumed(PeerCallId, uint64_t bytes);

    void askClaim(const base::HostId&, const base::Address&, const std::string& body, OnClaimAnswer);
    // Hosts from which nothing has come for maxFreshLinkAge, though their links are not yet given up. What may be sent twice
    // should go elsewhere now; what may not waits for the link's own limit, since giving it up makes its outcome unknown.
    const std::vector<base::HostId>& suspects() const { return m_suspects; }
    size_t links() const { return m_links.size(); }

private:
    struct Link;
    struct Pending;
    std::shared_ptr<Link> linkTo(const base::HostId&, const base::Address&, bool mustBeFresh);
    void onMessage(Link&, inner::wire::LinkMessage::Reader);
    void onAnswerHead(Link&, inner::wire::AnswerHead::Reader);
    void onAnswerBody(Link&, inner::wire::AnswerBody::Reader);
    void onAnswerEnd(Link&, inner::wire::AnswerEnd::Reader);
    void onDown(Link&, const base::Error&);
    void onTick();
    void findSuspects(base::Time now);
    void closeUnused(base::Time now);
    void finish(PeerCallId, const CallEnd&);
    Pending* find(Link&, uint64_t id);

    event_base* m_loop;
    const inner::Membership* m_membership;
    Events m_events;
    event* m_tick = nullptr;
    std::list<std::shared_ptr<Link>> m_links; // also those that a fresh one has replaced, until their calls are done
    std::map<base::HostId, std::shared_ptr<Link>> m_current;
    std::map<PeerCallId, std::unique_ptr<Pending>> m_calls;
    std::vector<base::HostId> m_suspects;
    base::Time m_cleanedAt;
    PeerCallId m_lastId = 0;
};

} // namespace appletally::node
