// Outbound links of this node: calls to the owners on other hosts, and claim messages to keepers.
#pragma once

#include "appletally/inner/node_link.h"
#include "appletally/node/call.h"

#include <event2/event.h>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <span>

namespace appletally::node {

using PeerCallId = uint64_t;

class Peers {
public:
    struct Events {
        std::function<void(const base::HostId&, const policy::Load&)> load; // unsolicited load report of an owner
        std::function<void(const std::vector<config::SuspectRequest>&)> suspectRequests; // from an owner: those that have changed
        std::function<void(const base::HostId&)> suspected; // the host is unresponsive; see suspects()
    };
    // The body is empty if the keeper did not answer or could not be reached.
    using OnClaimAnswer = std::function<void(const std::string& body)>;

    Peers(event_base*, const inner::Membership&, Events);
    ~Peers();
    Peers(const Peers&) = delete;
    Peers& operator=(const Peers&) = delete;

    PeerCallId start(const base::HostId&, const base::Address&, const Call&, bool mayRepeat, CallHandler);
    void cancel(PeerCallId); // no callback follows
    void consumed(PeerCallId, uint64_t bytes);
    void appendBody(PeerCallId, std::string_view); // part of a large request body, as CallHandler::wantBody asked for it

    void tellSuspectRequests(std::span<const config::SuspectRequest>); // to the owners on all established links
    void sendClaimMessage(const base::HostId&, const base::Address&, const std::string& body, OnClaimAnswer);
    // Hosts from which nothing was received for maxFreshLinkAge, though their links are not closed yet. Idempotent requests
    // should be sent elsewhere too; others wait for the link's own timeout, since abandoning them makes their outcome unknown.
    const std::vector<base::HostId>& suspects() const { return m_suspects; }
    size_t links() const { return m_links.size(); }

private:
    struct Link;
    struct PendingCall;
    std::shared_ptr<Link> linkTo(const base::HostId&, const base::Address&, bool mustBeFresh);
    void onMessage(Link&, inner::wire::LinkMessage::Reader);
    void onAnswerHead(Link&, inner::wire::AnswerHead::Reader);
    void onAnswerBody(Link&, inner::wire::AnswerBody::Reader);
    void onAnswerEnd(Link&, inner::wire::AnswerEnd::Reader);
    void onDown(Link&, const base::Error&);
    void onTick();
    void findSuspects(base::Time now);
    void closeUnusedLinks(base::Time now);
    void finish(PeerCallId, const CallEnd&);
    void refuseLater(PeerCallId, base::Error); // from the event loop
    void write(PeerCallId, const Call&); // on a link that is up
    PendingCall* find(Link&, uint64_t id);

    event_base* m_loop;
    const inner::Membership* m_membership;
    Events m_events;
    event* m_tick = nullptr;
    std::list<std::shared_ptr<Link>> m_links; // including replaced ones, until their calls have ended
    std::map<base::HostId, std::shared_ptr<Link>> m_current;
    std::map<PeerCallId, std::unique_ptr<PendingCall>> m_calls;
    std::vector<base::HostId> m_suspects;
    event* m_refuse = nullptr;
    std::vector<std::pair<PeerCallId, base::Error>> m_refused; // calls that could not be written
    base::Time m_idleLinksCheckedAt;
    PeerCallId m_lastId = 0;
};

} // namespace appletally::node
