// One authenticated connection between two nodes, on libevent: handshake, heartbeats, typed messages.
//
// Messages are encoded with Cap'n Proto, but its RPC is not used: calls between nodes stream bodies with flow control and
// are on the request path, whose added latency is bounded, in the same libevent loop as HTTP. RPC would add a second event
// loop and two thread switches per call. Control processes, with rare calls and rich interfaces, use the RPC.
//
// A connection can stop delivering data for good while new ones work, because a device between the ends lost its state,
// and no error is ever reported. So both sides send heartbeats, and a link that received no byte for `silenceTimeout` is
// closed.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/result.h"
#include "appletally/inner/cluster_key.h"
#include "appletally/inner/link.capnp.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <functional>
#include <memory>
#include <optional>

namespace appletally::inner {

constexpr base::Duration heartbeatInterval { 400 };
constexpr base::Duration silenceTimeout { 2000 }; // five lost heartbeats; scheduling pauses of a busy host are much shorter
constexpr base::Duration maxFreshLinkAge { 1000 }; // a non-idempotent request is only sent on a link that received data within this time
constexpr uint32_t maxHandshakeFrameBytes = 4096; // bounds the memory that an unauthenticated peer can use

class NodeLink;

// All are called from the event loop. `down` is called last, and the link may only be destroyed there.
struct LinkHandler {
    std::function<void(NodeLink&)> up;
    std::function<void(NodeLink&, wire::LinkMessage::Reader)> message;
    std::function<void(NodeLink&, const base::Error&)> down;
};

class NodeLink {
public:
    // The loop and the Membership must outlive the link.
    static std::unique_ptr<NodeLink> dial(event_base* loop, const base::Address&, const Membership&, LinkHandler);
    static std::unique_ptr<NodeLink> accept(event_base* loop, evutil_socket_t, const Membership&, LinkHandler);
    ~NodeLink();
    NodeLink(const NodeLink&) = delete;
    NodeLink& operator=(const NodeLink&) = delete;

    // No-op on a link that is down or finished. False: the peer would close the link over a message of this size, so it was
    // not sent.
    bool send(capnp::MessageBuilder&);
    void fail(base::Error); // `down` is called later from the event loop

    // Writes what is buffered and then closes this direction only; `down` is called once the peer has closed the other one.
    // An immediate close discards answers that are still buffered, and resets the connection if the peer sends meanwhile.
    void finish();

    bool isUp() const { return m_stage == Stage::Up && !m_failure; }
    bool isFresh(base::Time now) const { return isUp() && now - m_lastReceived < maxFreshLinkAge; }
    const base::HostId& peer() const { return m_peer; } // empty before `up`
    bool peerTakesBodies() const { return m_peerTakesBodies; } // of the dialed node, once up
    size_t backlog() const; // bytes not yet written to the socket

private:
    enum class Stage { Handshake,
        Proving,
        Up };

    NodeLink(event_base* loop, const Membership&, LinkHandler, Side);
    void attach(evutil_socket_t);
    void greet();
    void onReadable();
    void onMessage(wire::LinkMessage::Reader);
    void onGreet(wire::Greet::Reader);
    void onGreeted(wire::Greeted::Reader);
    void onProven(capnp::Data::Reader);
    void markUp();
    void onHeartbeatTimer();
    void closeDirectionIfWritten();
    void notifyDown();

    event_base* m_loop;
    const Membership* m_membership;
    LinkHandler m_handler;
    Side m_side;
    Stage m_stage = Stage::Handshake;
    bufferevent* m_bufferEvent = nullptr;
    event* m_heartbeatTimer = nullptr;
    event* m_downEvent = nullptr;
    base::HostId m_peer;
    Nonce m_clientNonce {};
    Nonce m_serverNonce {};
    base::Time m_lastReceived;
    std::optional<base::Error> m_failure; // set at most once; afterwards only m_downEvent fires
    bool m_peerTakesBodies = false;
    bool m_finishing = false;
    bool m_directionClosed = false; // only with m_finishing: nothing more is sent
};

} // namespace appletally::inner
