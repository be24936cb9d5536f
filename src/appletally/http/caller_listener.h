// The HTTP server for callers, based on libevent's bufferevents and http-parser. It limits the size and duration of
// requests, passes on complete requests only, and sends answers in the order of the requests.
//
// It has to withstand faulty or hostile callers: endless headers, bodies over the limit, one byte per second, connections
// closed halfway, callers that stop reading, smuggled requests. Each case is answered or closed, and counted, within
// limits of time and memory, so that it takes no resources that other callers need.
//
// Callers may pipeline requests. Requests run concurrently where that is safe; their answers wait for the answers before
// them. The connection is read throughout, which is how a disconnect is detected while a request runs.
//
// A request that was started gets its answer, whatever becomes of the others on its connection. "Connection: close" is
// therefore decided when a head is sent, and only if nothing behind it was started; from then on nothing more is read or
// started. Requests behind it count as not read, and callers send them again.
//
// An answer that breaks after its head was sent ends the connection, and all answers behind it are lost. So nothing is
// started behind a streamed answer, and one that already has running requests behind it is held back until it is complete.
// A held answer that breaks is taken back, and its request is retried or answered with a failure.
//
// A large body is read only once there is memory for all of it (policy/body_memory.h). Until then its connection is not read,
// so that TCP pauses the caller, and after `bodyWaitTimeout` the request is refused. Small bodies never wait.
//
// A caller that sends many requests and does not read their answers is not served further until it reads. What it has not
// read yet, and what its running requests may add, counts when a request starts behind others (policy/answer_memory.h).
//
// All held answers together are limited to `maxHeldBytes`. Above it nothing is started behind others, held streams pause,
// and a stream that is due is sent although requests run behind it (`sentUnprotected`).
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"
#include "appletally/base/result.h"
#include "appletally/http/header.h"
#include "appletally/http/large_body.h"
#include "appletally/policy/answer_memory.h"

#include <deque>
#include <event2/buffer.h>
#include <event2/event.h>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

struct evconnlistener;

namespace appletally::http {

struct ListenerLimits {
    size_t maxHeaderBytes = 32 * 1024; // start line and all header fields; cookies rarely exceed 8 KB
    size_t maxBodyBytes = 1024 * 1024 * 1024; // upper limit for all routes: the largest that a questionnaire allows; a route's own limit is lower
    size_t maxSmallBodyBytes = 32 * 1024; // a larger body is kept once, and passed on in parts
    uint64_t memoryBytes = 0; // that the process may use; bounds large bodies and held answers. 0: not bounded
    base::Duration bodyWaitTimeout { 500 }; // for memory; then the request is refused
    size_t maxConnections = 4000; // at about 10 KB each they fit in the node's memory
    size_t maxHeldBytes = 16 * 1024 * 1024; // of all answers that wait behind others; see the head comment for what happens above it
    size_t maxWholeAnswerBytes = 0; // of answers passed to reply(), as far as the listener's user bounds them; 0: not counted in advance
    base::Duration headerTimeout { 10000 }; // from a request's first byte to the end of its head
    base::Duration receiveTimeout { 10000 }; // from a request's first byte to its last
    base::Duration idleTimeout { 60000 }; // between requests
    base::Duration stallTimeout { 15000 }; // a caller that reads no byte of its answer for this long is disconnected
};

struct ListenerCounts {
    uint64_t connections = 0; // open now
    uint64_t requests = 0;
    uint64_t malformed = 0;
    uint64_t tooLarge = 0;
    uint64_t tooSlow = 0;
    uint64_t noBodyMemory = 0;
    uint64_t waitedForMemory = 0; // large bodies that were not read at once
    uint64_t closedEarly = 0; // connections that ended before the answer was written
    uint64_t rejected = 0; // connections over maxConnections
    uint64_t takenBack = 0; // broken answers of which nothing had been sent
    uint64_t abortedAnswers = 0; // broken answers that ended their connection
    uint64_t lostBehindAborted = 0; // running requests that ended with it
    uint64_t sentUnprotected = 0; // streamed answers sent with running requests behind them, for lack of memory
};

struct CallerRequest {
    std::string method;
    std::string path;
    std::string target; // path and query as sent
    std::vector<HeaderField> headers;
    std::string body;
    std::shared_ptr<const LargeBody> largeBody; // set: the body; `body` is then empty
    std::string peerIp;
};

class CallerListener;
struct CallerConnection;

// One request and its answer. Lives until the answer is complete or the connection is dropped; see `onGone`.
class CallerExchange {
public:
    ~CallerExchange();
    const CallerRequest& request() const { return m_request; }
    std::string takeBody() { return std::move(m_request.body); } // so that it is not kept twice

    // Call either reply() once, or startStream(), then streamBody() any number of times, then endStream() or abort().
    // The exchange must not be used after reply(), endStream() or abort(). After a successful takeBack() it is as if
    // startStream() had not been called.
    // An answer that has no body is passed to reply(), with the Content-Length that it states.
    void reply(int status, const std::vector<HeaderField>&, const std::string& body, int64_t statedLength = -1);
    void startStream(int status, const std::vector<HeaderField>&, int64_t length); // -1: chunked
    void streamBody(evbuffer*); // drains the buffer
    void endStream();
    bool takeBack(); // discards a streamed answer that is still held back; false: its head has been sent
    void abort(); // ends the connection: the only way to signal that a started answer is truncated
    size_t backlog() const; // answer bytes that must be written before the stream's producer may go on

