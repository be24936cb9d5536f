// The node's HTTP client for its upstream, based on libevent's bufferevents and http-parser.
//
// Answers are streamed: the handler gets the head, parts of the body and one end, and the call may be paused while the
// receiver of the answer is slow. An answer is complete only if its own framing says so.
//
// Faulty upstreams can send one caller's answer to another: an answer that arrives after its request was cancelled, a
// second answer after the first, unsolicited bytes on an idle connection. So each answer must repeat the request's id if
// the request has one, and a connection that received anything unexpected is not reused. Without ids HTTP/1.1 cannot tell
// a stray answer from that to the request on its way; what is done about it:
// - The socket is looked at before a connection is used, and a request is written at once: what is there before its request
//   is no answer, and neither is an end.
// - Without ids, a connection rests as long as its longest request took. If a stray answer was taken for that to a request,
//   the request's own answer shows meanwhile.
// - After stray bytes no connection carries a second request until none have come for `singleUseTime`. Connections stay open
//   for a while after their one request, to see whether more come.
//
// They can also send without end. What is skipped before the answer, and the answer itself, are therefore limited; above the
// limit the connection is closed and the call fails as after any other invalid answer.
//
// A large request body is requested in parts as the upstream reads it, so that this process holds at most a window of it. The
// upstream may answer before it has read all of it; such a connection is not reused.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"
#include "appletally/base/result.h"
#include "appletally/http/header.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace appletally::http {

struct UpstreamRequest {
    std::string method;
    std::string target; // path and query
    std::vector<HeaderField> headers;
    std::string body;
    bool idempotent = false; // false: must not use a connection that may already be closed
    std::string idHeader; // name of the header in which the answer repeats `id`
    std::string id; // empty: not checked
    bool idRequired = true; // an answer without an id is broken; otherwise only one with another id is
    uint64_t bodyLength = 0; // of a body that follows through appendBody(); `body` is then empty
    uint64_t bodyWindow = 256 * 1024; // that much of it is requested in advance
};

struct AnswerHead {
    int status = 0;
    std::vector<HeaderField> headers;
    int64_t length = -1; // Content-Length, also of an answer without a body; -1: not stated
};

struct AnswerEnd {
    std::optional<base::Error> error; // none: the answer is complete. A code with `notRun` proves that the request did not run
    uint64_t bodyBytes = 0;
};

struct UpstreamHandler {
    std::function<void(AnswerHead&)> head; // may change it
    std::function<void(evbuffer*)> body; // drains the buffer
    std::function<void(const AnswerEnd&)> end; // called once, last
    std::function<void(uint64_t bytes)> wantBody; // so many bytes more may be passed to appendBody(), at once or later
};

struct ClientLimits {
    // Upstreams close idle connections, possibly just as the next request is sent. It is then unknown whether that request
    // ran, so a request that must not run twice gets a connection that was used a moment ago, or a new one.
    base::Duration maxIdleTime { 4000 }; // upper limit; also limited to the upstream's Keep-Alive timeout less one second
    base::Duration maxIdleTimeNotIdempotent { 1000 }; // for requests that must not be repeated
    base::Duration connectTimeout { 1000 }; // the upstream is on this host: if connecting takes longer, it is not running
    base::Duration maxIdleTimeUnused { 1000 }; // of a connection that has carried no request; the upstream has named no timeout
    base::Duration singleUseTime { 60000 }; // after stray bytes, see the head comment
    size_t maxIdleConnections = 64; // an upstream runs fewer than half as many requests at once; as many connections rest
    size_t maxSkippedMessages = 32; // interim responses and answers to other requests in front of an answer; usual are one or two
    uint64_t maxSkippedBytes = 4 * 1024 * 1024; // of these: a late answer may be a download
    uint64_t maxAnswerBytes = 1024 * 1024 * 1024; // of a body: the largest that a questionnaire allows for a request
};

struct ClientCounts {
    uint64_t dialed = 0;
    uint64_t reused = 0;
    uint64_t unsolicitedAnswers = 0; // answers discarded because they have another request's id
    uint64_t unsolicitedBytes = 0; // connections closed because of unsolicited bytes
    uint64_t endedIdle = 0; // connections found closed when they were to be used
    uint64_t endlessAnswers = 0; // connections closed because what they sent was above a limit
};

class UpstreamClient;
struct UpstreamConnection;

// One request in progress. The client deletes it after its end.
class UpstreamCall {
public:
    void cancel(); // no callback follows; the connection is closed and not reused
    void pause(); // stops reading from the upstream
    void resume();
    bool appendBody(std::string_view); // false: more than was requested

private:
    friend class UpstreamClient;
    friend struct UpstreamConnection;
    UpstreamClient* m_client = nullptr;
    UpstreamConnection* m_connection = nullptr;
    UpstreamRequest m_request;
    UpstreamHandler m_handler;
    uint64_t m_bodyRequested = 0; // invariant: at least m_bodyAppended, at most bodyLength
    uint64_t m_bodyAppended = 0;
    bool m_sent = false; // the upstream may have received bytes
    bool m_sentElsewhere = false; // its first connection began with stray bytes
    bool m_finished = false;
};

class UpstreamClient {
public:
    UpstreamClient(event_base*, base::Address, ClientLimits = {});
    ~UpstreamClient(); // cancels all calls
    UpstreamClient(const UpstreamClient&) = delete;
    UpstreamClient& operator=(const UpstreamClient&) = delete;

    // The result expires after `end`, after cancel(), or with the client. start() itself calls no callback.
    std::weak_ptr<UpstreamCall> start(UpstreamRequest, UpstreamHandler);
    // Connects: tells a process that ended from one that closed a single connection. `done` gets false if the connection is
    // refused. One that is accepted and stays open serves a later request.
    void checkListening(std::function<void(bool listening)> done);
    const base::Address& address() const { return m_address; }
    size_t idleConnections() const { return m_idle.size(); }
    bool usesConnectionsOnce() const; // stray bytes came within `singleUseTime`
    const ClientCounts& counts() const { return m_counts; }

private:
    friend class UpstreamCall;
    friend struct UpstreamConnection;
    UpstreamConnection* takeIdle(const UpstreamRequest&);
    bool mayUse(UpstreamConnection&); // false: the socket holds bytes or an end, and the connection was dropped
    void onStrayBytes(); // bytes that belong to no request on their connection
    void sendElsewhere(UpstreamCall&); // on another connection: nothing of the request was sent on its own, which is dropped
    UpstreamConnection* dial();
    void checkListening(std::function<void(bool listening)> done, int dialsLeft);
    void finish(UpstreamCall&, std::optional<base::Error>, uint64_t bodyBytes);
    void keepIdle(UpstreamConnection&); // makes the connection available for the next request
    void drop(UpstreamConnection&);
    void sweep(); // closes connections that were idle for too long
    void deleteClosed();

    event_base* m_loop;
    base::Address m_address;
    ClientLimits m_limits;
    ClientCounts m_counts;
    std::optional<base::Time> m_strayBytesAt; // the last ones
    event* m_sweepTimer = nullptr;
    event* m_deleteClosedEvent = nullptr;
    std::vector<std::unique_ptr<UpstreamConnection>> m_connections;
    std::vector<UpstreamConnection*> m_idle; // the most recently used is last
    std::vector<std::unique_ptr<UpstreamConnection>> m_closedConnections; // deleted from the event loop
    std::vector<std::shared_ptr<UpstreamCall>> m_calls;
    std::vector<std::shared_ptr<UpstreamCall>> m_endedCalls;
};

} // namespace appletally::http
