// The pool of connections to one upstream, and the lifecycle of a connection.
#include "appletally/http/upstream_client.h"

#include "appletally/base/loop_time.h"
#include "appletally/http/upstream_connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace appletally::http {

using base::Code;
using base::Duration;

namespace {

    constexpr Duration sweepInterval { 500 };

    // An upstream's Keep-Alive timeout starts when it sends its answer, which is before the answer arrives here.
    constexpr Duration keepAliveMargin { 1000 };

    constexpr int maxRepeatedChecks = 3; // of an upstream that accepts connections and closes them
    constexpr Duration settleTime { 3 }; // within which a connection to a process that is ending closes

    constexpr int64_t secondsUnknown = -1;

    constexpr Duration clockStep { 1 };

    // Parses values such as "timeout=5, max=100".
    int64_t keepAliveSeconds(const std::vector<HeaderField>& headers)
    {
        const std::string* value = findHeader(headers, "Keep-Alive");
        const size_t at = value ? value->find("timeout=") : std::string::npos;
        if (at == std::string::npos)
            return secondsUnknown;
        int64_t out = secondsUnknown;
        std::from_chars(value->data() + at + std::string_view("timeout=").size(), value->data() + value->size(), out);
        return out;
    }

    enum class SocketState : uint8_t { Quiet,
        HasBytes,
        Ended };

    SocketState stateOf(evutil_socket_t fd)
    {
        char next = 0;
        const ssize_t n = recv(fd, &next, 1, MSG_PEEK | MSG_DONTWAIT);
        if (n > 0)
            return SocketState::HasBytes;
        return n < 0 && (errno == EAGAIN || errno == EINTR) ? SocketState::Quiet : SocketState::Ended;
    }

    std::string headOf(const UpstreamRequest& request)
    {
        std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
        bool hasHost = false;
        for (const HeaderField& it : request.headers) {
            out += it.name + ": " + it.value + "\r\n";
            hasHost |= sameName(it.name, "Host");
        }
        if (!hasHost)
            out += "Host: upstream\r\n";
        const bool bodyExpected = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
        const uint64_t length = request.body.size() + request.bodyLength;
        if (length > 0 || bodyExpected)
            out += "Content-Length: " + std::to_string(length) + "\r\n";
        return out + "\r\n";
    }

} // namespace

// --- Call ---

void UpstreamCall::cancel()
{
    if (m_finished)
        return;
    m_handler = {};
    if (m_connection)
        m_client->drop(*m_connection);
    m_client->finish(*this, {}, 0);
}

void UpstreamCall::pause()
{
    if (m_connection)
        bufferevent_disable(m_connection->buffers, EV_READ);
}

void UpstreamCall::resume()
{
    if (m_connection)
        bufferevent_enable(m_connection->buffers, EV_READ);
}

bool UpstreamCall::appendBody(std::string_view bytes)
{
    if (m_finished)
        return true;
    if (bytes.size() > m_bodyRequested - m_bodyAppended)
        return false;
    m_bodyAppended += bytes.size();
    evbuffer_add(bufferevent_get_output(m_connection->buffers), bytes.data(), bytes.size());
    return true;
}

// --- Connection ---

UpstreamConnection::UpstreamConnection(UpstreamClient& owner)
    : client(owner)
{
    reader.kind = MessageKind::Response;
    resetReader(reader);
}

UpstreamConnection::~UpstreamConnection()
{
    if (settleTimer)
        event_free(settleTimer);
    if (buffers)
        bufferevent_free(buffers);
}

