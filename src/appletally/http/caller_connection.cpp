// The life of a caller's connection, and the writing of answers.
#include "appletally/http/caller_connection.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace appletally::http {

using base::Code;
using base::Duration;

namespace {

    // Requests in one connection's line. Callers that pipeline send a handful; more only holds memory.
    constexpr size_t mostInLine = 32;

    // Unread bytes of one connection. Over it nothing is read, so that a caller's leaving shows late only there.
    constexpr size_t mostUnreadBytes = 256 * 1024;

    // Time for a caller to read the last answer before the close.
    constexpr Duration lingerTime { 1000 };

    const char* phraseOf(int status)
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
    if (m_held)
        evbuffer_free(m_held);
}

evbuffer* CallerExchange::output() const
{
    const bool front = !m_connection->line.empty() && m_connection->line.front().get() == this;
    return front ? bufferevent_get_output(m_connection->buffers) : m_held;
}

size_t CallerExchange::backlog() const { return evbuffer_get_length(output()); }

void CallerExchange::writeHead(int status, const std::vector<HeaderField>& headers, int64_t length)
{
    CallerConnection& connection = *m_connection;
    const bool last = connection.line.back().get() == this && !connection.reader.inMessage;
    m_closes = !m_callerKeeps || (last && (connection.listener.m_draining || connection.closing != Closing::No)) || (m_plain && length < 0);
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + phraseOf(status) + "\r\n";
    for (const HeaderField& it : headers)
        out += it.name + ": " + it.value + "\r\n";
    m_chunked = length < 0 && !m_plain;
    if (m_chunked)
        out += "Transfer-Encoding: chunked\r\n";
    else if (length >= 0)
        out += "Content-Length: " + std::to_string(length) + "\r\n";
    if (m_closes)
        out += "Connection: close\r\n";
    out += "\r\n";
    evbuffer_add(output(), out.data(), out.size());
}

void CallerExchange::reply(int status, const std::vector<HeaderField>& headers, const std::string& body)
{
    writeHead(status, headers, static_cast<int64_t>(body.size()));
    if (m_request.method != "HEAD")
        evbuffer_add(output(), body.data(), body.size());
    m_answered = true;
    m_connection->answered();
}

void CallerExchange::startStream(int status, const std::vector<HeaderField>& headers, int64_t length) { writeHead(status, headers, length); }

void CallerExchange::streamBody(evbuffer* buf)
{
    const size_t n = evbuffer_get_length(buf);
    if (n == 0)
        return;
    evbuffer* out = output();
    if (m_chunked)
        evbuffer_add_printf(out, "%zx\r\n", n);
    evbuffer_add_buffer(out, buf);
    if (m_chunked)
        evbuffer_add(out, "\r\n", 2);
}

void CallerExchange::endStream()
{
    if (m_chunked)
        evbuffer_add(output(), "0\r\n\r\n", 5);
    m_answered = true;
    m_connection->answered();
}

