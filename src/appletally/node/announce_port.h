// HTTP endpoint on loopback where the upstream beside this node registers: POST /announce with a JSON object.
#pragma once

#include "appletally/base/result.h"
#include "appletally/node/owner.h"

#include <event2/event.h>
#include <functional>

struct evhttp;

namespace appletally::node {

// Keys: service, version, address ("ip:port" of the upstream's HTTP server), slots, state ("starting", "ready", "draining").
base::Result<Announcement> readAnnouncement(const std::string& body);

class AnnouncePort {
public:
    AnnouncePort(event_base*, std::function<void(const Announcement&)>);
    ~AnnouncePort();
    AnnouncePort(const AnnouncePort&) = delete;
    AnnouncePort& operator=(const AnnouncePort&) = delete;

    base::Result<base::Address> listen(const base::Address&);

private:
    evhttp* m_http;
    std::function<void(const Announcement&)> m_onAnnouncement;
};

} // namespace appletally::node
