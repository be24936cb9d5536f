// An upstream in the test's event loop that answers each complete request with bytes that the test chooses.
#pragma once

#include "appletally/base/ids.h"
#include "appletally/base/loop_time.h"

#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <functional>
#include <list>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <utility>

struct ByteUpstream {
    struct Request {
        std::string head; // start line and fields
        size_t connection = 0; // number of the connection, in the order of acceptance
        size_t number = 0; // on that connection, from 0
    };
    struct Connection {
        ByteUpstream* upstream = nullptr;
        bufferevent* buffers = nullptr;
        size_t number = 0;
        size_t requests = 0;
    };

    event_base* loop;
    evconnlistener* listener = nullptr;
    appletally::base::Address address;
    std::list<Connection> connections;
    std::function<std::string(const Request&)> answer; // empty: "200 OK" with the body "ok"
    std::function<std::string(const Request&)> later; // further bytes, sent after `delay`; empty: none
    std::string greeting; // sent on each new connection
    std::string early; // not empty: sent once a request's head and the first bytes of its body are there; then a reset
    appletally::base::Duration delay { 20 };
    size_t requests = 0;

    explicit ByteUpstream(event_base* base)
        : loop(base)
    {
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener = evconnlistener_new_bind(
            loop, [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) { static_cast<ByteUpstream*>(self)->accept(fd); }, this, LEV_OPT_CLOSE_ON_FREE, 64, reinterpret_cast<sockaddr*>(&to), sizeof to);
        socklen_t n = sizeof to;
        getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&to), &n);
        address = { "127.0.0.1", ntohs(to.sin_port) };
    }

    ~ByteUpstream()
    {
        for (Connection& it : connections)
            close(it);
        evconnlistener_free(listener);
    }
    ByteUpstream(const ByteUpstream&) = delete;
    ByteUpstream& operator=(const ByteUpstream&) = delete;

    void sendAfter(const Request& to, const std::string& bytes, appletally::base::Duration wait)
    {
        for (Connection& it : connections) {
            if (it.number == to.connection)
                sendLater(it, bytes, wait);
        }
    }

    static std::string field(const std::string& head, const std::string& name) // empty: not there
    {
        const size_t at = head.find("\r\n" + name + ": ");
        const size_t begin = at + name.size() + 4;
        return at == std::string::npos ? "" : head.substr(begin, head.find("\r\n", begin) - begin);
    }

private:
    static void close(Connection& it)
    {
        if (it.buffers)
            bufferevent_free(std::exchange(it.buffers, nullptr));
    }

    void accept(evutil_socket_t fd)
    {
        connections.push_back({ this, bufferevent_socket_new(loop, fd, BEV_OPT_CLOSE_ON_FREE), connections.size(), 0 });
        Connection& it = connections.back();
        bufferevent_setcb(
            it.buffers, [](bufferevent*, void* self) { static_cast<Connection*>(self)->upstream->read(*static_cast<Connection*>(self)); }, nullptr,
            [](bufferevent*, short what, void* self) {
                if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
                    close(*static_cast<Connection*>(self));
            },
            &it);
        bufferevent_enable(it.buffers, EV_READ | EV_WRITE);
        send(it, greeting);
    }

    // Sends the bytes, and ends the connection with a reset while the request is still being written.
    static void answerEarly(Connection& it, const std::string& bytes)
    {
        const evutil_socket_t fd = bufferevent_getfd(it.buffers);
        (void)!::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        const linger reset { 1, 0 };
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        close(it);
    }

    static void send(Connection& it, const std::string& bytes)
    {
        if (it.buffers)
            bufferevent_write(it.buffers, bytes.data(), bytes.size());
    }

    void read(Connection& it)
    {
        evbuffer* in = bufferevent_get_input(it.buffers);
        while (it.buffers) {
            const evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, nullptr);
            if (end.pos < 0)
                return;
            std::string head(static_cast<size_t>(end.pos), '\0');
            evbuffer_copyout(in, head.data(), head.size());
            if (!early.empty() && evbuffer_get_length(in) > head.size() + 4)
                return answerEarly(it, early);
            const size_t body = static_cast<size_t>(std::atoll(field(head, "Content-Length").c_str()));
            if (evbuffer_get_length(in) < head.size() + 4 + body)
                return;
            evbuffer_drain(in, head.size() + 4 + body);
            ++requests;
            const Request request { head, it.number, it.requests++ };
            send(it, answer ? answer(request) : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            const std::string more = later ? later(request) : "";
            if (!more.empty())
                sendLater(it, more, delay);
        }
    }

    void sendLater(Connection& it, const std::string& bytes, appletally::base::Duration after) const
    {
        struct Late {
            Connection* to;
            std::string bytes;
        };
        const timeval wait = appletally::base::toTimeval(after);
        event_base_once(
            loop, -1, EV_TIMEOUT, [](evutil_socket_t, short, void* arg) {
                const std::unique_ptr<Late> late(static_cast<Late*>(arg));
                send(*late->to, late->bytes);
            },
            new Late { &it, bytes }, &wait);
    }
};
