// Outbound calls over links. If a link is lost, a call that was not yet written to it has not run; the outcome of any other
// is unknown.
#include "appletally/node/peers.h"

#include "appletally/base/log.h"
#include "appletally/base/loop_time.h"
#include "appletally/inner/suspect_wire.h"
#include "appletally/node/wire.h"
#include "appletally/policy/link_keeping.h"

#include <algorithm>
#include <capnp/message.h>
#include <utility>

namespace appletally::node {

using base::Code;
using base::Duration;
using inner::wire::LinkMessage;

constexpr Duration suspicionCheckInterval { 100 };
constexpr Duration idleLinkCheckInterval { 1000 };
constexpr size_t maxBodyPieceBytes = 64 * 1024; // messages of other calls are sent between two pieces
constexpr size_t maxPendingClaims = 10000; // per link; exceeded only in case of a fault

struct Peers::Link {
    base::HostId host;
    base::Address address;
    std::unique_ptr<inner::NodeLink> link;
    std::vector<std::function<void()>> waiting; // sent once the link is up
    std::map<uint64_t, OnClaimAnswer> claims;
    size_t calls = 0;
    uint64_t uses = 0; // calls and claim messages
    base::Time lastUsed;
    base::Time dialedAt;
};

struct Peers::PendingCall {
    std::shared_ptr<Link> link;
    CallHandler handler;
    bool written = false; // if set, the call may have run
    uint64_t received = 0; // body bytes
};

Peers::Peers(event_base* loop, const inner::Membership& membership, Events events)
    : m_loop(loop)
    , m_membership(&membership)
    , m_events(std::move(events))
{
    m_tick = event_new(
        loop, -1, EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<Peers*>(self)->onTick(); }, this);
    m_refuse = evtimer_new(
        loop, [](evutil_socket_t, short, void* self) {
            auto* it = static_cast<Peers*>(self);
            for (auto& [id, error] : std::exchange(it->m_refused, {})) {
                CallEnd end;
                end.error = std::move(error);
                it->finish(id, end);
            }
        },
        this);
    const timeval every = base::toTimeval(suspicionCheckInterval);
    event_add(m_tick, &every);
}

Peers::~Peers()
{
    event_free(m_tick);
    event_free(m_refuse);
}

std::shared_ptr<Peers::Link> Peers::linkTo(const base::HostId& host, const base::Address& address, bool mustBeFresh)
{
    auto found = m_current.find(host);
    if (found != m_current.end() && found->second->address == address) {
        const auto& it = found->second;
        // A link that is still in its handshake counts as fresh.
        if (!mustBeFresh || !it->link->isUp() || it->link->isFresh(base::steadyNow()))
            return it;
    }
    auto made = std::make_shared<Link>();
    Link* it = made.get();
    it->host = host;
    it->address = address;
    it->lastUsed = it->dialedAt = base::steadyNow();
    inner::LinkHandler handler;
    handler.up = [it](inner::NodeLink&) {
        const auto waiting = std::move(it->waiting);
        for (const auto& send : waiting)
            send();
    };
    handler.message = [this, it](inner::NodeLink&, LinkMessage::Reader message) { onMessage(*it, message); };
    handler.down = [this, it](inner::NodeLink&, const base::Error& error) { onDown(*it, error); };
    it->link = inner::NodeLink::dial(m_loop, address, *m_membership, std::move(handler));
    m_links.push_back(made);
    m_current[host] = made;
    return made;
}

PeerCallId Peers::start(const base::HostId& host, const base::Address& address, const Call& call, bool mayRepeat, CallHandler handler)
{
    const PeerCallId id = ++m_lastId;
    auto pending = std::make_unique<PendingCall>();
    pending->link = linkTo(host, address, !mayRepeat);
    pending->handler = std::move(handler);
    Link& link = *pending->link;
    ++link.calls;
    ++link.uses;
    link.lastUsed = base::steadyNow();
    m_calls[id] = std::move(pending);
    if (link.link->isUp())
        write(id, call);
    else
        link.waiting.push_back([this, id, call] { write(id, call); });
    return id;
}

