// Lifecycle of a caller's connection, and writing of answers.
#include "appletally/http/caller_connection.h"

#include <algorithm>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace appletally::http {

using base::Code;
using base::Duration;

namespace {

    // Queue limit of one connection. Callers that pipeline send a handful of requests; more would only use memory.
    constexpr size_t maxPipelinedRequests = 32;

    // Limit of buffered input of one connection. Reading pauses above it; only then is a disconnect detected late.
    constexpr size_t maxUnreadBytes = 256 * 1024;

    // Unread answer bytes of one connection above which no further request on it is started.
    constexpr size_t maxUnreadAnswerBytes = 64 * 1024;

    // Time for a caller to read the last answer before the connection is closed.
    constexpr Duration lingerTimeout { 1000 };

    // Bytes that the caller's system has not acknowledged yet. None: this system does not tell.
    std::optional<size_t> unacknowledgedBytes(evutil_socket_t fd)
    {
        int n = 0;
        return ioctl(fd, SIOCOUTQ, &n) == 0 && n >= 0 ? std::optional(static_cast<size_t>(n)) : std::nullopt;
    }

    const char* reasonPhrase(int status)
    {
        return status < 300 ? "OK" : (status < 500 ? "Refused" : "Failed");
    }

} // namespace

std::string errorBody(const base::Error& error, bool notRun)
{
    const base::CodeInfo& entry = base::info(error.code);
    const nlohmann::json body = { { "code", static_cast<int>(error.code) }, { "name", entry.name }, { "notRun", notRun },
        { "retryAfterMs", error.retryAfter.ms }, { "text", error.text } };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

// --- Exchange ---

CallerExchange::~CallerExchange()
{
    releaseHeld();
    releaseExpected();
    if (m_heldOutput)
        evbuffer_free(m_heldOutput);
}

bool CallerExchange::isFront() const { return !m_connection->queue.empty() && m_connection->queue.front().get() == this; }

// A held answer is read on without a pause while there is memory for it: its upstream's slot is not kept until the answers
// before it are complete.
size_t CallerExchange::backlog() const
{
    if (m_headSent)
        return evbuffer_get_length(bufferevent_get_output(m_connection->buffers));
    const CallerListener& listener = m_connection->listener;
    return listener.m_heldBytes < listener.maxHeldBytes() ? 0 : evbuffer_get_length(m_heldOutput);
}

bool CallerExchange::mayEndConnection() const { return m_streaming || m_isHttp10 || !m_callerKeepsAlive; }

void CallerExchange::hold(evbuffer* buf)
{
    const size_t n = evbuffer_get_length(buf);
    evbuffer_add_buffer(m_heldOutput, buf);
    if (!m_headSent)
        countHeld(n);
}

void CallerExchange::countHeld(size_t n)
{
    m_heldBytes += n;
    m_connection->listener.m_heldBytes += n;
}

void CallerExchange::releaseHeld()
{
    if (m_heldBytes > 0) // otherwise the listener may be gone
        m_connection->listener.m_heldBytes -= std::exchange(m_heldBytes, 0);
}

void CallerExchange::expectAnswer(size_t n)
{
    m_expectedBytes += n;
    m_connection->listener.m_expectedBytes += n;
}

void CallerExchange::releaseExpected()
{
    if (m_expectedBytes > 0) // otherwise the listener may be gone
        m_connection->listener.m_expectedBytes -= std::exchange(m_expectedBytes, 0);
}

void CallerExchange::writeHead(int status, const std::vector<HeaderField>& headers, int64_t length)
{
    releaseExpected();
    m_head = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    for (const HeaderField& it : headers)
        m_head += it.name + ": " + it.value + "\r\n";
    const bool lengthUnknown = length < 0 && answerHasBody(m_request.method, status);
    m_chunked = lengthUnknown && !m_isHttp10;
    m_endsWithConnection = lengthUnknown && m_isHttp10;
    if (m_chunked)
        m_head += "Transfer-Encoding: chunked\r\n";
    else if (length >= 0 && status != statusNoContent)
        m_head += "Content-Length: " + std::to_string(length) + "\r\n";
}

void CallerExchange::reply(int status, const std::vector<HeaderField>& headers, const std::string& body, int64_t statedLength)
{
    const bool hasBody = answerHasBody(m_request.method, status);
    writeHead(status, headers, hasBody || !body.empty() ? static_cast<int64_t>(body.size()) : statedLength);
    if (hasBody) {
        evbuffer_add(m_heldOutput, body.data(), body.size());
        countHeld(body.size());
    }
    m_answered = true;
    m_connection->answered();
}

void CallerExchange::startStream(int status, const std::vector<HeaderField>& headers, int64_t length)
{
    m_streaming = true;
    writeHead(status, headers, length);
}

void CallerExchange::streamBody(evbuffer* buf)
{
    const size_t n = evbuffer_get_length(buf);
    if (n == 0)
        return;
    if (m_chunked)
        evbuffer_add_printf(m_heldOutput, "%zx\r\n", n);
    hold(buf);
    if (m_chunked)
        evbuffer_add(m_heldOutput, "\r\n", 2);
    if (isFront())
        m_connection->writeFront();
}

void CallerExchange::endStream()
{
    if (m_chunked)
        evbuffer_add(m_heldOutput, "0\r\n\r\n", 5);
    m_streaming = false;
    m_answered = true;
    m_connection->answered();
}

bool CallerExchange::takeBack()
{
    if (m_headSent)
        return false;
    m_head.clear();
    evbuffer_drain(m_heldOutput, evbuffer_get_length(m_heldOutput));
    releaseHeld();
    m_streaming = false;
    ++m_connection->listener.m_counts.takenBack;
    return true;
}

void CallerExchange::abort()
{
    onGone = nullptr;
    onDrained = nullptr;
    ListenerCounts& counts = m_connection->listener.m_counts;
    ++counts.abortedAnswers;
    counts.lostBehindAborted += m_connection->runningBehindFront();
    if (isFront() && m_headSent && !m_endsWithConnection)
        return m_connection->closeAfterAnswers(); // the length or the missing last chunk shows that it is truncated
    // For an answer without a length, an orderly close would mark its end; a reset never does.
    const linger reset { 1, 0 };
    setsockopt(bufferevent_getfd(m_connection->buffers), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    m_connection->drop();
}

// --- Connection ---

CallerConnection::CallerConnection(CallerListener& owner, evutil_socket_t fd, std::string ip)
    : listener(owner)
    , peerIp(std::move(ip))
    , buffers(bufferevent_socket_new(owner.m_loop, fd, BEV_OPT_CLOSE_ON_FREE))
    , phaseStart(base::steadyNow())
{
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    reader.kind = MessageKind::Request;
    resetReader(reader);
    bufferevent_setwatermark(buffers, EV_READ, 0, maxUnreadBytes);
    bufferevent_setcb(
        buffers, [](bufferevent*, void* self) { static_cast<CallerConnection*>(self)->onReadable(); },
        [](bufferevent*, void* self) { static_cast<CallerConnection*>(self)->onWritten(); },
        [](bufferevent*, short what, void* self) { static_cast<CallerConnection*>(self)->onEvent(what); }, this);
    evbuffer_add_cb(
        bufferevent_get_output(buffers), [](evbuffer*, const evbuffer_cb_info* it, void* unread) { *static_cast<size_t*>(unread) += it->n_added - it->n_deleted; }, &listener.m_unreadBytes);
    bufferevent_enable(buffers, EV_READ | EV_WRITE);
}

CallerConnection::~CallerConnection()
{
    if (!buffers)
        return;
    listener.m_unreadBytes -= evbuffer_get_length(bufferevent_get_output(buffers));
    bufferevent_free(buffers);
}

void CallerConnection::onReadable()
{
    if (closing == Closing::No)
        return readRequests();
    evbuffer* in = bufferevent_get_input(buffers);
    evbuffer_drain(in, evbuffer_get_length(in));
    if (closing == Closing::Lingering && lastBacklog == 0)
        phaseStart = base::steadyNow(); // it still sends a rejected body, and has yet to read the answer
}

void CallerConnection::onWritten()
{
    if (evbuffer_get_length(bufferevent_get_output(buffers)) > 0)
        return;
    if (closing == Closing::AfterAnswers && queue.empty())
        return startLinger();
    startQueued(); // requests that waited for the caller to read
    if (dropped || queue.empty() || !queue.front()->m_started)
        return;
    phaseStart = base::steadyNow();
    if (queue.front()->onDrained)
        queue.front()->onDrained();
}

void CallerConnection::onEvent(short what)
{
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        drop();
}

void CallerConnection::readRequests()
{
    if (reading)
        return;
    reading = true;
    while (!dropped && closing == Closing::No && waitingForBytes == 0 && queue.size() < maxPipelinedRequests && readStep()) { }
    reading = false;
}

bool CallerConnection::readStep()
{
    reader.maxHeadBytes = listener.m_limits.maxHeaderBytes;
    const bool fresh = !reader.inMessage;
    evbuffer* body = evbuffer_new();
    const ReadStep step = readNext(reader, bufferevent_get_input(buffers), body);
    if (fresh && reader.inMessage)
        phaseStart = base::steadyNow();
    if (step == ReadStep::Body)
        addBody(body);
    evbuffer_free(body);
    switch (step) {
    case ReadStep::NeedMore:
        return false;
    case ReadStep::Head:
        beginRequest();
        return true;
    case ReadStep::Body:
        return true;
    case ReadStep::End:
        resetReader(reader);
        ++listener.m_counts.requests;
        incoming->m_request.largeBody = std::move(incomingBody);
        queue.push_back(std::move(incoming));
        if (!queue.back()->m_callerKeepsAlive)
            closing = Closing::AfterAnswers;
        startQueued();
        return true;
    case ReadStep::Malformed:
        reject(reader.otherVersion ? Code::HttpVersionUnsupported : Code::RequestMalformed, reader.problem);
        return false;
    case ReadStep::HeadTooLarge:
        reject(Code::HeadersTooLarge, "headers larger than " + std::to_string(reader.maxHeadBytes) + " bytes");
        return false;
    }
    return false;
}

static bool isKnownMethod(const std::string& method)
{
    static const char* const known[] = { "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS" };
    return std::any_of(std::begin(known), std::end(known), [&](const char* it) { return method == it; });
}

void CallerConnection::beginRequest()
{
    incoming.reset(new CallerExchange);
    incoming->m_connection = this;
    incoming->m_heldOutput = evbuffer_new();
    incoming->m_callerKeepsAlive = reader.head.keepAlive;
    incoming->m_isHttp10 = reader.parser.http_major == 1 && reader.parser.http_minor == 0;
    CallerRequest& request = incoming->m_request;
    request.method = reader.head.method;
    request.target = reader.head.target;
    request.path = request.target.substr(0, request.target.find('?'));
    request.headers = std::move(reader.head.headers);
    request.peerIp = peerIp;
    if (!isKnownMethod(request.method))
        return reject(Code::RequestMalformed, "unknown method");
    bodyLimit = std::min(listener.m_hooks.bodyLimit(request), listener.m_limits.maxBodyBytes);
    if (reader.head.length > 0 && static_cast<uint64_t>(reader.head.length) > bodyLimit)
        return reject(Code::BodyTooLarge, "body larger than " + std::to_string(bodyLimit) + " bytes");
    incomingBody.reset();
    if (reader.head.length > static_cast<int64_t>(listener.m_limits.maxSmallBodyBytes)) {
        const auto length = static_cast<uint64_t>(reader.head.length);
        if (!reserveDeclaredBody(length) || !beginLargeBody(length, length))
            return;
    } else if (reader.head.length > 0)
        request.body.reserve(static_cast<size_t>(reader.head.length));
    sendContinue();
}

// The rejected request is queued, so that the answers before it are still sent first.
void CallerConnection::reject(Code code, const std::string& text, Duration retryAfter)
{
    if (closing != Closing::No)
        return;
    const bool malformed = code == Code::RequestMalformed || code == Code::HttpVersionUnsupported;
    if (code != Code::NoBodyMemory)
        ++(malformed ? listener.m_counts.malformed : (code == Code::CallerTooSlow ? listener.m_counts.tooSlow : listener.m_counts.tooLarge));
    if (!incoming) {
        incoming.reset(new CallerExchange);
        incoming->m_connection = this;
        incoming->m_heldOutput = evbuffer_new();
    }
    incoming->m_callerKeepsAlive = false;
    incoming->m_started = true;
    reader.inMessage = false;
    incomingBody.reset();
    closing = Closing::AfterAnswers;
    phaseStart = base::steadyNow();
    CallerExchange* it = incoming.get();
    queue.push_back(std::move(incoming));
    const base::Error error = base::fail(code, text, retryAfter);
    std::vector<HeaderField> headers { { "Content-Type", "application/json" }, { "Appletally-Result", std::to_string(static_cast<int>(code)) } };
    if (retryAfter > Duration {})
        headers.push_back({ "Retry-After", std::to_string((retryAfter.ms + 999) / 1000) });
    it->reply(base::info(code).httpStatus, headers, errorBody(error, true));
}

bool CallerConnection::mayStartBehindOthers(const CallerExchange& it) const
{
    if (listener.m_acceptingStopped || !listener.m_hooks.mayOverlap(it.m_request))
        return false;
    policy::AnswerMemory own { evbuffer_get_length(bufferevent_get_output(buffers)) + unacknowledgedBytes(bufferevent_getfd(buffers)).value_or(0), 0 };
    for (const auto& exchange : queue) {
        own.kept += exchange->m_heldBytes;
        own.expected += exchange->m_expectedBytes;
    }
    const policy::AnswerMemory all { listener.m_heldBytes + listener.m_unreadBytes, listener.m_expectedBytes };
    return policy::hasRoomBehindOthers(own, all, listener.m_limits.maxWholeAnswerBytes, listener.maxHeldBytes());
}

void CallerConnection::startQueued()
{
    for (size_t n = 0; n < queue.size() && !dropped; ++n) {
        if (evbuffer_get_length(bufferevent_get_output(buffers)) > maxUnreadAnswerBytes)
            return;
        CallerExchange& it = *queue[n];
        if (it.m_started && it.mayEndConnection())
            return;
        if (it.m_started)
            continue;
        if (n > 0 && !mayStartBehindOthers(it))
            return; // nor may the requests after it start: they may depend on it
        if (n > 0)
            it.expectAnswer(listener.m_limits.maxWholeAnswerBytes);
        it.m_started = true;
        listener.m_hooks.onRequest(it); // may answer immediately, which shortens the queue
        n = static_cast<size_t>(-1);
    }
}

void CallerConnection::answered()
{
    while (!dropped && !queue.empty() && queue.front()->m_answered) {
        writeFront();
        const bool closes = queue.front()->m_closesConnection;
        listener.m_endedExchanges.push_back(std::move(queue.front()));
        queue.pop_front();
        event_active(listener.m_deleteClosedEvent, 0, 0);
        phaseStart = base::steadyNow();
        if (closes)
            return closeAfterAnswers();
        if (!queue.empty())
            onNewFront();
    }
    if (dropped)
        return;
    startQueued();
    if (closing == Closing::No)
        readRequests(); // requests that did not fit in the queue
}

void CallerConnection::onNewFront()
{
    writeFront();
    CallerExchange& it = *queue.front();
    if (it.m_streaming && !it.m_headSent && it.onDrained)
        it.onDrained(); // it may have paused for lack of memory, which it need not do at the front
}

size_t CallerConnection::runningBehindFront() const
{
    return static_cast<size_t>(std::count_if(queue.begin() + 1, queue.end(), [](const auto& it) { return it->m_started; }));
}

bool CallerConnection::mustHoldBack(const CallerExchange& front) const
{
    return front.m_streaming && !front.m_headSent && runningBehindFront() > 0;
}

bool CallerConnection::mustCloseAfter(const CallerExchange& front) const
{
    if (!front.m_callerKeepsAlive || front.m_endsWithConnection)
        return true;
    const bool receivesNext = reader.inMessage && queue.size() == 1;
    return listener.m_draining && runningBehindFront() == 0 && !receivesNext;
}

void CallerConnection::sendHead(CallerExchange& it)
{
    it.m_closesConnection = mustCloseAfter(it);
    if (it.m_closesConnection) {
        it.m_head += "Connection: close\r\n";
        closing = Closing::AfterAnswers;
    }
    it.m_head += "\r\n";
    evbuffer_add(bufferevent_get_output(buffers), it.m_head.data(), it.m_head.size());
    it.m_head.clear();
    it.m_headSent = true;
    it.releaseHeld();
}

void CallerConnection::writeFront()
{
    CallerExchange& it = *queue.front();
    if (!it.m_headSent) {
        if (it.m_head.empty())
            return; // not answered yet
        if (mustHoldBack(it)) {
            if (listener.m_heldBytes < listener.maxHeldBytes())
                return;
            ++listener.m_counts.sentUnprotected;
        }
        sendHead(it);
    }
    evbuffer_add_buffer(bufferevent_get_output(buffers), it.m_heldOutput);
}

// Requests after the last answer count as not read; the caller resends them on another connection. None of them was started,
// unless the answer broke.
void CallerConnection::closeAfterAnswers()
{
    closing = Closing::AfterAnswers;
    while (!queue.empty()) {
        auto it = std::move(queue.back());
        queue.pop_back();
        if (it->m_started && !it->m_answered && it->onGone)
            it->onGone();
        listener.m_endedExchanges.push_back(std::move(it));
    }
    event_active(listener.m_deleteClosedEvent, 0, 0);
    if (evbuffer_get_length(bufferevent_get_output(buffers)) == 0)
        startLinger();
}

void CallerConnection::startLinger()
{
    closing = Closing::Lingering;
    lingerStart = phaseStart = base::steadyNow();
    ::shutdown(bufferevent_getfd(buffers), SHUT_WR);
}

void CallerConnection::drop()
{
    if (dropped)
        return;
    dropped = true;
    stopWaitingForMemory();
    if (reader.inMessage || !queue.empty())
        ++listener.m_counts.closedEarly;
    while (!queue.empty()) {
        auto it = std::move(queue.front());
        queue.pop_front();
        if (it->m_started && it->onGone)
            it->onGone();
        listener.m_endedExchanges.push_back(std::move(it));
    }
    bufferevent_disable(buffers, EV_READ | EV_WRITE);
    bufferevent_setcb(buffers, nullptr, nullptr, nullptr, nullptr);
    --listener.m_counts.connections;
    listener.m_connections.erase(this);
    listener.m_closedConnections.emplace_back(this);
    event_active(listener.m_deleteClosedEvent, 0, 0);
}

// An answer is delivered once the caller has it, not once it has left this process: on a congested link it waits in the
// system's buffers, and a close would reset the connection.
bool CallerConnection::timedOut(base::Time now)
{
    const ListenerLimits& limits = listener.m_limits;
    const std::optional<size_t> inSystem = unacknowledgedBytes(bufferevent_getfd(buffers));
    const size_t backlog = evbuffer_get_length(bufferevent_get_output(buffers)) + inSystem.value_or(0);
    if (backlog < lastBacklog)
        phaseStart = now;
    lastBacklog = backlog;
    if (waitingForBytes > 0)
        return now - phaseStart > limits.bodyWaitTimeout;
    if (closing == Closing::Lingering)
        return now - lingerStart > limits.receiveTimeout + limits.stallTimeout || now - phaseStart > (backlog > 0 || !inSystem ? limits.stallTimeout : lingerTimeout);
    if (backlog > 0)
        return now - phaseStart > limits.stallTimeout;
    if (!queue.empty())
        return false; // a request is running and has its own deadline
    if (reader.inMessage)
        return now - phaseStart > (reader.headComplete ? limits.receiveTimeout : std::min(limits.headerTimeout, limits.receiveTimeout));
    return now - phaseStart > limits.idleTimeout;
}

} // namespace appletally::http