    std::function<void()> onDrained; // called when the backlog has become empty
    std::function<void()> onGone; // called when the connection is dropped; the exchange is deleted afterwards

private:
    friend class CallerListener;
    friend struct CallerConnection;
    CallerExchange() = default;
    bool isFront() const;
    bool mayEndConnection() const; // nothing may be started behind it
    void writeHead(int status, const std::vector<HeaderField>&, int64_t length);
    void hold(evbuffer*); // appends to the held output
    void countHeld(size_t bytes);
    void releaseHeld(); // the held output is empty now
    void expectAnswer(size_t bytes);
    void releaseExpected(); // the answer has begun, or none will come

    CallerRequest m_request;
    CallerConnection* m_connection = nullptr;
    std::string m_head; // until it is sent; without "Connection" and the empty line, see CallerConnection::sendHead()
    evbuffer* m_heldOutput = nullptr; // body bytes held back, see CallerConnection::writeFront()
    size_t m_heldBytes = 0; // counted in CallerListener::m_heldBytes
    size_t m_expectedBytes = 0; // counted in CallerListener::m_expectedBytes
    bool m_callerKeepsAlive = true; // the caller keeps the connection open after this request
    bool m_isHttp10 = false; // HTTP/1.0: no chunked encoding
    bool m_started = false; // passed to the node
    bool m_chunked = false;
    bool m_endsWithConnection = false; // neither a length nor chunks: the end of the connection marks the end of the answer
    bool m_streaming = false; // startStream() was called, and the answer is not complete
    bool m_headSent = false; // the answer can no longer be taken back
    bool m_closesConnection = false; // the answer was sent with "Connection: close"
    bool m_answered = false;
};

class CallerListener {
public:
    // Returns the body limit for a request, given its head. Larger bodies are rejected before they are read completely.
    using BodyLimit = std::function<size_t(const CallerRequest&)>;
    // Whether a request may run while earlier requests on its connection are unanswered.
    using MayOverlap = std::function<bool(const CallerRequest&)>;
    using OnRequest = std::function<void(CallerExchange&)>;
    struct Hooks {
        BodyLimit bodyLimit;
        MayOverlap mayOverlap;
        OnRequest onRequest;
    };

    CallerListener(event_base*, ListenerLimits, Hooks);
    ~CallerListener();
    CallerListener(const CallerListener&) = delete;
    CallerListener& operator=(const CallerListener&) = delete;

    base::Result<base::Address> listen(const base::Address&); // with port 0 the system chooses
    void setLimits(const ListenerLimits&); // applies to new requests; maxConnections to new connections
    void setDraining(bool); // an answer with nothing started behind it then closes its connection
    void stopAccepting(); // of connections, and of requests behind others on their connections
    void closeIdle(); // closes connections without a request, after pending data on their sockets has been read
    bool allConnectionsClosed() const { return m_connections.empty(); } // all answers are written: the process may end without truncating one
    const ListenerLimits& limits() const { return m_limits; }
    const ListenerCounts& counts() const { return m_counts; }
    size_t heldBytes() const { return m_heldBytes; } // of answers that wait behind others
    size_t unreadBytes() const { return m_unreadBytes; } // of answers that callers have not read
    const policy::BodyMemory& bodyMemory() const { return *m_bodyMemory; }
    size_t waitingBodies() const { return m_waitingBodies.size(); }

private:
    friend struct CallerConnection;
    friend class CallerExchange;
    void accept(evutil_socket_t, const std::string& peerIp);
    policy::BodyRoom reserveBody(uint64_t bytes);
    size_t maxHeldBytes() const;
    void resumeWaitingBodies(); // those for which there is memory now, in the order of their arrival
    void closeIdleNow();
    void sweep();
    void deleteClosed(); // deletes objects that ended inside their own callbacks

    event_base* m_loop;
    ListenerLimits m_limits;
    Hooks m_hooks;
    evconnlistener* m_listener = nullptr;
    event* m_sweepTimer = nullptr;
    event* m_deleteClosedEvent = nullptr;
    event* m_closeIdle = nullptr;
    std::set<CallerConnection*> m_connections;
    std::vector<std::unique_ptr<CallerConnection>> m_closedConnections; // deleted from the event loop
    std::vector<std::unique_ptr<CallerExchange>> m_endedExchanges;
    ListenerCounts m_counts;
    std::shared_ptr<policy::BodyMemory> m_bodyMemory; // of large bodies, which may outlive their exchanges
    std::optional<base::Time> m_memoryReleasedAt;
    std::deque<CallerConnection*> m_waitingBodies; // connections whose request waits for memory
    size_t m_heldBytes = 0; // of all exchanges
    size_t m_expectedBytes = 0; // of all exchanges
    size_t m_unreadBytes = 0; // in the output buffers of all connections
    bool m_draining = false;
    bool m_acceptingStopped = false;
};

// JSON body of an error answer produced by this process.
std::string errorBody(const base::Error&, bool notRun);

} // namespace appletally::http
