// One caller's connection: requests in, answers out in their order. Only the listener's files include this.
#pragma once

#include "appletally/http/caller_listener.h"
#include "appletally/http/message_reader.h"

#include <deque>
#include <event2/bufferevent.h>
#include <optional>

namespace appletally::http {

// What the connection is doing about its end.
enum class Closing : uint8_t {
    No,
    AfterAnswers, // no further request is read; closes once the answers in the line are out
    Lingering, // the last byte is on its way; what still comes is read and dropped, or a reset would overtake the answer
};

struct CallerConnection {
    CallerConnection(CallerListener&, evutil_socket_t, std::string peerIp);
    ~CallerConnection();

    void onReadable();
    void onWritten();
    void onEvent(short what);
    void readMore();
    bool readStep(); // false: wait for more bytes
    void beginRequest();
    void addBody(evbuffer*);
    void refuse(base::Code, const std::string& text); // answers and closes
    void startWaiting(); // hands the node every request in the line that may run now
    void answered(); // the answer of some exchange in the line is complete
    void flushFront(); // the front's held bytes go out
    void closeAfterAnswers();
    void startLinger();
    void drop(); // closes at once; whoever waits on this connection is told
    bool overdue(base::Time now);
    bool idle() const { return line.empty() && !reader.inMessage; }

    CallerListener& listener;
    std::string peerIp;
    bufferevent* buffers = nullptr;
    MessageReader reader;
    std::unique_ptr<CallerExchange> incoming; // whose head or body is still coming
    std::deque<std::unique_ptr<CallerExchange>> line; // complete requests, oldest first; the front's answer is being written
    size_t bodyLimit = 0;
    Closing closing = Closing::No;
    bool dropped = false;
    bool reading = false; // inside readMore()
    base::Time since; // of the receive, idle, linger or stalled time, as it applies
    size_t backlogSeen = 0;
};

} // namespace appletally::http
