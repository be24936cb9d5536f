// A scripted upstream in an event loop of its own, and calls to it through the upstream client.
#pragma once

#include "appletally/http/upstream_client.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <functional>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace upstream_test {

using namespace appletally;

// An upstream that sends exactly the bytes that the test specifies.
struct ScriptedUpstream {
    event_base* loop = event_base_new();
    evconnlistener* listener = nullptr;
    base::Address address;
    std::vector<bufferevent*> connections; // in the order in which they were accepted
    std::vector<std::string> received; // on each connection
    bool ending = false; // closes the next connection as soon as it is accepted, then its listening socket
    base::Duration stall; // of the loop, after that

    ScriptedUpstream()
    {
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener = evconnlistener_new_bind(
            loop, [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) { static_cast<ScriptedUpstream*>(self)->accept(fd); }, this, LEV_OPT_CLOSE_ON_FREE, 16, reinterpret_cast<sockaddr*>(&to), sizeof to);
        socklen_t n = sizeof to;
        getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&to), &n);
        address = { "127.0.0.1", ntohs(to.sin_port) };
    }

    ~ScriptedUpstream()
    {
        for (bufferevent* it : connections)
            bufferevent_free(it);
        if (listener)
            evconnlistener_free(listener);
        event_base_free(loop);
    }

    void accept(evutil_socket_t fd)
    {
        if (ending) {
            evutil_closesocket(fd);
            evconnlistener_free(std::exchange(listener, nullptr));
            const base::Time end = base::steadyNow() + stall;
            while (base::steadyNow() < end) { }
            return;
        }
        bufferevent* made = bufferevent_socket_new(loop, fd, BEV_OPT_CLOSE_ON_FREE);
        connections.push_back(made);
        received.emplace_back();
        bufferevent_setcb(
            made, [](bufferevent* it, void* arg) {
                auto* self = static_cast<ScriptedUpstream*>(arg);
                const auto at = std::find(self->connections.begin(), self->connections.end(), it) - self->connections.begin();
                char bytes[4096];
                size_t n = 0;
                while ((n = bufferevent_read(it, bytes, sizeof bytes)) > 0)
                    self->received[static_cast<size_t>(at)].append(bytes, n); },
            nullptr, nullptr, this);
        bufferevent_enable(made, EV_READ | EV_WRITE);
    }

    void sendBytes(size_t connection, const std::string& bytes) const { bufferevent_write(connections[connection], bytes.data(), bytes.size()); }
    void close(size_t connection, bool reset)
    {
        if (reset) {
            const linger now { 1, 0 };
            setsockopt(bufferevent_getfd(connections[connection]), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        evutil_closesocket(bufferevent_getfd(connections[connection]));
        bufferevent_setfd(connections[connection], -1);
    }
    bool hasReceived(size_t connection, const std::string& text) const { return received.size() > connection && received[connection].find(text) != std::string::npos; }

    bool run(const std::function<bool()>& done, base::Duration limit = { 3000 }) const
    {
        const base::Time end = base::steadyNow() + limit;
        while (!done()) {
            if (base::steadyNow() > end)
                return false;
            const timeval tick { 0, 2000 };
            event_base_loopexit(loop, &tick);
            event_base_dispatch(loop);
        }
        return true;
    }
};

struct TestCall {
    std::weak_ptr<http::UpstreamCall> call;
    int status = 0;
    std::string body;
    std::optional<http::AnswerEnd> end;

    TestCall(http::UpstreamClient& client, const std::string& id, bool idempotent = true, const std::string& requestBody = "")
    {
        http::UpstreamRequest request;
        request.method = requestBody.empty() ? "GET" : "POST";
        request.target = "/" + id;
        request.body = requestBody;
        request.idempotent = idempotent;
        request.headers = { { "X-Id", id }, { "Host", "a" } };
        request.idHeader = "X-Id";
        request.id = id;
        http::UpstreamHandler handler;
        handler.head = [this](const http::AnswerHead& head) { status = head.status; };
        handler.body = [this](evbuffer* buf) {
            const size_t n = evbuffer_get_length(buf);
            const size_t before = body.size();
            body.resize(before + n);
            evbuffer_remove(buf, body.data() + before, n);
        };
        handler.end = [this](const http::AnswerEnd& it) { end = it; };
        call = client.start(request, std::move(handler));
    }
    bool succeeded() const { return end && !end->error; }
    base::Code code() const { return end && end->error ? end->error->code : base::Code::Ok; }
};

inline std::string answer(const std::string& id, const std::string& body, const std::string& more = "")
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace upstream_test
