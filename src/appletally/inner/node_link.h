// One authenticated connection between two nodes, on libevent: greeting, heartbeats, typed messages.
//
// Cap'n Proto carries the messages, but not its RPC: calls between nodes stream bodies with flow control and sit on the
// path whose added latency is bounded, in the same libevent loop as HTTP; RPC would bring a second loop and two thread
// changes per call. Control, where calls are rare and interfaces rich, uses the RPC.
//
// A connection can go silent for good while new ones work, because something between the ends lost track of it. No
// error is ever reported then. So both sides send heartbeats, and a link without a byte for `silenceLimit` is down.
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

constexpr base::Duration heartbeatEvery { 400 };
constexpr base::Duration silenceLimit { 2000 }; // five heartbeats lost; a busy host's pauses stay well below
constexpr base::Duration maxFreshLinkAge { 1000 }; // heard from so lately that a request that must not be repeated may use it
constexpr uint32_t mostGreetingBytes = 4096; // nobody who has not proved the key makes us hold more

class NodeLink;

// All are called from the event loop. `down` is the last; only there may the link be destroyed.
struct LinkHandler {
    std::function<void(NodeLink&)> up;
    std::function<void(NodeLink&, wire::LinkMessage::Reader)> message;
    std::function<void(NodeLink&, const base::Error&)> down;
};

class NodeLink {
public:
    // Both outlive nothing: `membership` and `loop` must outlive the link.
    static std::unique_ptr<NodeLink> dial(event_base* loop, const base::Address&, const Membership&, LinkHandler);
    static std::unique_ptr<NodeLink> accept(event_base* loop, evutil_socket_t, const Membership&, LinkHandler);
    ~NodeLink();
    NodeLink(const NodeLink&) = delete;
    NodeLink& operator=(const NodeLink&) = delete;

    void send(capnp::MessageBuilder&); // nothing happens on a link that is down
    void fail(base::Error); // `down` follows from the event loop

    bool isUp() const { return m_stage == Stage::Up && !m_failure; }
    bool isFresh(base::Time now) const { return isUp() && now - m_lastHeard < maxFreshLinkAge; }
    const base::HostId& peer() const { return m_peer; } // empty before `up`
    size_t backlog() const; // bytes that wait for the socket

private:
    enum class Stage { Greeting,
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
    void becomeUp();
    void onTick();
    void onDown();

    event_base* m_loop;
    const Membership* m_membership;
    LinkHandler m_handler;
    Side m_side;
    Stage m_stage = Stage::Greeting;
    bufferevent* m_buffers = nullptr;
    event* m_tick = nullptr;
    event* m_down = nullptr;
    base::HostId m_peer;
    Nonce m_clientNonce {};
    Nonce m_serverNonce {};
    base::Time m_lastHeard;
    std::optional<base::Error> m_failure; // set once; then only m_down still runs
};

} // namespace appletally::inner