void CallerExchange::abort()
{
    onGone = nullptr;
    onDrained = nullptr;
    // A plain close could look like an end to a reader of an answer without a length; a reset never does.
    const linger reset { 1, 0 };
    setsockopt(bufferevent_getfd(m_connection->buffers), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    m_connection->drop();
}

// --- Connection ---

CallerConnection::CallerConnection(CallerListener& owner, evutil_socket_t fd, std::string ip)
    : listener(owner)
    , peerIp(std::move(ip))
    , buffers(bufferevent_socket_new(owner.m_loop, fd, BEV_OPT_CLOSE_ON_FREE))
    , since(base::steadyNow())
{
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    reader.kind = MessageKind::Request;
    startReading(reader);
    bufferevent_setwatermark(buffers, EV_READ, 0, mostUnreadBytes);
    bufferevent_setcb(
        buffers, [](bufferevent*, void* self) { static_cast<CallerConnection*>(self)->onReadable(); },
        [](bufferevent*, void* self) { static_cast<CallerConnection*>(self)->onWritten(); },
        [](bufferevent*, short what, void* self) { static_cast<CallerConnection*>(self)->onEvent(what); }, this);
    bufferevent_enable(buffers, EV_READ | EV_WRITE);
}

CallerConnection::~CallerConnection()
{
    if (buffers)
        bufferevent_free(buffers);
}

void CallerConnection::onReadable()
{
    if (closing == Closing::No)
        return readMore();
    evbuffer* in = bufferevent_get_input(buffers);
    evbuffer_drain(in, evbuffer_get_length(in));
}

void CallerConnection::onWritten()
{
    if (evbuffer_get_length(bufferevent_get_output(buffers)) > 0)
        return;
    if (closing == Closing::AfterAnswers && line.empty())
        return startLinger();
    if (line.empty() || !line.front()->m_begun)
        return;
    since = base::steadyNow();
    if (line.front()->onDrained)
        line.front()->onDrained();
}

void CallerConnection::onEvent(short what)
{
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        drop();
}

void CallerConnection::readMore()
{
    if (reading)
        return;
    reading = true;
    while (!dropped && closing == Closing::No && line.size() < mostInLine && readStep()) { }
    reading = false;
}

bool CallerConnection::readStep()
{
    reader.mostHeadBytes = listener.m_limits.maxHeaderBytes;
    const bool fresh = !reader.inMessage;
    evbuffer* body = evbuffer_new();
    const ReadStep step = readOn(reader, bufferevent_get_input(buffers), body);
    if (fresh && reader.inMessage)
        since = base::steadyNow();
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
        startReading(reader);
        ++listener.m_counts.requests;
        line.push_back(std::move(incoming));
        startWaiting();
        return true;
    case ReadStep::Malformed:
        refuse(Code::RequestMalformed, reader.problem);
        return false;
    case ReadStep::HeadTooLarge:
        refuse(Code::HeadersTooLarge, "headers over " + std::to_string(reader.mostHeadBytes) + " bytes");
        return false;
    }
    return false;
}

static bool knownMethod(const std::string& method)
{
    static const char* const known[] = { "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS" };
    return std::any_of(std::begin(known), std::end(known), [&](const char* it) { return method == it; });
}

void CallerConnection::beginRequest()
{
    incoming.reset(new CallerExchange);
    incoming->m_connection = this;
    incoming->m_held = evbuffer_new();
    incoming->m_callerKeeps = reader.head.keepAlive;
    incoming->m_plain = reader.parser.http_major == 1 && reader.parser.http_minor == 0;
    CallerRequest& request = incoming->m_request;
    request.method = reader.head.method;
    request.target = reader.head.target;
    request.path = request.target.substr(0, request.target.find('?'));
    request.headers = std::move(reader.head.headers);
    request.peerIp = peerIp;
    if (!knownMethod(request.method))
        return refuse(Code::RequestMalformed, "an unknown method");
    bodyLimit = std::min(listener.m_hooks.bodyLimit(request), listener.m_limits.maxBodyBytes);
    if (reader.head.length > 0 && static_cast<uint64_t>(reader.head.length) > bodyLimit)
        return refuse(Code::BodyTooLarge, "body over " + std::to_string(bodyLimit) + " bytes");
    const std::string* expects = findHeader(request.headers, "Expect");
    if (expects && hasToken(*expects, "100-continue") && line.empty() && !reader.ended)
        evbuffer_add_printf(bufferevent_get_output(buffers), "HTTP/1.1 100 Continue\r\n\r\n");
}

void CallerConnection::addBody(evbuffer* buf)
{
    std::string& body = incoming->m_request.body;
    const size_t n = evbuffer_get_length(buf);
    if (body.size() + n > bodyLimit)
        return refuse(Code::BodyTooLarge, "body over " + std::to_string(bodyLimit) + " bytes");
    const size_t before = body.size();
    body.resize(before + n);
    evbuffer_remove(buf, body.data() + before, n);
}