bool UpstreamConnection::dial(const base::Address& address, Duration limit)
{
    // Callbacks are deferred, since connecting may fail immediately, inside start().
    buffers = bufferevent_socket_new(client.m_loop, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(
        buffers, [](bufferevent*, void* self) { static_cast<UpstreamConnection*>(self)->onReadable(); },
        [](bufferevent*, void* self) { static_cast<UpstreamConnection*>(self)->requestBody(); },
        [](bufferevent*, short what, void* self) { static_cast<UpstreamConnection*>(self)->onEvent(what); }, this);
    const timeval timeout = base::toTimeval(limit);
    bufferevent_set_timeouts(buffers, nullptr, &timeout); // for connecting; removed once connected
    bufferevent_enable(buffers, EV_READ | EV_WRITE);
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
    return bufferevent_socket_connect(buffers, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
}

void UpstreamConnection::send(UpstreamCall& it)
{
    call = &it;
    it.m_connection = this;
    reader.answersHead = it.m_request.method == "HEAD";
    headDelivered = false;
    skipping = false;
    skippedMessages = 0;
    skippedBytes = 0;
    if (!connected)
        return; // onEvent() sends it
    it.m_sent = used = true;
    sentAt = base::steadyNow();
    bufferevent_setwatermark(buffers, EV_WRITE, it.m_request.bodyLength > 0 ? it.m_request.bodyWindow / 2 : 0, 0);
    const std::string head = headOf(it.m_request);
    evbuffer* out = evbuffer_new();
    evbuffer_add(out, head.data(), head.size());
    evbuffer_add(out, it.m_request.body.data(), it.m_request.body.size());
    write(out);
    evbuffer_free(out);
    if (it.m_request.bodyLength > 0)
        bufferevent_trigger(buffers, EV_WRITE, BEV_TRIG_DEFER_CALLBACKS); // asks for the body
}

// Left to the event loop, the write would come after bytes that arrive in between. A failure shows when the rest is written.
void UpstreamConnection::write(evbuffer* request)
{
    evbuffer* waiting = bufferevent_get_output(buffers);
    if (evbuffer_get_length(waiting) == 0)
        evbuffer_write(request, bufferevent_getfd(buffers));
    evbuffer_add_buffer(waiting, request);
}

bool UpstreamConnection::headWaits() const
{
    return call && call->m_sent && evbuffer_get_length(bufferevent_get_output(buffers)) > call->m_request.body.size() + call->m_bodyAppended;
}

// Called when the output is at most half a window.
void UpstreamConnection::requestBody()
{
    if (dropped || !call || call->m_bodyRequested == call->m_request.bodyLength)
        return;
    const uint64_t pending = call->m_bodyRequested - call->m_bodyAppended + evbuffer_get_length(bufferevent_get_output(buffers));
    const uint64_t window = call->m_request.bodyWindow;
    if (pending > window / 2)
        return;
    const uint64_t n = std::min(window - pending, call->m_request.bodyLength - call->m_bodyRequested);
    call->m_bodyRequested += n;
    call->m_handler.wantBody(n); // last, because it may end the call
}

bool UpstreamConnection::bodyIncomplete() const { return call && call->m_bodyAppended < call->m_request.bodyLength; }

void UpstreamConnection::onEvent(short what)
{
    if (what & BEV_EVENT_CONNECTED) {
        connected = true;
        bufferevent_set_timeouts(buffers, nullptr, nullptr);
        const int one = 1;
        setsockopt(bufferevent_getfd(buffers), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        if (call && client.mayUse(*this))
            send(*call);
        else if (!dropped)
            onDialedIdle();
        return;
    }
    if (onDialed && !call)
        return onDialedClosed(what);
    // A reset that a write has met lets the next read find an orderly end; deferred callbacks report both at once.
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
        onClosed((what & BEV_EVENT_EOF) != 0 && (what & BEV_EVENT_ERROR) == 0);
}

void UpstreamConnection::onDialedIdle()
{
    idleTimeout = client.m_limits.maxIdleTimeUnused;
    client.keepIdle(*this);
    if (!onDialed)
        return;
    settleTimer = event_new(
        client.m_loop, -1, 0, [](evutil_socket_t, short, void* arg) {
            auto* self = static_cast<UpstreamConnection*>(arg);
            if (stateOf(bufferevent_getfd(self->buffers)) == SocketState::Ended)
                return; // the callback that tells of it is deferred, and comes after this timer where the loop is late
            const auto done = std::exchange(self->onDialed, {});
            if (done)
                done(true);
        },
        this);
    const timeval wait = base::toTimeval(settleTime);
    event_add(settleTimer, &wait);
}

// A process that ends closes its sockets one after the other, the listening one perhaps last.
void UpstreamConnection::onDialedClosed(short what)
{
    const auto done = std::exchange(onDialed, {});
    const bool wasConnected = connected;
    client.drop(*this);
    if (wasConnected && dialsLeft > 0)
        return client.checkListening(done, dialsLeft - 1);
    done(wasConnected || (what & BEV_EVENT_TIMEOUT) != 0); // a frozen process does not refuse
}

void UpstreamConnection::onReadable()
{
    if (!call) {
        client.onStrayBytes();
        return client.drop(*this);
    }
    if (headWaits()) {
        client.onStrayBytes();
        return client.sendElsewhere(*call);
    }
    while (!dropped && call && step()) { }
}

bool UpstreamConnection::step()
{
    evbuffer* body = evbuffer_new();
    evbuffer* in = bufferevent_get_input(buffers);
    const size_t before = evbuffer_get_length(in);
    const ReadStep read = readNext(reader, in, body);
    if (!headDelivered)
        skippedBytes += before - evbuffer_get_length(in);
    if (read == ReadStep::Body && headDelivered && call->m_handler.body)
        call->m_handler.body(body);
    evbuffer_free(body);
    if (dropped || !call)
        return false; // cancelled by the handler
    if (!checkLimits())
        return false;
    switch (read) {
    case ReadStep::NeedMore:
        return false;
    case ReadStep::Head:
        onAnswerHead();
        return true;
    case ReadStep::Body:
        return true;
    case ReadStep::End:
        onAnswerEnd();
        return true;
    default:
        end(base::fail(Code::InvalidUpstreamAnswer, "the upstream's answer is not valid HTTP: " + reader.problem));
        return false;
    }
}

bool UpstreamConnection::checkLimits()
{
    const ClientLimits& limits = client.m_limits;
    const int64_t stated = reader.head.hasBody ? reader.head.length : 0;
    const uint64_t bodyBytes = std::max(reader.bodyBytes, static_cast<uint64_t>(std::max<int64_t>(stated, 0)));
    const bool skippedTooMuch = skippedBytes > limits.maxSkippedBytes || skippedMessages > limits.maxSkippedMessages;
    const bool tooLarge = !skipping && bodyBytes > limits.maxAnswerBytes;
    if (!skippedTooMuch && !tooLarge)
        return true;
    ++client.m_counts.endlessAnswers;
    end(base::fail(headDelivered ? Code::AnswerTruncated : Code::InvalidUpstreamAnswer, tooLarge ? "the upstream's answer is larger than any allowed one" : "the upstream sends without end, but no answer to this request"));
    return false;
}

// An answer with another id belongs to a cancelled request; the answer to the current one may follow. An answer without an
// id could belong to either, so it is an error where ids are required.
void UpstreamConnection::onAnswerHead()
{
    const UpstreamRequest& request = call->m_request;
    skipping = reader.head.status < 200; // interim response: the answer follows
    skippedMessages += skipping ? 1 : 0;
    if (skipping)
        return;
    if (!request.id.empty()) {
        const std::string* id = findHeader(reader.head.headers, request.idHeader);
        if (!id && request.idRequired)
            return end(base::fail(Code::InvalidUpstreamAnswer, "the upstream's answer does not repeat the request id"));
        if (id && *id != request.id) {
            ++client.m_counts.unsolicitedAnswers;
            client.m_strayBytesAt = base::steadyNow();
            ++skippedMessages;
            skipping = sawUnsolicited = true;
            return;
        }
    }
    headDelivered = true;
    const int64_t seconds = keepAliveSeconds(reader.head.headers);
    idleTimeout = seconds == secondsUnknown ? client.m_limits.maxIdleTime : std::min(client.m_limits.maxIdleTime, Duration { seconds * 1000 } - keepAliveMargin);
    AnswerHead head { reader.head.status, reader.head.headers, reader.head.length };
    if (call->m_handler.head)
        call->m_handler.head(head);
}

void UpstreamConnection::onAnswerEnd()
{
    const bool keepAlive = reader.head.keepAlive;
    if (skipping) {
        resetReader(reader);
        if (!keepAlive)
            end(base::fail(Code::InvalidUpstreamAnswer, "the upstream closed the connection before it answered"));
        return;
    }
    if (!keepAlive)
        idleTimeout = {};
    end({});
}

void UpstreamConnection::onClosed(bool orderly)
{
    if (!call)
        return client.drop(*this);
    if (!connected)
        return end(base::fail(Code::NoUpstream, "the upstream cannot be reached at " + client.m_address.text()));
    if (orderly && headDelivered && endsWithConnection(reader)) {
        idleTimeout = {};
        return end({});
    }
    end(base::fail(headDelivered ? Code::AnswerTruncated : Code::OutcomeUnknown, headDelivered ? "the upstream's answer is truncated" : "the upstream closed the connection without an answer"));
}

void UpstreamConnection::end(std::optional<base::Error> error)
{
    UpstreamCall& ended = *call;
    const bool unsent = bodyIncomplete() || evbuffer_get_length(bufferevent_get_output(buffers)) > 0; // it answered before it had received the whole body
    const bool unread = evbuffer_get_length(bufferevent_get_input(buffers)) > 0; // bytes after the answer
    if (unread && !error)
        client.onStrayBytes();
    call = nullptr;
    const uint64_t bytes = reader.bodyBytes;
    const bool keeps = !error && !unsent && !unread && !sawUnsolicited && idleTimeout > Duration {};
    if (keeps)
        client.keepIdle(*this);
    else
        client.drop(*this);
    client.finish(ended, std::move(error), bytes);
}

// --- Client ---

UpstreamClient::UpstreamClient(event_base* loop, base::Address address, ClientLimits limits)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_limits(limits)
{
    m_sweepTimer = event_new(
        loop, -1, EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<UpstreamClient*>(self)->sweep(); }, this);
    m_deleteClosedEvent = event_new(
        loop, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<UpstreamClient*>(self)->deleteClosed(); }, this);
    const timeval every = base::toTimeval(sweepInterval);
    event_add(m_sweepTimer, &every);
}

UpstreamClient::~UpstreamClient()
{
    while (!m_calls.empty())
        m_calls.back()->cancel();
    event_free(m_sweepTimer);
    event_free(m_deleteClosedEvent);
}

std::weak_ptr<UpstreamCall> UpstreamClient::start(UpstreamRequest request, UpstreamHandler handler)
{
    const auto it = std::make_shared<UpstreamCall>();
    m_calls.push_back(it);
    it->m_client = this;
    it->m_request = std::move(request);
    it->m_handler = std::move(handler);
    UpstreamConnection* connection = takeIdle(it->m_request);
    ++(connection ? m_counts.reused : m_counts.dialed);
    if (!connection)
        connection = dial();
    connection->send(*it);
    return it;
}

void UpstreamClient::checkListening(std::function<void(bool listening)> done) { checkListening(std::move(done), maxRepeatedChecks); }

void UpstreamClient::checkListening(std::function<void(bool listening)> done, int dialsLeft)
{
    ++m_counts.dialed;
    UpstreamConnection* it = dial();
    it->onDialed = std::move(done);
    it->dialsLeft = dialsLeft;
}

// Takes the most recently used connection, since it is the least likely to be closed by the upstream.
UpstreamConnection* UpstreamClient::takeIdle(const UpstreamRequest& request)
{
    const base::Time now = base::steadyNow();
    const bool onlyUnused = usesConnectionsOnce();
    const bool mustRest = request.id.empty() || !request.idRequired;
    for (size_t n = m_idle.size(); n-- > 0;) {
        UpstreamConnection* it = m_idle[n];
        const Duration idle = now - it->idleSince;
        if (!request.idempotent && idle > m_limits.maxIdleTimeNotIdempotent)
            return nullptr; // those before it have been idle for longer
        if (idle > it->idleTimeout) {
            drop(*it);
            continue;
        }
        if (it->used && (onlyUnused || (mustRest && idle < it->restTime)))
            continue;
        if (!mayUse(*it)) // may have shown stray bytes
            return takeIdle(request);
        std::erase(m_idle, it);
        return it;
    }
    return nullptr;
}

bool UpstreamClient::mayUse(UpstreamConnection& it)
{
    const bool hasRead = evbuffer_get_length(bufferevent_get_input(it.buffers)) > 0; // the callback that tells of it is deferred
    const SocketState state = hasRead ? SocketState::HasBytes : stateOf(bufferevent_getfd(it.buffers));
    if (state == SocketState::Quiet)
        return true;
    if (state == SocketState::HasBytes)
        onStrayBytes();
    else
        ++m_counts.endedIdle;
    if (it.call)
        sendElsewhere(*it.call);
    else
        drop(it);
    return false;
}

bool UpstreamClient::usesConnectionsOnce() const { return m_strayBytesAt && base::steadyNow() - *m_strayBytesAt < m_limits.singleUseTime; }

void UpstreamClient::onStrayBytes()
{
    ++m_counts.unsolicitedBytes;
    m_strayBytesAt = base::steadyNow();
}

// Once: an upstream that sends first on each connection is no HTTP server. Body bytes that were requested are gone with the
// connection.
void UpstreamClient::sendElsewhere(UpstreamCall& call)
{
    drop(*call.m_connection);
    if (call.m_sentElsewhere || call.m_bodyRequested > 0)
        return finish(call, base::fail(Code::NoUpstream, "what listens at " + m_address.text() + " closes connections or sends before it gets a request"), 0);
    call.m_sentElsewhere = true;
    ++m_counts.dialed;
    dial()->send(call);
}

UpstreamConnection* UpstreamClient::dial()
{
    m_connections.push_back(std::make_unique<UpstreamConnection>(*this));
    UpstreamConnection* it = m_connections.back().get();
    it->dial(m_address, m_limits.connectTimeout); // a failure is reported as an event
    return it;
}

void UpstreamClient::finish(UpstreamCall& call, std::optional<base::Error> error, uint64_t bodyBytes)
{
    call.m_finished = true;
    call.m_connection = nullptr;
    const auto found = std::find_if(m_calls.begin(), m_calls.end(), [&](const auto& it) { return it.get() == &call; });
    m_endedCalls.push_back(std::move(*found));
    m_calls.erase(found);
    event_active(m_deleteClosedEvent, 0, 0);
    const auto end = std::move(call.m_handler.end);
    if (end)
        end({ std::move(error), bodyBytes });
}

void UpstreamClient::keepIdle(UpstreamConnection& it)
{
    if (m_idle.size() >= m_limits.maxIdleConnections && !usesConnectionsOnce())
        return drop(it);
    if (m_idle.size() >= m_limits.maxIdleConnections)
        drop(*m_idle.front());
    resetReader(it.reader);
    bufferevent_enable(it.buffers, EV_READ);
    it.idleSince = base::steadyNow();
    if (it.used)
        it.restTime = std::max(it.restTime, it.idleSince - it.sentAt + clockStep);
    m_idle.push_back(&it);
}

void UpstreamClient::drop(UpstreamConnection& it)
{
    if (it.dropped)
        return;
    it.dropped = true;
    if (it.bodyIncomplete()) { // an orderly close could pass for the end of the body
        const linger reset { 1, 0 };
        setsockopt(bufferevent_getfd(it.buffers), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    it.call = nullptr;
    it.onDialed = {};
    std::erase(m_idle, &it);
    bufferevent_disable(it.buffers, EV_READ | EV_WRITE);
    bufferevent_setcb(it.buffers, nullptr, nullptr, nullptr, nullptr);
    const auto found = std::find_if(m_connections.begin(), m_connections.end(), [&](const auto& each) { return each.get() == &it; });
    m_closedConnections.push_back(std::move(*found));
    m_connections.erase(found);
    event_active(m_deleteClosedEvent, 0, 0);
}

void UpstreamClient::sweep()
{
    const base::Time now = base::steadyNow();
    const std::vector<UpstreamConnection*> idle = m_idle;
    for (UpstreamConnection* it : idle) {
        if (now - it->idleSince > it->idleTimeout)
            drop(*it);
    }
}

void UpstreamClient::deleteClosed()
{
    m_closedConnections.clear();
    m_endedCalls.clear();
}

} // namespace appletally::http
