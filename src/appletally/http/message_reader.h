// Reads HTTP/1.1 messages off a connection, one after the other, by http-parser.
//
// What goes wrong without the checks here: a request that two programs cut in different places (two lengths, a length
// beside chunks, a bare line feed) hides a second request inside the first, which then runs although nobody admitted it,
// and its answer is given to the next caller on the connection. http-parser lets some of these pass, so the head is
// checked as raw bytes first; whatever is ambiguous is refused whole.
#pragma once

#include "appletally/http/header.h"

#include <cstdint>
#include <event2/buffer.h>
#include <http_parser.h>
#include <string>
#include <vector>

namespace appletally::http {

enum class MessageKind : uint8_t { Request,
    Response };

struct MessageHead {
    std::string method; // requests
    std::string target; // requests: path and query as sent
    int status = 0; // responses
    std::vector<HeaderField> headers;
    int64_t length = -1; // of the body in bytes; -1: chunks, or up to the connection's end
    bool untilClose = false; // responses: the body ends with the connection
    bool keepAlive = true; // the sender keeps the connection after this message
};

enum class ReadStep : uint8_t {
    NeedMore, // nothing more can be said before further bytes come
    Head, // the head is complete: `head` is filled in
    Body, // bytes of body were added to the caller's buffer
    End, // the message is complete
    Malformed, // `problem` says why; the connection is of no use any more
    HeadTooLarge,
};

struct MessageReader {
    MessageKind kind = MessageKind::Request;
    size_t mostHeadBytes = 32 * 1024; // start line and header fields together
    bool bodyless = false; // responses: to HEAD, so without a body whatever the head says

    MessageHead head; // of the message being read
    std::string problem;
    bool inMessage = false; // a byte of the next message has come
    bool headDone = false;
    uint64_t bodyBytes = 0;

    // Inside.
    http_parser parser {};
    size_t scanned = 0; // bytes of the head that were checked already
    evbuffer* bodyOut = nullptr; // during a step only
    bool ended = false;
};

void startReading(MessageReader&); // for the first message, and again after each End

// Takes from `in` what belongs to the next step, never a byte behind the message's end. Body bytes go to `body`.
ReadStep readOn(MessageReader&, evbuffer* in, evbuffer* body);

// The other side ended the connection in an orderly way. True: that was the end of the message's body.
bool endsWithConnection(const MessageReader&);

} // namespace appletally::http
