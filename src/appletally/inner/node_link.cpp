// Greeting and heartbeats of a node link.
#include "appletally/inner/node_link.h"

#include "appletally/base/loop_time.h"
#include "appletally/inner/frame.h"
#include "appletally/inner/rpc_limits.h"

#include <algorithm>
#include <arpa/inet.h>
#include <capnp/message.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace appletally::inner {

using base::Code;

static capnp::Data::Reader asData(const auto& bytes) { return { bytes.data(), bytes.size() }; }

template <size_t n>
static bool copyTo(std::array<uint8_t, n>& out, capnp::Data::Reader in)
{
    if (in.size() != n)
        return false;
    std::copy(in.begin(), in.end(), out.begin());
    return true;
}

NodeLink::NodeLink(event_base* loop, const Membership& membership, LinkHandler handler, Side side)
    : m_loop(loop)
    , m_membership(&membership)
    , m_handler(std::move(handler))
    , m_side(side)
    , m_lastHeard(base::steadyNow())
{
    m_tick = event_new(
        loop, -1, EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<NodeLink*>(self)->onTick(); }, this);
    m_down = event_new(
        loop, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<NodeLink*>(self)->onDown(); }, this);
    const timeval every = base::toTimeval(heartbeatEvery);
    event_add(m_tick, &every);
}

NodeLink::~NodeLink()
{
    if (m_buffers)
        bufferevent_free(m_buffers);
    event_free(m_tick);
    event_free(m_down);
}

