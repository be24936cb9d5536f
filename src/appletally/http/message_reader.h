// Reads consecutive HTTP/1.1 messages from a connection with http-parser.
//
// Guards against request smuggling: if two programs disagree on where a message ends (two lengths, a length together with
// chunked encoding, a bare line feed), a second request can hide inside the first. It would run without admission, and its
// answer would go to the next caller on the connection. http-parser accepts some of these messages, so the raw bytes of
// the head are checked first, and every ambiguous message is rejected. http-parser also takes any four letters for "HTTP",
// and any version; the start line is therefore checked too (RFC 9112, sections 2.3, 3 and 4). In a chunked body it takes other
// bytes for line endings, so these are checked as well.
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
    int64_t length = -1; // of the body in bytes; -1: chunked, until the connection closes, or not stated
    bool hasBody = true; // false: a response that ends with its head; `length` is what the body to another request would have
    bool untilClose = false; // responses: the body ends when the connection closes
    bool keepAlive = true; // the sender keeps the connection open after this message
};

enum class ReadStep : uint8_t {
    NeedMore, // more bytes are needed
    Head, // the head is complete, and `head` is set
    Body, // body bytes were added to the caller's buffer
    End, // the message is complete
    Malformed, // `problem` says why; the connection must not be used further
    HeadTooLarge,
};

struct MessageReader {
    MessageKind kind = MessageKind::Request;
    size_t maxHeadBytes = 32 * 1024; // start line and header fields together
    bool answersHead = false; // responses: to HEAD

    MessageHead head; // of the current message
    std::string problem;
    bool otherVersion = false; // with `problem`: a message of another major version of HTTP
    bool inMessage = false; // at least one byte of the current message was received
    bool headComplete = false;
    uint64_t bodyBytes = 0;

    // Internal.
    http_parser parser {};
    size_t scannedBytes = 0; // bytes of the head that are already checked
    evbuffer* bodyOut = nullptr; // only during a step
    bool messageEnded = false;
    uint64_t chunkBytesLeft = 0; // of the current chunk's data
    bool chunkEnds = false; // the line ending behind a chunk's data comes next
    bool carriageReturn = false; // the last byte outside a chunk's data was one
};

void resetReader(MessageReader&); // call before the first message and after each End

// Performs the next step. Consumes bytes from `in`, but none after the end of the message; body bytes are added to `body`.
ReadStep readNext(MessageReader&, evbuffer* in, evbuffer* body);

// For use when the peer has closed the connection in an orderly way. True: this completes the message body.
bool endsWithConnection(const MessageReader&);

} // namespace appletally::http
