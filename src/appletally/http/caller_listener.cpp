// Accepts callers' connections and enforces their timeouts.
#include "appletally/http/caller_listener.h"

#include "appletally/base/loop_time.h"
#include "appletally/http/caller_connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>

namespace appletally::http {

using base::Code;

constexpr int listenBacklog = 1024; // many callers reconnect at once when a neighbouring node fails
constexpr base::Duration sweepInterval { 250 }; // a timeout is detected at most this much late
constexpr base::Duration releaseInterval { 200 }; // of free memory, while large bodies have no room

CallerListener::CallerListener(event_base* loop, ListenerLimits limits, Hooks hooks)
    : m_loop(loop)
    , m_limits(limits)
    , m_hooks(std::move(hooks))
    , m_bodyMemory(std::make_shared<policy::BodyMemory>())
{
    m_sweepTimer = event_new(
        loop, -1, EV_PERSIST, [](evutil_socket_t, short, void* arg) { static_cast<CallerListener*>(arg)->sweep(); }, this);
    m_closeIdle = evtimer_new(
        loop, [](evutil_socket_t, short, void* arg) { static_cast<CallerListener*>(arg)->closeIdleNow(); }, this);
    m_deleteClosedEvent = event_new(
        loop, -1, 0, [](evutil_socket_t, short, void* arg) { static_cast<CallerListener*>(arg)->deleteClosed(); }, this);
    const timeval every = base::toTimeval(sweepInterval);
    event_add(m_sweepTimer, &every);
}

CallerListener::~CallerListener()
{
    stopAccepting();
    while (!m_connections.empty()) {
        CallerConnection* it = *m_connections.begin();
        for (const auto& exchange : it->queue)
            exchange->onGone = nullptr;
        it->drop();
    }
    deleteClosed();
    event_free(m_sweepTimer);
    event_free(m_deleteClosedEvent);
    event_free(m_closeIdle);
}

base::Result<base::Address> CallerListener::listen(const base::Address& address)
{
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
    m_listener = evconnlistener_new_bind(
        m_loop, [](evconnlistener*, evutil_socket_t fd, sockaddr* from, int, void* self) {
            char ip[INET_ADDRSTRLEN] = "";
            inet_ntop(AF_INET, &reinterpret_cast<sockaddr_in*>(from)->sin_addr, ip, sizeof ip);
            static_cast<CallerListener*>(self)->accept(fd, ip);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, listenBacklog, reinterpret_cast<sockaddr*>(&to), sizeof to);
    if (!m_listener)
        return base::fail(Code::AddressInUse, "cannot listen on " + address.text());
    socklen_t n = sizeof to;
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&to), &n);
    return base::Address { address.ip, ntohs(to.sin_port) };
}

void CallerListener::accept(evutil_socket_t fd, const std::string& peerIp)
{
    if (m_connections.size() >= m_limits.maxConnections) {
        evutil_closesocket(fd);
        ++m_counts.rejected;
        return;
    }
    m_connections.insert(new CallerConnection(*this, fd, peerIp)); // drop() transfers ownership to m_closedConnections
    ++m_counts.connections;
}

policy::BodyRoom CallerListener::reserveBody(uint64_t bytes)
{
    m_bodyMemory->processBytes = m_limits.memoryBytes;
    if (m_limits.memoryBytes == 0)
        return policy::reserveBody(*m_bodyMemory, bytes, 0);
    const policy::BodyRoom room = policy::reserveBody(*m_bodyMemory, bytes, residentBytes());
    const base::Time now = base::steadyNow();
    if (room == policy::BodyRoom::Free || (m_memoryReleasedAt && now - *m_memoryReleasedAt < releaseInterval))
        return room;
    m_memoryReleasedAt = now;
    releaseFreeMemory();
    return policy::reserveBody(*m_bodyMemory, bytes, residentBytes());
}

size_t CallerListener::maxHeldBytes() const
{
    const uint64_t share = m_limits.memoryBytes / 8;
    return m_limits.memoryBytes > 0 ? std::min<uint64_t>(m_limits.maxHeldBytes, share) : m_limits.maxHeldBytes;
}

void CallerListener::resumeWaitingBodies()
{
    while (!m_waitingBodies.empty()) {
        CallerConnection* it = m_waitingBodies.front();
        if (reserveBody(it->waitingForBytes) != policy::BodyRoom::Free)
            return;
        m_waitingBodies.pop_front();
        it->resumeBody();
    }
}

void CallerListener::setLimits(const ListenerLimits& limits)
{
    m_limits = limits;
    if (limits.memoryBytes > 0)
        policy::observeOtherUse(*m_bodyMemory, residentBytes());
}

void CallerListener::setDraining(bool it) { m_draining = it; }

void CallerListener::stopAccepting()
{
    m_acceptingStopped = true;
    if (m_listener)
        evconnlistener_free(m_listener);
    m_listener = nullptr;
}

// Deferred to a later iteration of the event loop, which handles readable sockets before expired timers. Closing immediately
// would drop requests that arrived while the process was not scheduled and are still unread.
void CallerListener::closeIdle()
{
    const timeval delay { 0, 1000 };
    evtimer_add(m_closeIdle, &delay);
}

void CallerListener::closeIdleNow()
{
    const std::set<CallerConnection*> all = m_connections;
    for (CallerConnection* it : all) {
        const bool unanswered = evbuffer_get_length(bufferevent_get_output(it->buffers)) > 0;
        if (it->idle() && it->closing == Closing::No && !unanswered)
            it->startLinger();
    }
}

void CallerListener::sweep()
{
    const base::Time now = base::steadyNow();
    const std::set<CallerConnection*> all = m_connections;
    for (CallerConnection* it : all) {
        if (!m_connections.contains(it) || !it->timedOut(now))
            continue;
        if (it->waitingForBytes > 0) {
            it->refuseBody("no memory for the body became free in time");
            continue;
        }
        const bool halfRequest = it->closing == Closing::No && it->queue.empty() && it->reader.inMessage;
        if (halfRequest)
            it->reject(Code::CallerTooSlow, "request not received within the time limit");
        else
            it->drop();
    }
    resumeWaitingBodies();
}

void CallerListener::deleteClosed()
{
    m_endedExchanges.clear();
    m_closedConnections.clear();
    resumeWaitingBodies();
}

} // namespace appletally::http
