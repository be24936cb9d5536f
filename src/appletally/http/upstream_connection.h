// One connection to the upstream. Carries one request at a time and checks for unsolicited bytes.
// Internal to the client.
#pragma once

#include "appletally/http/message_reader.h"
#include "appletally/http/upstream_client.h"

#include <event2/bufferevent.h>

namespace appletally::http {

struct UpstreamConnection {
    explicit UpstreamConnection(UpstreamClient&);
    ~UpstreamConnection();

    bool dial(const base::Address&, base::Duration limit);
    void send(UpstreamCall&);
    void write(evbuffer* request); // at once, as far as the socket takes it
    bool headWaits() const; // a part of the current request's head is not written yet
    void requestBody(); // further bytes of a large one, as the upstream reads
    bool bodyIncomplete() const; // bytes of the current request's body are still missing
    void onReadable();
    void onEvent(short what);
    void onDialedIdle();
    void onDialedClosed(short what);
    bool step(); // false: wait for more bytes
    bool checkLimits(); // false: the upstream has sent too much, and the call has ended
    void onAnswerHead();
    void onAnswerEnd();
    void onClosed(bool orderly);
    void end(std::optional<base::Error>); // ends the call; the connection is kept idle or dropped

    UpstreamClient& client;
    bufferevent* buffers = nullptr;
    UpstreamCall* call = nullptr; // null: idle
    std::function<void(bool listening)> onDialed; // of checkListening(), until the outcome is known
    int dialsLeft = 0; // of that check
    event* settleTimer = nullptr; // with onDialed, once connected
    MessageReader reader;
    bool connected = false;
    bool dropped = false;
    bool used = false; // has carried a request
    bool sawUnsolicited = false; // received an answer to another request; that to the current one is still expected
    bool skipping = false; // the current message belongs to another request or is an interim (1xx) response
    bool headDelivered = false; // the head of the matching answer was passed to the handler
    size_t skippedMessages = 0; // of the current call
    uint64_t skippedBytes = 0; // received for the current call before the end of the matching answer's head
    base::Time sentAt; // the current or last request
    base::Duration restTime; // of its requests, the longest time from sending to the end of the answer
    base::Time idleSince;
    base::Duration idleTimeout;
};

} // namespace appletally::http
