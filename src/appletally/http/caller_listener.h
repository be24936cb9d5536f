// Where callers' HTTP comes in, over libevent's bufferevents and http-parser: limits on what a caller may send and how
// slowly, whole requests out, answers back in the order of the requests.
//
// What goes wrong here comes from callers: headers without end, bodies over the limit, one byte a second, connections
// that close in the middle, readers that stop reading, requests that hide in others. Each is answered or closed and
// counted, within a bound of time and memory, so that none of them holds what another caller needs.
//
// A caller may send further requests before the first is answered. They run side by side where that is harmless, and
// their answers wait for their turn. The connection is read all the while, because that is how a caller's leaving is
// noticed while its request runs.
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
    size_t maxHeaderBytes = 32 * 1024; // all header fields together; cookies rarely pass 8 KB
    size_t maxBodyBytes = 1024 * 1024; // no route may ask for more; a route's own limit is lower
    size_t maxConnections = 4000; // at about 10 KB each they stay below the node's memory
    base::Duration headerTimeout { 10000 }; // from a request's first byte to the end of its head
    base::Duration receiveTimeout { 10000 }; // from a request's first byte to its last
    base::Duration idleTimeout { 60000 }; // between requests
    base::Duration stallTimeout { 15000 }; // a caller that takes no byte of its answer for so long is gone
};

struct ListenerCounts {
    uint64_t connections = 0; // open now
    uint64_t requests = 0;
    uint64_t malformed = 0;
    uint64_t tooLarge = 0;
    uint64_t tooSlow = 0;
    uint64_t closedEarly = 0; // by the caller, before its answer was out
    uint64_t rejected = 0; // over mostConnections
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

// One request and its answer. Lives until the answer is complete or the caller is gone; see `gone`.
class CallerExchange {
public:
    ~CallerExchange();
    const CallerRequest& request() const { return m_request; }

    // Either reply(), once, or startStream(), then any number of streamBody(), then endStream() or abort(). After
    // reply(), endStream() or abort() the exchange is not to be touched any more.
    void reply(int status, const std::vector<HeaderField>&, const std::string& body);
    void startStream(int status, const std::vector<HeaderField>&, int64_t length); // -1: chunked
    void streamBody(evbuffer*); // takes all that is in the buffer
    void endStream();
    void abort(); // closes the connection: the only way to tell a caller that a started answer is cut
    size_t backlog() const; // answer bytes that the caller has not taken yet

    std::function<void()> onDrained; // the backlog is empty again
    std::function<void()> onGone; // the caller closed or was given up; the exchange dies after it

private:
    friend class CallerListener;
    friend struct CallerConnection;
    CallerExchange() = default;
    evbuffer* output() const;
    void writeHead(int status, const std::vector<HeaderField>&, int64_t length);

    CallerRequest m_request;
    CallerConnection* m_connection = nullptr;
    evbuffer* m_held = nullptr; // answer bytes that wait for the answers before this one
    bool m_callerKeeps = true; // the connection, after this request
    bool m_plain = false; // HTTP/1.0: the caller knows no chunks
    bool m_begun = false; // handed to the node
    bool m_chunked = false;
    bool m_closes = false; // the answer says that it is the connection's last
    bool m_answered = false;
};

class CallerListener {
public:
    // The body limit of a request by its head; what is over it is refused before the body is read.
    using BodyLimit = std::function<size_t(const CallerRequest&)>;
    // Whether a request may run although those before it on its connection are not answered yet.
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

    base::Result<base::Address> listen(const base::Address&); // port 0: the system chooses
    void setLimits(const ListenerLimits&); // for requests from now on; mostConnections for connections from now on
    void setDraining(bool); // every answer then closes its connection
    void stopAccepting();
    void closeIdle(); // connections without a request under way, after pending data on their sockets has been read
    bool allConnectionsClosed() const { return m_connections.empty(); } // every answer is out; ending the process now cuts none
    const ListenerLimits& limits() const { return m_limits; }
    const ListenerCounts& counts() const { return m_counts; }

private:
    friend struct CallerConnection;
    friend class CallerExchange;
    void accept(evutil_socket_t, const std::string& peerIp);
    void closeIdleNow();
    void sweep();
    void bury(); // deletes what ended within callbacks

    event_base* m_loop;
    ListenerLimits m_limits;
    Hooks m_hooks;
    evconnlistener* m_listener = nullptr;
    event* m_sweep = nullptr;
    event* m_bury = nullptr;
    event* m_closeIdle = nullptr;
    std::set<CallerConnection*> m_connections;
    std::vector<std::unique_ptr<CallerConnection>> m_dead; // closed, to be deleted from the loop
    std::vector<std::unique_ptr<CallerExchange>> m_deadExchanges;
    ListenerCounts m_counts;
    bool m_draining = false;
};

// The body of an answer that this process gives by itself.
std::string errorBody(const base::Error&, bool notRun);

} // namespace appletally::http
