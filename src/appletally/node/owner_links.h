// The inner port of a node: accepts links from other nodes and forwards their calls to the owner.
#pragma once

#include "appletally/inner/node_link.h"
#include "appletally/node/answer_sender.h"
#include "appletally/node/owner.h"

#include <event2/listener.h>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <span>

namespace appletally::node {

struct InnerCounts {
    uint64_t accepted = 0;
    uint64_t refused = 0; // malformed data, wrong cluster, wrong key, or a message over the size limit
    uint64_t lost = 0;
};

class OwnerLinks {
public:
    // Handles a claim message from another node; `Answer` must be called once, immediately or later.
    using Answer = std::function<void(const std::string& body)>;
    using OnClaim = std::function<void(const base::HostId& peer, const std::string& body, Answer)>;

    using OnSuspectRequests = std::function<void(const std::vector<config::SuspectRequest>&)>;

    // `memoryBytes`: that this process may use; bounds the answers that wait for links. 0: not bounded.
    OwnerLinks(event_base*, const inner::Membership&, Owner&, uint64_t memoryBytes, OnClaim, OnSuspectRequests);
    ~OwnerLinks();
    OwnerLinks(const OwnerLinks&) = delete;
    OwnerLinks& operator=(const OwnerLinks&) = delete;

    base::Result<base::Address> listen(const base::Address&);
    // Sends an unsolicited load report to every linked node, with the suspect requests that have changed.
    void broadcastLoad(const policy::Load&, std::span<const config::SuspectRequest> suspects = {});
    void finish(); // accepts no more links, and ends each one after its peer has received all answers; idempotent
    const InnerCounts& counts() const { return m_counts; }
    size_t links() const { return m_links.size(); }
    void writeMetrics(base::MetricsText& out) const { m_answers.writeMetrics(out); }

private:
    struct InboundLink;
    void accept(evutil_socket_t);
    void onMessage(InboundLink&, inner::wire::LinkMessage::Reader);
    void onCall(InboundLink&, inner::wire::Call::Reader);
    void onCallBody(InboundLink&, inner::wire::CallBody::Reader);
    void onClaim(InboundLink&, inner::wire::Claim::Reader);
    void onDown(InboundLink&, const base::Error&);
    static void writeBody(inner::NodeLink&, uint64_t id, evbuffer*); // drains the buffer
    static void writeEnd(inner::NodeLink&, uint64_t id, const CallEnd&, uint64_t bodyBytes);

    event_base* m_loop;
    const inner::Membership* m_membership;
    Owner* m_owner;
    OnClaim m_onClaim;
    OnSuspectRequests m_onSuspectRequests;
    AnswerSender m_answers;
    evconnlistener* m_listener = nullptr;
    std::list<std::shared_ptr<InboundLink>> m_links;
    InnerCounts m_counts;
};

} // namespace appletally::node
