// Handshake and heartbeats of a node link.
#include "appletally/inner/node_link.h"

#include "appletally/base/log.h"
#include "appletally/base/loop_time.h"
#include "appletally/inner/frame.h"
#include "appletally/inner/rpc_limits.h"

#include <algorithm>
#include <arpa/inet.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace appletally::inner {

using base::Code;

static capnp::Data::Reader toDataReader(const auto& bytes) { return { bytes.data(), bytes.size() }; }

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
    , m_lastReceived(base::steadyNow())
{
    m_heartbeatTimer = event_new(
        loop, -1, EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<NodeLink*>(self)->onHeartbeatTimer(); }, this);
    m_downEvent = event_new(
        loop, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<NodeLink*>(self)->notifyDown(); }, this);
    const timeval every = base::toTimeval(heartbeatInterval);
    event_add(m_heartbeatTimer, &every);
}

NodeLink::~NodeLink()
{
    if (m_bufferEvent)
        bufferevent_free(m_bufferEvent);
    event_free(m_heartbeatTimer);
    event_free(m_downEvent);
}

void NodeLink::attach(evutil_socket_t fd)
{
    m_bufferEvent = bufferevent_socket_new(m_loop, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        m_bufferEvent, [](bufferevent*, void* self) { static_cast<NodeLink*>(self)->onReadable(); },
        [](bufferevent*, void* self) { static_cast<NodeLink*>(self)->closeDirectionIfWritten(); },
        [](bufferevent* buffers, short what, void* self) {
            if (what & BEV_EVENT_CONNECTED) {
                const int one = 1;
                setsockopt(bufferevent_getfd(buffers), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                bufferevent_set_timeouts(buffers, nullptr, nullptr);
                static_cast<NodeLink*>(self)->greet();
            } else if (what & BEV_EVENT_TIMEOUT)
                static_cast<NodeLink*>(self)->fail(base::fail(Code::PeerTimedOut, "connect timed out after " + std::to_string(connectTimeout.ms) + " ms"));
            else if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
                static_cast<NodeLink*>(self)->fail(base::fail(Code::PeerGone, "connection closed"));
        },
        this);
    bufferevent_enable(m_bufferEvent, EV_READ | EV_WRITE);
}

std::unique_ptr<NodeLink> NodeLink::dial(event_base* loop, const base::Address& address, const Membership& membership, LinkHandler handler)
{
    std::unique_ptr<NodeLink> link(new NodeLink(loop, membership, std::move(handler), Side::Client));
    link->attach(-1);
    const timeval limit = base::toTimeval(connectTimeout);
    bufferevent_set_timeouts(link->m_bufferEvent, nullptr, &limit); // until connected
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
    if (bufferevent_socket_connect(link->m_bufferEvent, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
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

bool NodeLink::send(capnp::MessageBuilder& message)
{
    if (m_failure || m_directionClosed || appendFrame(bufferevent_get_output(m_bufferEvent), message))
        return true;
    base::logEvent(base::Event::MessageNotSent, m_peer.text + ": " + std::to_string(capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word)) + " bytes");
    return false;
}

size_t NodeLink::backlog() const { return evbuffer_get_length(bufferevent_get_output(m_bufferEvent)); }

void NodeLink::fail(base::Error error)
{
    if (m_failure)
        return;
    m_failure = std::move(error);
    bufferevent_disable(m_bufferEvent, EV_READ | EV_WRITE);
    event_active(m_downEvent, 0, 0);
}

void NodeLink::finish()
{
    if (m_finishing)
        return;
    m_finishing = true;
    if (m_stage != Stage::Up)
        return fail(base::fail(Code::PeerGone, "this process is stopping"));
    closeDirectionIfWritten();
}

void NodeLink::closeDirectionIfWritten()
{
    if (!m_finishing || m_directionClosed || m_failure || backlog() > 0)
        return;
    m_directionClosed = true;
    ::shutdown(bufferevent_getfd(m_bufferEvent), SHUT_WR);
}

void NodeLink::notifyDown()
{
    // Moved out first: the handler may destroy this link, and the std::function with it.
    const auto down = std::move(m_handler.down);
    const base::Error error = *m_failure;
    down(*this, error);
}

void NodeLink::greet()
{
    m_clientNonce = generateNonce();
    capnp::MallocMessageBuilder message;
    auto greet = message.initRoot<wire::LinkMessage>().initGreet();
    greet.setCluster(m_membership->cluster.text);
    greet.setHost(m_membership->host.text);
    greet.setNonce(toDataReader(m_clientNonce));
    send(message);
}

void NodeLink::onReadable()
{
    m_lastReceived = base::steadyNow();
    while (!m_failure) {
        auto frame = takeFrame(bufferevent_get_input(m_bufferEvent), m_stage == Stage::Up ? maxFrameBytes : maxHandshakeFrameBytes);
        if (!frame)
            return fail(frame.error());
        if (frame.value().words.size() == 0)
            return;
        // A malformed message may throw here or on any later access, including those in the handler.
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
        // Not answered: both sides send heartbeats.
        if (!message.isPing() && !message.isPong())
            m_handler.message(*this, message);
        return;
    }
    if (m_side == Side::Server && m_stage == Stage::Handshake && message.isGreet())
        return onGreet(message.getGreet());
    if (m_side == Side::Client && m_stage == Stage::Handshake && message.isGreeted())
        return onGreeted(message.getGreeted());
    if (m_side == Side::Server && m_stage == Stage::Proving && message.isProven())
        return onProven(message.getProven());
    if (m_side == Side::Client && m_stage == Stage::Proving && message.isAdmitted())
        return markUp();
    fail(base::fail(Code::MessageMalformed, "unexpected message during the handshake"));
}

void NodeLink::onGreet(wire::Greet::Reader greet)
{
    if (std::string(greet.getCluster().cStr()) != m_membership->cluster.text)
        return fail(base::fail(Code::WrongCluster, "peer belongs to cluster " + std::string(greet.getCluster().cStr())));
    if (!copyTo(m_clientNonce, greet.getNonce()))
        return fail(base::fail(Code::MessageMalformed, "wrong nonce size"));
    m_peer = { greet.getHost().cStr() };
    m_serverNonce = generateNonce();
    const Mac mac = makeProof(*m_membership, Side::Server, m_clientNonce, m_serverNonce, m_membership->host.text);
    capnp::MallocMessageBuilder message;
    auto greeted = message.initRoot<wire::LinkMessage>().initGreeted();
    greeted.setHost(m_membership->host.text);
    greeted.setNonce(toDataReader(m_serverNonce));
    greeted.setMac(toDataReader(mac));
    greeted.setTakesBodies(true);
    send(message);
    m_stage = Stage::Proving;
}

void NodeLink::onGreeted(wire::Greeted::Reader greeted)
{
    Mac mac {};
    if (!copyTo(m_serverNonce, greeted.getNonce()) || !copyTo(mac, greeted.getMac()))
        return fail(base::fail(Code::MessageMalformed, "wrong nonce or proof size"));
    m_peer = { greeted.getHost().cStr() };
    m_peerTakesBodies = greeted.getTakesBodies();
    if (!verifyProof(*m_membership, Side::Server, m_clientNonce, m_serverNonce, m_peer.text, mac))
        return fail(base::fail(Code::WrongKey, "peer failed to prove the cluster key"));
    const Mac own = makeProof(*m_membership, Side::Client, m_clientNonce, m_serverNonce, m_membership->host.text);
    capnp::MallocMessageBuilder message;
    message.initRoot<wire::LinkMessage>().setProven(toDataReader(own));
    send(message);
    m_stage = Stage::Proving;
}

void NodeLink::onProven(capnp::Data::Reader proof)
{
    Mac mac {};
    if (!copyTo(mac, proof) || !verifyProof(*m_membership, Side::Client, m_clientNonce, m_serverNonce, m_peer.text, mac))
        return fail(base::fail(Code::WrongKey, "peer failed to prove the cluster key"));
    capnp::MallocMessageBuilder message;
    message.initRoot<wire::LinkMessage>().setAdmitted();
    send(message);
    markUp();
}

void NodeLink::markUp()
{
    m_stage = Stage::Up;
    m_handler.up(*this);
}

void NodeLink::onHeartbeatTimer()
{
    if (m_failure)
        return;
    if (base::steadyNow() - m_lastReceived > silenceTimeout)
        return fail(base::fail(Code::PeerTimedOut, "no data received for " + std::to_string(silenceTimeout.ms) + " ms"));
    if (m_stage != Stage::Up || m_finishing)
        return;
    capnp::MallocMessageBuilder message;
    message.initRoot<wire::LinkMessage>().setPing(0);
    send(message);
}

} // namespace appletally::inner
