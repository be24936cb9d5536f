// Calls received over links. Each answer carries the id of its call, so answers may be sent in any order.
#include "appletally/node/owner_links.h"

#include "appletally/base/log.h"
#include "appletally/node/wire.h"

#include <algorithm>
#include <arpa/inet.h>
#include <capnp/message.h>
#include <netinet/in.h>
#include <utility>

namespace appletally::node {

using base::Code;
using inner::wire::LinkMessage;

// Sized for 2,500 nodes, of which each links to only some; a link takes about 12 KB of memory.
constexpr size_t maxLinks = 3000;

struct OwnerLinks::InboundLink {
    std::unique_ptr<inner::NodeLink> link;
    std::map<uint64_t, OwnerCallId> calls; // peer's call id to local call id
    std::map<uint64_t, uint64_t> sentBytes; // body bytes by the peer's call id
};

OwnerLinks::OwnerLinks(event_base* loop, const inner::Membership& membership, Owner& owner, OnClaim onClaim)
    : m_loop(loop)
    , m_membership(&membership)
    , m_owner(&owner)
    , m_onClaim(std::move(onClaim))
{
}

OwnerLinks::~OwnerLinks()
{
    if (m_listener)
        evconnlistener_free(m_listener);
}

base::Result<base::Address> OwnerLinks::listen(const base::Address& address)
{
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
    m_listener = evconnlistener_new_bind(
        m_loop, [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) { static_cast<OwnerLinks*>(self)->accept(fd); }, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 1024, reinterpret_cast<sockaddr*>(&to), sizeof to);
    if (!m_listener)
        return base::fail(Code::AddressInUse, "cannot listen on " + address.text());
    socklen_t n = sizeof to;
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&to), &n);
    return base::Address { address.ip, ntohs(to.sin_port) };
}

void OwnerLinks::accept(evutil_socket_t fd)
{
    if (m_links.size() >= maxLinks) {
        evutil_closesocket(fd);
        ++m_counts.refused;
        return;
    }
    auto accepted = std::make_shared<InboundLink>();
    m_links.push_back(accepted);
    ++m_counts.accepted;
    InboundLink* it = accepted.get();
    inner::LinkHandler handler;
    handler.up = [](inner::NodeLink&) {};
    handler.message = [this, it](inner::NodeLink&, LinkMessage::Reader message) { onMessage(*it, message); };
    handler.down = [this, it](inner::NodeLink&, const base::Error& error) { onDown(*it, error); };
    it->link = inner::NodeLink::accept(m_loop, fd, *m_membership, std::move(handler));
}

void OwnerLinks::onDown(InboundLink& it, const base::Error& error)
{
    const bool ordinary = error.code == Code::PeerGone || error.code == Code::PeerTimedOut;
    ++(ordinary ? m_counts.lost : m_counts.refused);
    base::logEvent(ordinary ? base::Event::LinkDown : base::Event::LinkRefused, it.link->peer().text + ": " + error.text);
    const std::map<uint64_t, OwnerCallId> calls = std::move(it.calls);
    for (const auto& [theirs, ours] : calls)
        m_owner->cancel(ours);
    m_links.remove_if([&](const auto& link) { return link.get() == &it; });
}

void OwnerLinks::onMessage(InboundLink& it, LinkMessage::Reader message)
{
    switch (message.which()) {
    case LinkMessage::CALL:
        return onCall(it, message.getCall());
    case LinkMessage::CANCEL: {
        auto found = it.calls.find(message.getCancel());
        if (found == it.calls.end())
            return;
        m_owner->cancel(found->second);
        it.sentBytes.erase(found->first);
        it.calls.erase(found);
        return;
    }
    case LinkMessage::CREDIT: {
        auto found = it.calls.find(message.getCredit().getId());
        if (found != it.calls.end())
            m_owner->consumed(found->second, message.getCredit().getBytes());
        return;
    }
    case LinkMessage::CLAIM:
        return onClaim(it, message.getClaim());
    default:
        it.link->fail(base::fail(Code::MessageMalformed, "unexpected message type from a dialing node"));
    }
}