void Peers::write(PeerCallId id, const Call& call)
{
    auto found = m_calls.find(id);
    if (found == m_calls.end())
        return; // cancelled before the link was up
    inner::NodeLink& link = *found->second->link->link;
    if (call.bodyBytes > 0 && !link.peerTakesBodies())
        return refuseLater(id, base::fail(Code::NoUpstream, "the node there is of an older version, which takes no large bodies"));
    capnp::MallocMessageBuilder out(static_cast<unsigned>(call.body.size() / sizeof(capnp::word) + 256));
    writeCall(out.initRoot<LinkMessage>().initCall(), id, call, base::steadyNow());
    if (!link.send(out))
        return refuseLater(id, base::fail(Code::HeadersTooLarge, "the headers do not fit in a message between nodes"));
    found->second->written = true;
}

void Peers::refuseLater(PeerCallId id, base::Error error)
{
    m_refused.push_back({ id, std::move(error) });
    event_active(m_refuse, 0, 0);
}

void Peers::appendBody(PeerCallId id, std::string_view bytes)
{
    auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    while (!bytes.empty()) {
        const std::string_view piece = bytes.substr(0, maxBodyPieceBytes);
        bytes.remove_prefix(piece.size());
        capnp::MallocMessageBuilder out(static_cast<unsigned>(piece.size() / sizeof(capnp::word) + 64));
        auto message = out.initRoot<LinkMessage>().initCallBody();
        message.setId(id);
        message.setData({ reinterpret_cast<const uint8_t*>(piece.data()), piece.size() });
        found->second->link->link->send(out);
    }
}

Peers::PendingCall* Peers::find(Link& link, uint64_t id)
{
    auto it = m_calls.find(id);
    // A peer may refer only to calls that were sent over its own link.
    return it == m_calls.end() || it->second->link.get() != &link ? nullptr : it->second.get();
}

void Peers::cancel(PeerCallId id)
{
    auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    Link& link = *found->second->link;
    if (found->second->written && link.link->isUp()) {
        capnp::MallocMessageBuilder out;
        out.initRoot<LinkMessage>().setCancel(id);
        link.link->send(out);
    }
    --link.calls;
    m_calls.erase(found);
}

void Peers::consumed(PeerCallId id, uint64_t bytes)
{
    auto found = m_calls.find(id);
    if (found == m_calls.end() || bytes == 0)
        return;
    capnp::MallocMessageBuilder out;
    auto credit = out.initRoot<LinkMessage>().initCredit();
    credit.setId(id);
    credit.setBytes(bytes);
    found->second->link->link->send(out);
}

void Peers::onMessage(Link& link, LinkMessage::Reader message)
{
    switch (message.which()) {
    case LinkMessage::ANSWER_HEAD:
        return onAnswerHead(link, message.getAnswerHead());
    case LinkMessage::ANSWER_BODY:
        return onAnswerBody(link, message.getAnswerBody());
    case LinkMessage::ANSWER_END:
        return onAnswerEnd(link, message.getAnswerEnd());
    case LinkMessage::BODY_CREDIT: {
        PendingCall* it = find(link, message.getBodyCredit().getId());
        if (it && it->handler.wantBody)
            it->handler.wantBody(message.getBodyCredit().getBytes());
        return;
    }
    case LinkMessage::REFUSED:
        if (find(link, message.getRefused().getId()))
            finish(message.getRefused().getId(), readRefused(message.getRefused()));
        return;
    case LinkMessage::LOAD:
        if (message.getLoad().hasSuspects())
            m_events.suspectRequests(inner::read(message.getLoad().getSuspects()));
        return m_events.load(link.host, readLoad(message.getLoad()));
    case LinkMessage::CLAIM: {
        auto it = link.claims.find(message.getClaim().getId());
        if (it == link.claims.end())
            return;
        const auto answer = std::move(it->second);
        link.claims.erase(it);
        const auto data = message.getClaim().getBody();
        return answer(std::string(data.begin(), data.end()));
    }
    default:
        link.link->fail(base::fail(Code::MessageMalformed, "unexpected message type from an accepting node"));
    }
}

void Peers::onAnswerHead(Link& link, inner::wire::AnswerHead::Reader message)
{
    PendingCall* it = find(link, message.getId());
    if (it && it->handler.head)
        it->handler.head(readHead(message));
}

void Peers::onAnswerBody(Link& link, inner::wire::AnswerBody::Reader message)
{
    PendingCall* it = find(link, message.getId());
    if (!it)
        return;
    const auto data = message.getData();
    it->received += data.size();
    evbuffer* buf = evbuffer_new();
    evbuffer_add(buf, data.begin(), data.size());
    it->handler.body(buf);
    evbuffer_free(buf);
}