// The refused request takes its place in the line, so that the answers before it still go out first.
void CallerConnection::refuse(Code code, const std::string& text)
{
    if (closing != Closing::No)
        return;
    ++(code == Code::RequestMalformed ? listener.m_counts.malformed : (code == Code::CallerTooSlow ? listener.m_counts.tooSlow : listener.m_counts.tooLarge));
    if (!incoming) {
        incoming.reset(new CallerExchange);
        incoming->m_connection = this;
        incoming->m_held = evbuffer_new();
    }
    incoming->m_callerKeeps = false;
    incoming->m_begun = true;
    reader.inMessage = false;
    closing = Closing::AfterAnswers;
    since = base::steadyNow();
    CallerExchange* it = incoming.get();
    line.push_back(std::move(incoming));
    const base::Error error = base::fail(code, text);
    it->reply(base::info(code).httpStatus, { { "Content-Type", "application/json" }, { "Appletally-Result", std::to_string(static_cast<int>(code)) } }, errorBody(error, true));
}

void CallerConnection::startWaiting()
{
    for (size_t n = 0; n < line.size() && !dropped; ++n) {
        CallerExchange& it = *line[n];
        if (it.m_begun)
            continue;
        if (n > 0 && !listener.m_hooks.mayOverlap(it.m_request))
            return; // nor those behind it: they may depend on it
        it.m_begun = true;
        listener.m_hooks.onRequest(it); // may answer at once, which shortens the line
        n = static_cast<size_t>(-1);
    }
}

void CallerConnection::answered()
{
    while (!dropped && !line.empty() && line.front()->m_answered) {
        flushFront();
        const bool closes = line.front()->m_closes;
        listener.m_deadExchanges.push_back(std::move(line.front()));
        line.pop_front();
        event_active(listener.m_bury, 0, 0);
        since = base::steadyNow();
        if (closes)
            return closeAfterAnswers();
        if (!line.empty())
            flushFront();
    }
    if (dropped)
        return;
    startWaiting();
    if (closing == Closing::No)
        readMore(); // what had no place in the line
}

void CallerConnection::flushFront()
{
    if (line.front()->m_held)
        evbuffer_add_buffer(bufferevent_get_output(buffers), line.front()->m_held);
}

// Whatever the caller sent behind the last answer counts as not read; it sends that again elsewhere.
void CallerConnection::closeAfterAnswers()
{
    closing = Closing::AfterAnswers;
    while (!line.empty()) {
        auto it = std::move(line.back());
        line.pop_back();
        if (it->m_begun && !it->m_answered && it->onGone)
            it->onGone();
        listener.m_deadExchanges.push_back(std::move(it));
    }
    event_active(listener.m_bury, 0, 0);
    if (evbuffer_get_length(bufferevent_get_output(buffers)) == 0)
        startLinger();
}

void CallerConnection::startLinger()
{
    closing = Closing::Lingering;
    since = base::steadyNow();
    ::shutdown(bufferevent_getfd(buffers), SHUT_WR);
}

void CallerConnection::drop()
{
    if (dropped)
        return;
    dropped = true;
    if (reader.inMessage || !line.empty())
        ++listener.m_counts.closedEarly;
    while (!line.empty()) {
        auto it = std::move(line.front());
        line.pop_front();
        if (it->m_begun && it->onGone)
            it->onGone();
        listener.m_deadExchanges.push_back(std::move(it));
    }
    bufferevent_disable(buffers, EV_READ | EV_WRITE);
    bufferevent_setcb(buffers, nullptr, nullptr, nullptr, nullptr);
    --listener.m_counts.connections;
    listener.m_connections.erase(this);
    listener.m_dead.emplace_back(this);
    event_active(listener.m_bury, 0, 0);
}

bool CallerConnection::overdue(base::Time now)
{
    const ListenerLimits& limits = listener.m_limits;
    const size_t backlog = evbuffer_get_length(bufferevent_get_output(buffers));
    if (backlog < backlogSeen)
        since = now;
    backlogSeen = backlog;
    if (closing == Closing::Lingering)
        return now - since > lingerTime;
    if (backlog > 0)
        return now - since > limits.stallTimeout;
    if (!line.empty())
        return false; // a request runs; its own deadline ends it
    if (reader.inMessage)
        return now - since > (reader.headDone ? limits.receiveTimeout : std::min(limits.headerTimeout, limits.receiveTimeout));
    return now - since > limits.idleTimeout;
}

} // namespace appletally::http
