// The HTTP server for callers, based on libevent's bufferevents and http-parser. It limits the size and duration of
// requests, passes on complete requests only, and sends answers in the order of the requests.
//
// It has to withstand faulty or hostile callers: endless headers, bodies over the limit, one byte per second, connections
// closed halfway, callers that stop reading, smuggled requests. Each case is answered or closed, and counted, within
// limits of time and memory, so that it takes no resources that other callers need.
//
// Callers may pipeline requests. Requests run concurrently where that is safe; their answers wait for the answers before
// them. The connection is read throughout, which is how a disconnect is detected while a request runs.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"
#include "appletally/base/result.h"
#include "appletally/http/header.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

struct evconnlistener;

namespace appletally::http {

struct ListenerLimits {
    size_t maxHeaderBytes = 32 * 1024; // start line and all header fields; cookies rarely exceed 8 KB
    size_t maxBodyBytes = 1024 * 1024; // upper limit for all routes; a route's own limit is lower
    size_t maxConnections = 4000; // at about 10 KB each they fit in the node's memory
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
    uint64_t closedEarly = 0; // connections that ended before the answer was written
    uint64_t rejected = 0; // connections over maxConnections
};

struct CallerRequest {
    std::string method;
    std::string path;
    std::string target; // path and query as sent
    std::vector<HeaderField> headers;
    std::string body;
    std::string peerIp;
};

class CallerListener;
struct CallerConnection;

// One request and its answer. Lives until the answer is complete or the connection is dropped; see `onGone`.
class CallerExchange {
public:
    ~CallerExchange();
    const CallerRequest& request() const { return m_request; }

    // Call either reply() once, or startStream(), then streamBody() any number of times, then endStream() or abort().
    // The exchange must not be used after reply(), endStream() or abort().
    void reply(int status, const std::vector<HeaderField>&, const std::string& body);
    void startStream(int status, const std::vector<HeaderField>&, int64_t length); // -1: chunked
    void streamBody(evbuffer*); // drains the buffer
    void endStream();
    void abort(); // resets the connection: the only way to signal that a started answer is truncated
    size_t backlog() const; // answer bytes not yet written to the socket

    std::function<void()> onDrained; // called when the backlog has become empty
    std::function<void()> onGone; // called when the connection is dropped; the exchange is deleted afterwards

private:
    friend class CallerListener;
    friend struct CallerConnection;
    CallerExchange() = default;
    evbuffer* output() const;
    void writeHead(int status, const std::vector<HeaderField>&, int64_t length);

    CallerRequest m_request;
    CallerConnection* m_connection = nullptr;
    evbuffer* m_heldOutput = nullptr; // answer bytes held back until the answers before this one are written
    bool m_callerKeepsAlive = true; // the caller keeps the connection open after this request
    bool m_isHttp10 = false; // HTTP/1.0: no chunked encoding
    bool m_started = false; // passed to the node
    bool m_chunked = false;
    bool m_closesConnection = false; // the answer has "Connection: close"
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
    void setDraining(bool); // answers then close their connections
    void stopAccepting();
    void closeIdle(); // closes connections without a request, after pending data on their sockets has been read
    bool allConnectionsClosed() const { return m_connections.empty(); } // all answers are written: the process may end without truncating one
    const ListenerLimits& limits() const { return m_limits; }
    const ListenerCounts& counts() const { return m_counts; }

private:
    friend struct CallerConnection;
    friend class CallerExchange;
    void accept(evutil_socket_t, const std::string& peerIp);
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
    bool m_draining = false;
};

// JSON body of an error answer produced by this process.
std::string errorBody(const base::Error&, bool notRun);

} // namespace appletally::http
