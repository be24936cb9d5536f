// Queue of requests that reach a node before its configuration.
//
// Load pattern: all processes restart at once, and callers reconnect as soon as a node listens, a few tenths of a second
// before control has proved which version may be applied. If refused, they all retry half a second later as a thundering
// herd, most of them too late, while the upstreams were idle. Queued briefly, they find all slots free.
//
// Only their remaining time is known, so each waits for a small part of it. Without a source of configuration that answers,
// requests are refused immediately.
#pragma once

#include "appletally/http/caller_listener.h"

#include <event2/event.h>
#include <functional>
#include <vector>

namespace appletally::node {

class EarlyRequests {
public:
    using Serve = std::function<void(http::CallerExchange&, base::Time arrivedAt)>;
    using Refuse = std::function<void(http::CallerExchange&)>;

    EarlyRequests(event_base*, Serve, Refuse);
    ~EarlyRequests();
    EarlyRequests(const EarlyRequests&) = delete;
    EarlyRequests& operator=(const EarlyRequests&) = delete;

    // Returns false if the request was not queued and must be handled by the caller of this function. Sets the exchange's
    // `gone` handler.
    bool enqueue(http::CallerExchange&, base::Duration timeLeft);
    void serveAll(); // the configuration has been applied
    void refuseAll();
    void setConfigurationExpected(bool); // a source of configuration answers

private:
    struct QueuedRequest {
        http::CallerExchange* exchange; // not null; removed when the caller disconnects
        base::Time arrivedAt;
        base::Time expiresAt;
    };

    void onTimer();
    void arm();

    Serve m_serve;
    Refuse m_refuse;
    event* m_timer;
    std::vector<QueuedRequest> m_queue; // in order of arrival
    bool m_configurationExpected = false;
};

} // namespace appletally::node
