// Calls received over links. Each answer carries the id of its call, so answers may be sent in any order.
#include "appletally/node/owner_links.h"

#include "appletally/base/log.h"
#include "appletally/inner/suspect_wire.h"
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
    policy::ConnectionNumber number;
    std::map<uint64_t, OwnerCallId> calls; // peer's call id to local call id, until the run has ended
};

constexpr uint64_t waitingAnswersPart = 8; // of the process's memory

OwnerLinks::OwnerLinks(event_base* loop, const inner::Membership& membership, Owner& owner, uint64_t memoryBytes, OnClaim onClaim, OnSuspectRequests onSuspectRequests)
    : m_loop(loop)
    , m_membership(&membership)
    , m_owner(&owner)
    , m_onClaim(std::move(onClaim))
    , m_onSuspectRequests(std::move(onSuspectRequests))
    , m_answers(loop, memoryBytes / waitingAnswersPart, [this] { m_owner->readOn(); })
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
    it->number = m_answers.addLink({ [it](uint64_t id, evbuffer* body) { writeBody(*it->link, id, body); },
        [it](uint64_t id, const CallEnd& end, uint64_t bodyBytes) { writeEnd(*it->link, id, end, bodyBytes); } });
}

void OwnerLinks::writeBody(inner::NodeLink& link, uint64_t id, evbuffer* body)
{
    const size_t n = evbuffer_get_length(body);
    capnp::MallocMessageBuilder out(static_cast<unsigned>(n / sizeof(capnp::word) + 64));
    auto message = out.initRoot<LinkMessage>().initAnswerBody();
    message.setId(id);
    evbuffer_remove(body, message.initData(static_cast<unsigned>(n)).begin(), n);
    link.send(out);
}

void OwnerLinks::writeEnd(inner::NodeLink& link, uint64_t id, const CallEnd& end, uint64_t bodyBytes)
{
    capnp::MallocMessageBuilder out;
    if (end.error) {
        writeRefused(out.initRoot<LinkMessage>().initRefused(), id, end);
    } else {
        auto message = out.initRoot<LinkMessage>().initAnswerEnd();
        message.setId(id);
        message.setBodyBytes(bodyBytes);
        message.setRunMicros(static_cast<uint64_t>(end.runMicros));
        message.setOwnerMicros(static_cast<uint64_t>(end.ownerMicros));
        message.setUsualRunMs(static_cast<uint32_t>(end.usualRun.ms));
        if (end.load)
            writeLoad(message.initLoad(), *end.load);
    }
    link.send(out);
}

void OwnerLinks::onDown(InboundLink& it, const base::Error& error)
{
    const bool ordinary = error.code == Code::PeerGone || error.code == Code::PeerTimedOut;
    ++(ordinary ? m_counts.lost : m_counts.refused);
    base::logEvent(ordinary ? base::Event::LinkDown : base::Event::LinkRefused, it.link->peer().text + ": " + error.text);
    const std::map<uint64_t, OwnerCallId> calls = std::move(it.calls);
    for (const auto& [theirs, ours] : calls)
        m_owner->cancel(ours);
    m_answers.removeLink(it.number);
    m_links.remove_if([&](const auto& link) { return link.get() == &it; });
}

void OwnerLinks::onMessage(InboundLink& it, LinkMessage::Reader message)
{
    switch (message.which()) {
    case LinkMessage::CALL:
        return onCall(it, message.getCall());
    case LinkMessage::CALL_BODY:
        return onCallBody(it, message.getCallBody());
    case LinkMessage::CANCEL: {
        m_answers.cancel({ it.number, message.getCancel() });
        auto found = it.calls.find(message.getCancel());
        if (found == it.calls.end())
            return;
        m_owner->cancel(found->second);
        it.calls.erase(found);
        return;
    }
    case LinkMessage::CREDIT: {
        const auto credit = message.getCredit();
        m_answers.acknowledged({ it.number, credit.getId() }, credit.getBytes());
        auto found = it.calls.find(credit.getId());
        if (found != it.calls.end())
            m_owner->consumed(found->second, credit.getBytes());
        return;
    }
    case LinkMessage::CLAIM:
        return onClaim(it, message.getClaim());
    case LinkMessage::SUSPECTS:
        return m_onSuspectRequests(inner::read(message.getSuspects()));
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
    Call call = readCall(message, base::steadyNow());
    handler.head = [this, weak, id, method = call.method](const http::AnswerHead& head) {
        auto accepted = weak.lock();
        if (!accepted)
            return;
        capnp::MallocMessageBuilder out;
        writeHead(out.initRoot<LinkMessage>().initAnswerHead(), id, head);
        accepted->link->send(out);
        m_answers.begin({ accepted->number, id }, http::answerHasBody(method, head.status) ? head.length : 0);
    };
    handler.body = [this, weak, id](evbuffer* buf) {
        if (auto accepted = weak.lock())
            m_answers.body({ accepted->number, id }, buf);
        else
            evbuffer_drain(buf, evbuffer_get_length(buf));
    };
    handler.end = [this, weak, id](const CallEnd& end) {
        auto accepted = weak.lock();
        if (!accepted)
            return;
        accepted->calls.erase(id);
        m_answers.end({ accepted->number, id }, end);
    };
    handler.wantBody = [weak, id](uint64_t bytes) {
        auto accepted = weak.lock();
        if (!accepted)
            return;
        capnp::MallocMessageBuilder out;
        auto credit = out.initRoot<LinkMessage>().initBodyCredit();
        credit.setId(id);
        credit.setBytes(bytes);
        accepted->link->send(out);
    };
    handler.isFull = [this] { return m_answers.isFull(); };
    it.calls[id] = m_owner->start(std::move(call), std::move(handler));
}

void OwnerLinks::onCallBody(InboundLink& it, inner::wire::CallBody::Reader message)
{
    const auto found = it.calls.find(message.getId());
    if (found == it.calls.end())
        return; // it has ended, and its credit crossed this
    const auto data = message.getData();
    if (!m_owner->appendBody(found->second, { reinterpret_cast<const char*>(data.begin()), data.size() }))
        it.link->fail(base::fail(Code::MessageMalformed, "more of a request body than was requested"));
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
    for (const auto& it : m_links) {
        if (!m_answers.hasAnswers(it->number))
            it->link->finish();
    }
}

void OwnerLinks::broadcastLoad(const policy::Load& load, std::span<const config::SuspectRequest> suspects)
{
    capnp::MallocMessageBuilder out;
    auto message = out.initRoot<LinkMessage>().initLoad();
    writeLoad(message, load);
    if (!suspects.empty())
        inner::write(message.initSuspects(static_cast<unsigned>(suspects.size())), suspects);
    for (const auto& it : m_links) {
        if (it->link->isUp())
            it->link->send(out);
    }
}

} // namespace appletally::node
