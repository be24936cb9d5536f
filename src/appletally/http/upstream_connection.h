// One connection to the upstream: one request at a time, its answer, and a check of everything that comes besides.
// Only the client's files include this.
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
    void onReadable();
    void onEvent(short what);
    bool step(); // false: wait for more bytes
    void onAnswerHead();
    void onAnswerEnd();
    void onClosed(bool orderly);
    void end(std::optional<base::Error>); // of the call; the connection is kept or dropped

    UpstreamClient& client;
    bufferevent* buffers = nullptr;
    UpstreamCall* call = nullptr; // null: idle
    MessageReader reader;
    bool connected = false;
    bool dropped = false;
    bool stray = false; // it held an answer to another request; the present one is still awaited
    bool skipping = false; // the message being read belongs to another request, or is an interim one
    bool answering = false; // the head of the right answer was handed on
    base::Time idleSince;
    base::Duration life; // how long it may idle
};

} // namespace appletally::http
