// Receives announcements with evhttp; an invalid one is answered with what was expected.
#include "appletally/node/announce_port.h"

#include "appletally/base/json_reader.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <netinet/in.h>

namespace appletally::node {

using base::Code;

constexpr ev_ssize_t maxAnnouncementBytes = 4096;
constexpr base::Duration maxColdRemaining { 600'000 };

base::Result<Announcement> readAnnouncement(const std::string& body)
{
    const auto json = base::parseJson(body);
    if (!json)
        return base::fail(Code::RequestMalformed, "expected a JSON object");
    base::ReadProblem problem;
    base::JsonReader reader(json.value(), "announcement", problem);
    Announcement out;
    out.service = { reader.text("service", 64) };
    out.version = { reader.text("version", 64) };
    out.address = reader.address("address");
    out.slots = static_cast<int>(reader.integer("slots", 1, 10000));
    const size_t state = reader.choice("state", { "starting", "ready", "draining" });
    out.state = static_cast<config::EndpointState>(state);
    if (reader.has("cold_for_ms"))
        out.coldRemaining = reader.duration("cold_for_ms", {}, maxColdRemaining, {});
    reader.finish();
    if (problem.first)
        return *problem.first;
    return out;
}

AnnouncePort::AnnouncePort(event_base* loop, std::function<void(const Announcement&)> onAnnouncement)
    : m_http(evhttp_new(loop))
    , m_onAnnouncement(std::move(onAnnouncement))
{
    evhttp_set_max_body_size(m_http, maxAnnouncementBytes);
    evhttp_set_allowed_methods(m_http, EVHTTP_REQ_POST);
    evhttp_set_cb(
        m_http, "/announce", [](evhttp_request* request, void* arg) {
            evbuffer* buf = evhttp_request_get_input_buffer(request);
            std::string body(evbuffer_get_length(buf), '\0');
            evbuffer_remove(buf, body.data(), body.size());
            const auto announcement = readAnnouncement(body);
            if (!announcement) {
                evbuffer_add_printf(evhttp_request_get_output_buffer(request), "%s\n", announcement.error().text.c_str());
                return evhttp_send_reply(request, HTTP_BADREQUEST, "Bad announcement", nullptr);
            }
            static_cast<AnnouncePort*>(arg)->m_onAnnouncement(announcement.value());
            evhttp_send_reply(request, HTTP_NOCONTENT, "Noted", nullptr);
        },
        this);
}

AnnouncePort::~AnnouncePort() { evhttp_free(m_http); }

base::Result<base::Address> AnnouncePort::listen(const base::Address& address)
{
    evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(m_http, address.ip.c_str(), address.port);
    if (!bound)
        return base::fail(Code::AddressInUse, "cannot listen on " + address.text());
    sockaddr_in at {};
    socklen_t n = sizeof at;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&at), &n);
    return base::Address { address.ip, ntohs(at.sin_port) };
}

} // namespace appletally::node
