// One caller's connection: reads requests and writes answers in the order of the requests. Internal to the listener.
#pragma once

#include "appletally/http/caller_listener.h"
#include "appletally/http/message_reader.h"

#include <deque>
#include <event2/bufferevent.h>
#include <optional>

namespace appletally::http {

// Stages of closing a connection.
enum class Closing : uint8_t {
    No,
    AfterAnswers, // no further request is read; closes once the queued answers are written
    Lingering, // all output is written; input is read and discarded, since unread input would cause a reset that discards the answer
};

struct CallerConnection {
    CallerConnection(CallerListener&, evutil_socket_t, std::string peerIp);
    ~CallerConnection();

    void onReadable();
    void onWritten();
    void onEvent(short what);
    void readRequests();
    bool readStep(); // false: wait for more bytes
    void beginRequest();
    bool beginLargeBody(uint64_t capacity, uint64_t reserved); // false: the request was rejected
    bool reserveDeclaredBody(uint64_t bytes); // false: it waits for memory, or was rejected
    void resumeBody(); // `waitingForBytes` are reserved now
    void refuseBody(const std::string& why);
    void stopWaitingForMemory();
    void sendContinue(); // if the caller expects it before it sends the body
    std::string describeIncoming(uint64_t bytes) const;
    void addBody(evbuffer*);
    bool addLargeBody(evbuffer*); // false: the request was rejected
    void reject(base::Code, const std::string& text, base::Duration retryAfter = {}); // answers with an error and closes
    bool mayStartBehindOthers(const CallerExchange&) const;
    void startQueued(); // passes every queued request that may run now to the node
    void answered(); // the answer of a queued exchange is complete
    void onNewFront(); // the exchange at the front has changed; its answer may have begun already
    void writeFront(); // writes the held output of the exchange at the front, unless it must be held back further
    void sendHead(CallerExchange& front); // decides whether this answer closes the connection
    bool mustHoldBack(const CallerExchange& front) const;
    bool mustCloseAfter(const CallerExchange& front) const;
    size_t runningBehindFront() const; // started requests that lose their answers if the connection ends with the front one
    void closeAfterAnswers();
    void startLinger();
    void drop(); // closes immediately and calls onGone of the running exchanges
    bool timedOut(base::Time now);
    bool idle() const { return queue.empty() && !reader.inMessage; }

    CallerListener& listener;
    std::string peerIp;
    bufferevent* buffers = nullptr;
    MessageReader reader;
    std::shared_ptr<LargeBody> incomingBody; // set: the body of `incoming` is a large one
    std::unique_ptr<CallerExchange> incoming; // the exchange whose head or body is still being received
    std::deque<std::unique_ptr<CallerExchange>> queue; // complete requests, oldest first; only the answer at the front is written
    size_t bodyLimit = 0;
    uint64_t waitingForBytes = 0; // of the large body of `incoming`, for which there is no memory yet; nothing is read meanwhile
    Closing closing = Closing::No;
    bool dropped = false;
    bool reading = false; // inside readRequests()
    base::Time lingerStart; // with Closing::Lingering
    base::Time phaseStart; // start of the current receive, idle, linger or stall period
    size_t lastBacklog = 0;
};

} // namespace appletally::http