void NodeLink::attach(evutil_socket_t fd)
{
    m_buffers = bufferevent_socket_new(m_loop, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        m_buffers, [](bufferevent*, void* self) { static_cast<NodeLink*>(self)->onReadable(); }, nullptr,
        [](bufferevent* buffers, short what, void* self) {
            if (what & BEV_EVENT_CONNECTED) {
                const int one = 1;
                setsockopt(bufferevent_getfd(buffers), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                bufferevent_set_timeouts(buffers, nullptr, nullptr);
                static_cast<NodeLink*>(self)->greet();
            } else if (what & BEV_EVENT_TIMEOUT)
                static_cast<NodeLink*>(self)->fail(base::fail(Code::PeerSilent, "no connection within " + std::to_string(connectTimeout.ms) + " ms"));
            else if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
                static_cast<NodeLink*>(self)->fail(base::fail(Code::PeerGone, "the connection closed"));
        },
        this);
    bufferevent_enable(m_buffers, EV_READ | EV_WRITE);
}

std::unique_ptr<NodeLink> NodeLink::dial(event_base* loop, const base::Address& address, const Membership& membership, LinkHandler handler)
{
    std::unique_ptr<NodeLink> link(new NodeLink(loop, membership, std::move(handler), Side::Client));
    link->attach(-1);
    const timeval limit = base::toTimeval(connectTimeout);
    bufferevent_set_timeouts(link->m_buffers, nullptr, &limit); // until it is connected
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
    if (bufferevent_socket_connect(link->m_buffers, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
        link->fail(base::fail(Code::PeerGone, "cannot connect to " + address.text()));
    return link;
}

std::unique_ptr<NodeLink> NodeLink::accept(event_base* loop, evutil_socket_t fd, const Membership& membership, LinkHandler handler)
{
    std::unique_ptr<NodeLink> link(new NodeLink(loop, membership, std::move(handler), Side::Server));
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    link->attach(fd);
    return link;
}

void NodeLink::send(capnp::MessageBuilder& message)
{
    if (!m_failure)
        appendFrame(bufferevent_get_output(m_buffers), message);
}

size_t NodeLink::backlog() const { return evbuffer_get_length(bufferevent_get_output(m_buffers)); }

void NodeLink::fail(base::Error error)
{
    if (m_failure)
        return;
    m_failure = std::move(error);
    bufferevent_disable(m_buffers, EV_READ | EV_WRITE);
    event_active(m_down, 0, 0);
}

void NodeLink::onDown()
{
    // The handler may destroy this link, and with it the function that is running.
    const auto down = std::move(m_handler.down);
    const base::Error error = *m_failure;
    down(*this, error);
}

void NodeLink::greet()
{
    m_clientNonce = freshNonce();
    capnp::MallocMessageBuilder message;
    auto greet = message.initRoot<wire::LinkMessage>().initGreet();
    greet.setCluster(m_membership->cluster.text);
    greet.setHost(m_membership->host.text);
    greet.setNonce(asData(m_clientNonce));
    send(message);
}

void NodeLink::onReadable()
{
    m_lastHeard = base::steadyNow();
    while (!m_failure) {
        auto frame = takeFrame(bufferevent_get_input(m_buffers), m_stage == Stage::Up ? mostFrameBytes : mostGreetingBytes);
        if (!frame)
            return fail(frame.error());
        if (frame.value().words.size() == 0)
            return;
        // Garbage that passes for a frame throws here or at any later access, also inside the handler's reads.
        try {
            capnp::FlatArrayMessageReader reader(frame.value().words);
            onMessage(reader.getRoot<wire::LinkMessage>());
        } catch (const kj::Exception& e) {
            return fail(base::fail(Code::MessageMalformed, e.getDescription().cStr()));
        }
    }
}

void NodeLink::onMessage(wire::LinkMessage::Reader message)
{
    if (m_stage == Stage::Up) {
        if (message.isPing()) {
            capnp::MallocMessageBuilder answer;
            answer.initRoot<wire::LinkMessage>().setPong(message.getPing());
            return send(answer);
        }
        if (!message.isPong())
            m_handler.message(*this, message);
        return;
    }
    if (m_side == Side::Server && m_stage == Stage::Greeting && message.isGreet())
        return onGreet(message.getGreet());
    if (m_side == Side::Client && m_stage == Stage::Greeting && message.isGreeted())
        return onGreeted(message.getGreeted());
    if (m_side == Side::Server && m_stage == Stage::Proving && message.isProven())
        return onProven(message.getProven());
    if (m_side == Side::Client && m_stage == Stage::Proving && message.isAdmitted())
        return becomeUp();
    fail(base::fail(Code::MessageMalformed, "a message before the greeting was done"));
}

void NodeLink::onGreet(wire::Greet::Reader greet)
{
    if (std::string(greet.getCluster().cStr()) != m_membership->cluster.text)
        return fail(base::fail(Code::WrongCluster, "a peer of cluster " + std::string(greet.getCluster().cStr())));
    if (!copyTo(m_clientNonce, greet.getNonce()))
        return fail(base::fail(Code::MessageMalformed, "a nonce of the wrong size"));
    m_peer = { greet.getHost().cStr() };
    m_serverNonce = freshNonce();
    const Mac mac = prove(*m_membership, Side::Server, m_clientNonce, m_serverNonce, m_membership->host.text);
    capnp::MallocMessageBuilder message;
    auto greeted = message.initRoot<wire::LinkMessage>().initGreeted();
    greeted.setHost(m_membership->host.text);
    greeted.setNonce(asData(m_serverNonce));
    greeted.setMac(asData(mac));
    send(message);
    m_stage = Stage::Proving;
}

void NodeLink::onGreeted(wire::Greeted::Reader greeted)
{
    Mac mac {};
    if (!copyTo(m_serverNonce, greeted.getNonce()) || !copyTo(mac, greeted.getMac()))
        return fail(base::fail(Code::MessageMalformed, "a nonce or proof of the wrong size"));
    m_peer = { greeted.getHost().cStr() };
    if (!holds(*m_membership, Side::Server, m_clientNonce, m_serverNonce, m_peer.text, mac))
        return fail(base::fail(Code::WrongKey, "the peer does not hold the cluster's key"));
    const Mac own = prove(*m_membership, Side::Client, m_clientNonce, m_serverNonce, m_membership->host.text);
    capnp::MallocMessageBuilder message;
    message.initRoot<wire::LinkMessage>().setProven(asData(own));
    send(message);
    m_stage = Stage::Proving;
}

void NodeLink::onProven(capnp::Data::Reader proof)
{
    Mac mac {};
    if (!copyTo(mac, proof) || !holds(*m_membership, Side::Client, m_clientNonce, m_serverNonce, m_peer.text, mac))
        return fail(base::fail(Code::WrongKey, "the peer does not hold the cluster's key"));
    capnp::MallocMessageBuilder message;
    message.initRoot<wire::LinkMessage>().setAdmitted();
    send(message);
    becomeUp();
}

void NodeLink::becomeUp()
{
    m_stage = Stage::Up;
    m_handler.up(*this);
}

void NodeLink::onTick()
{
    if (m_failure)
        return;
    if (base::steadyNow() - m_lastHeard > silenceLimit)
        return fail(base::fail(Code::PeerSilent, "no byte for " + std::to_string(silenceLimit.ms) + " ms"));
    if (m_stage != Stage::Up)
        return;
    capnp::MallocMessageBuilder message;
    message.initRoot<wire::LinkMessage>().setPing(0);
    send(message);
}

} // namespace appletally::inner