void OwnerLinks::onCall(InboundLink& it, inner::wire::Call::Reader message)
{
    const uint64_t id = message.getId();
    if (it.calls.contains(id))
        return it.link->fail(base::fail(Code::MessageMalformed, "duplicate call id"));
    // The link may go down while the call runs; the handlers then do nothing.
    std::weak_ptr<InboundLink> weak;
    for (const auto& link : m_links) {
        if (link.get() == &it)
            weak = link;
    }
    CallHandler handler;
    handler.head = [weak, id](const http::AnswerHead& head) {
        auto accepted = weak.lock();
        if (!accepted)
            return;
        capnp::MallocMessageBuilder out;
        writeHead(out.initRoot<LinkMessage>().initAnswerHead(), id, head);
        accepted->link->send(out);
    };
    handler.body = [weak, id](evbuffer* buf) {
        auto accepted = weak.lock();
        const size_t n = evbuffer_get_length(buf);
        if (accepted) {
            capnp::MallocMessageBuilder out(static_cast<unsigned>(n / sizeof(capnp::word) + 64));
            auto body = out.initRoot<LinkMessage>().initAnswerBody();
            body.setId(id);
            evbuffer_remove(buf, body.initData(static_cast<unsigned>(n)).begin(), n);
            accepted->sentBytes[id] += n;
            accepted->link->send(out);
        } else
            evbuffer_drain(buf, n);
    };
    handler.end = [this, weak, id](const CallEnd& end) {
        if (auto accepted = weak.lock())
            sendEnd(*accepted, id, end);
    };
    it.calls[id] = m_owner->start(readCall(message, base::steadyNow()), std::move(handler));
}

void OwnerLinks::sendEnd(InboundLink& it, uint64_t id, const CallEnd& end)
{
    capnp::MallocMessageBuilder out;
    if (end.error) {
        writeRefused(out.initRoot<LinkMessage>().initRefused(), id, end);
    } else {
        auto message = out.initRoot<LinkMessage>().initAnswerEnd();
        message.setId(id);
        message.setBodyBytes(it.sentBytes[id]);
        message.setRunMicros(static_cast<uint64_t>(end.runMicros));
        message.setOwnerMicros(static_cast<uint64_t>(end.ownerMicros));
        message.setUsualRunMs(static_cast<uint32_t>(end.usualRun.ms));
        if (end.load)
            writeLoad(message.initLoad(), *end.load);
    }
    it.link->send(out);
    it.calls.erase(id);
    it.sentBytes.erase(id);
}

void OwnerLinks::onClaim(InboundLink& it, inner::wire::Claim::Reader message)
{
    const uint64_t id = message.getId();
    std::weak_ptr<InboundLink> weak;
    for (const auto& link : m_links) {
        if (link.get() == &it)
            weak = link;
    }
    const auto data = message.getBody();
    m_onClaim(it.link->peer(), std::string(data.begin(), data.end()), [weak, id](const std::string& body) {
        auto accepted = weak.lock();
        if (!accepted)
            return;
        capnp::MallocMessageBuilder out;
        auto claim = out.initRoot<LinkMessage>().initClaim();
        claim.setId(id);
        claim.setBody({ reinterpret_cast<const uint8_t*>(body.data()), body.size() });
        accepted->link->send(out);
    });
}

void OwnerLinks::finish()
{
    if (m_listener)
        evconnlistener_free(std::exchange(m_listener, nullptr));
    for (const auto& it : m_links)
        it->link->finish();
}

void OwnerLinks::broadcastLoad(const policy::Load& load)
{
    capnp::MallocMessageBuilder out;
    writeLoad(out.initRoot<LinkMessage>().initLoad(), load);
    for (const auto& it : m_links) {
        if (it->link->isUp())
            it->link->send(out);
    }
}

} // namespace appletally::node
