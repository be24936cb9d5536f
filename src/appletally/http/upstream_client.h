// The node's HTTP connections to the upstream beside it, over libevent's bufferevents and http-parser.
//
// Answers stream: the caller of start() gets head, pieces of body and one end, and may stop the stream while whoever
// reads the answer is slow. An answer counts as whole only if its own framing says so.
//
// Upstreams break in ways that give one caller what belongs to another: an answer that comes after its request was given
// up, a second answer behind the first, a kept connection that holds bytes nobody asked for. So each answer has to repeat
// the request's id where the request has one, and a connection that ever held anything unexpected is used no more.
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
#include <vector>

namespace appletally::http {

struct UpstreamRequest {
    std::string method;
    std::string target; // path and query
    std::vector<HeaderField> headers;
    std::string body;
    bool idempotent = false; // false: takes no connection that may have died unnoticed
    std::string idHeader; // the answer repeats this header with `id`; empty: not checked
    std::string id;
};

struct AnswerHead {
    int status = 0;
    std::vector<HeaderField> headers;
    int64_t length = -1; // of the body in bytes; -1: not known before its end
};

struct AnswerEnd {
    std::optional<base::Error> error; // none: the answer is whole. A code that is "not run" is proven
    uint64_t bodyBytes = 0;
};

struct UpstreamHandler {
    std::function<void(const AnswerHead&)> head;
    std::function<void(evbuffer*)> body; // takes all that is in the buffer
    std::function<void(const AnswerEnd&)> end; // once, last
};

struct ClientLimits {
    // Upstreams close what idles; the closing may cross the next request. A request that may not run twice is told from a
    // lost one by nothing, so it gets a connection that answered a moment ago, or a new one.
    base::Duration idleLife { 4000 }; // kept no longer than this, nor than the upstream's own word less a second
    base::Duration idleLifeOnce { 1000 }; // for requests that may not be repeated
    base::Duration connectTime { 1000 }; // the upstream is on this host; longer means that it is not there
    size_t mostIdle = 32; // kept; an upstream runs fewer requests at once
};

struct ClientCounts {
    uint64_t dialed = 0;
    uint64_t reused = 0;
    uint64_t unsolicitedAnswers = 0; // dropped, because they repeated another request's id
    uint64_t unsolicitedBytes = 0; // connections closed because they held bytes that nobody asked for
};

class UpstreamClient;
struct UpstreamConnection;

// One request under way. Freed by the client after its end.
class UpstreamCall {
public:
    void cancel(); // no callback follows; the connection is closed, never reused
    void pause(); // stop reading from the upstream
    void resume();

private:
    friend class UpstreamClient;
    friend struct UpstreamConnection;
    UpstreamClient* m_client = nullptr;
    UpstreamConnection* m_connection = nullptr;
    UpstreamRequest m_request;
    UpstreamHandler m_handler;
    bool m_written = false; // the upstream may have got bytes
    bool m_finished = false;
};

class UpstreamClient {
public:
    UpstreamClient(event_base*, base::Address, ClientLimits = {});
    ~UpstreamClient(); // cancels what is under way
    UpstreamClient(const UpstreamClient&) = delete;
    UpstreamClient& operator=(const UpstreamClient&) = delete;

    // The pointer stays good until `end` has been called or cancel() was. No callback comes from within start().
    UpstreamCall* start(UpstreamRequest, UpstreamHandler);
    const base::Address& address() const { return m_address; }
    size_t idleConnections() const { return m_idle.size(); }
    const ClientCounts& counts() const { return m_counts; }

private:
    friend class UpstreamCall;
    friend struct UpstreamConnection;
    UpstreamConnection* takeIdle(bool idempotent);
    UpstreamConnection* dial();
    void finish(UpstreamCall&, std::optional<base::Error>, uint64_t bodyBytes);
    void keep(UpstreamConnection&); // for the next request
    void drop(UpstreamConnection&);
    void sweep(); // closes what has idled too long
    void bury();

    event_base* m_loop;
    base::Address m_address;
    ClientLimits m_limits;
    ClientCounts m_counts;
    event* m_sweep = nullptr;
    event* m_bury = nullptr;
    std::vector<std::unique_ptr<UpstreamConnection>> m_connections;
    std::vector<UpstreamConnection*> m_idle; // the one used last at the end
    std::vector<std::unique_ptr<UpstreamConnection>> m_dead; // to be deleted from the loop
    std::vector<std::unique_ptr<UpstreamCall>> m_calls;
    std::vector<std::unique_ptr<UpstreamCall>> m_deadCalls;
};

} // namespace appletally::http