void Peers::onAnswerEnd(Link& link, inner::wire::AnswerEnd::Reader message)
{
    PendingCall* it = find(link, message.getId());
    if (!it)
        return;
    CallEnd end;
    if (it->received != message.getBodyBytes())
        end.error = base::fail(Code::AnswerTruncated, "the received body length differs from the sent one");
    if (message.hasLoad())
        end.load = readLoad(message.getLoad());
    end.runMicros = static_cast<int64_t>(message.getRunMicros());
    end.usualRun = { message.getUsualRunMs() };
    end.ownerMicros = static_cast<int64_t>(message.getOwnerMicros());
    finish(message.getId(), end);
}

void Peers::finish(PeerCallId id, const CallEnd& end)
{
    auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const auto pending = std::move(found->second);
    --pending->link->calls;
    m_calls.erase(found);
    if (pending->handler.end)
        pending->handler.end(end);
}

void Peers::onDown(Link& link, const base::Error& error)
{
    base::logEvent(base::Event::LinkDown, link.host.text + ": " + error.text);
    std::shared_ptr<Link> kept;
    for (const auto& it : m_links) {
        if (it.get() == &link)
            kept = it;
    }
    m_links.remove(kept);
    auto current = m_current.find(link.host);
    if (current != m_current.end() && current->second == kept)
        m_current.erase(current);

    std::vector<std::pair<PeerCallId, bool>> calls;
    for (const auto& [id, it] : m_calls) {
        if (it->link == kept)
            calls.push_back({ id, it->written });
    }
    for (const auto& [id, written] : calls)
        finish(id, { base::fail(written ? Code::OutcomeUnknown : Code::NoUpstream, "the link to " + link.host.text + ": " + error.text), {}, 0 });
    for (const auto& [id, answer] : kept->claims)
        answer({});
}

void Peers::tellSuspectRequests(std::span<const config::SuspectRequest> suspects)
{
    capnp::MallocMessageBuilder out;
    inner::write(out.initRoot<LinkMessage>().initSuspects(static_cast<unsigned>(suspects.size())), suspects);
    for (const auto& [host, it] : m_current) {
        if (it->link->isUp())
            it->link->send(out);
    }
}

void Peers::sendClaimMessage(const base::HostId& host, const base::Address& address, const std::string& body, OnClaimAnswer answer)
{
    const auto it = linkTo(host, address, true);
    ++it->uses;
    it->lastUsed = base::steadyNow();
    if (it->claims.size() >= maxPendingClaims)
        return answer({});
    const uint64_t id = ++m_lastId;
    it->claims[id] = std::move(answer);
    Link* link = it.get();
    const auto write = [link, id, body] {
        capnp::MallocMessageBuilder out;
        auto claim = out.initRoot<LinkMessage>().initClaim();
        claim.setId(id);
        claim.setBody({ reinterpret_cast<const uint8_t*>(body.data()), body.size() });
        link->link->send(out);
    };
    if (link->link->isUp())
        write();
    else
        link->waiting.push_back(write);
}

void Peers::onTick()
{
    const base::Time now = base::steadyNow();
    findSuspects(now);
    if (now - m_idleLinksCheckedAt < idleLinkCheckInterval)
        return;
    m_idleLinksCheckedAt = now;
    closeUnusedLinks(now);
}

void Peers::findSuspects(base::Time now)
{
    const auto before = std::move(m_suspects);
    m_suspects.clear();
    for (const auto& [host, it] : m_current) {
        const bool silent = it->link->isUp() ? !it->link->isFresh(now) : now - it->dialedAt > inner::maxFreshLinkAge;
        if (silent)
            m_suspects.push_back(host);
    }
    // Iterates over a copy, since the handler may dial and change the list.
    const auto found = m_suspects;
    for (const base::HostId& host : found) {
        if (std::find(before.begin(), before.end(), host) == before.end())
            m_events.suspected(host);
    }
}

void Peers::closeUnusedLinks(base::Time now)
{
    for (const auto& it : m_links) {
        const auto current = m_current.find(it->host);
        const bool replaced = current == m_current.end() || current->second != it;
        const bool unused = it->calls == 0 && it->claims.empty();
        if (unused && (replaced || now - it->lastUsed > policy::linkIdleTime(it->uses)))
            it->link->fail(base::fail(Code::PeerGone, "no longer used"));
    }
}

} // namespace appletally::node
