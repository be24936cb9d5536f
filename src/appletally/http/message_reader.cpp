// Validation of the raw head; http-parser parses the rest.
#include "appletally/http/message_reader.h"

#include <algorithm>
#include <cstring>

namespace appletally::http {

namespace {

    constexpr std::string_view headEnd = "\r\n\r\n";

    bool isTokenChar(char it)
    {
        const auto c = static_cast<unsigned char>(it);
        return std::isalnum(c) || (c != 0 && std::strchr("!#$%&'*+-.^_`|~", c));
    }

    // --- The raw head ---

    // Returns the end of the head, or npos if it is not complete yet. Sets `problem` on bytes that are invalid in a head.
    size_t findHeadEnd(MessageReader& it, std::string_view bytes)
    {
        const size_t from = it.scannedBytes > headEnd.size() ? it.scannedBytes - headEnd.size() : 0;
        for (size_t n = from; n < bytes.size(); ++n) {
            const char c = bytes[n];
            if (c == '\0')
                it.problem = "NUL byte in the message head";
            else if (c == '\n' && (n == 0 || bytes[n - 1] != '\r'))
                it.problem = "line feed without a carriage return";
            else if (n > 0 && bytes[n - 1] == '\r' && c != '\n')
                it.problem = "carriage return without a line feed";
            else if (c == '\n' && n >= 3 && bytes.substr(n - 3, 4) == headEnd)
                return n + 1;
            if (!it.problem.empty())
                return std::string_view::npos;
        }
        it.scannedBytes = bytes.size();
        return std::string_view::npos;
    }

    // --- The start line ---

    bool isDigit(char it) { return it >= '0' && it <= '9'; }
    bool isControl(char it) { return static_cast<unsigned char>(it) < ' ' || it == '\x7f'; }

    bool checkVersion(MessageReader& it, std::string_view version)
    {
        constexpr std::string_view shape = "HTTP/d.d";
        const bool valid = version.size() == shape.size() && version.starts_with("HTTP/") && isDigit(version[5]) && version[6] == '.' && isDigit(version[7]);
        if (!valid)
            it.problem = "start line without a version of HTTP";
        else if (version[5] != '1')
            it.problem = "another version of HTTP than 1";
        it.otherVersion = valid && version[5] != '1';
        return it.problem.empty();
    }

    bool checkRequestLine(MessageReader& it, std::string_view line)
    {
        const size_t methodEnd = line.find(' ');
        const size_t targetEnd = line.rfind(' ');
        if (methodEnd == std::string_view::npos || methodEnd == targetEnd) {
            it.problem = "request line without method, target and version";
            return false;
        }
        const std::string_view target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
        if (target.empty() || std::any_of(target.begin(), target.end(), [](char c) { return c == ' ' || isControl(c); }))
            it.problem = "request target with a blank or a control byte";
        return it.problem.empty() && checkVersion(it, line.substr(targetEnd + 1));
    }

    // The reason may be missing together with the blank before it, as some servers send it.
    bool checkStatusLine(MessageReader& it, std::string_view line)
    {
        constexpr size_t statusAt = std::string_view("HTTP/d.d ").size(), statusEnd = statusAt + 3;
        if (!checkVersion(it, line.substr(0, statusAt - 1)))
            return false;
        const bool hasStatus = line.size() >= statusEnd && line[statusAt - 1] == ' ' && std::all_of(line.begin() + statusAt, line.begin() + statusEnd, isDigit);
        if (!hasStatus || (line.size() > statusEnd && line[statusEnd] != ' '))
            it.problem = "status line without a status of three digits";
        else if (std::any_of(line.begin() + statusEnd, line.end(), [](char c) { return c != '\t' && isControl(c); }))
            it.problem = "control byte in the status line";
        return it.problem.empty();
    }

    // --- Fields ---

    // `line`: one header line without its line ending.
    bool addField(MessageReader& it, std::string_view line)
    {
        const size_t colon = line.find(':');
        if (line.front() == ' ' || line.front() == '\t')
            it.problem = "folded header line";
        else if (colon == std::string_view::npos || colon == 0 || !std::all_of(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon), isTokenChar))
            it.problem = "header line without a valid field name";
        if (!it.problem.empty())
            return false;
        std::string_view value = line.substr(colon + 1);
        while (!value.empty() && (value.front() == ' ' || value.front() == '\t'))
            value.remove_prefix(1);
        while (!value.empty() && (value.back() == ' ' || value.back() == '\t'))
            value.remove_suffix(1);
        it.head.headers.push_back({ std::string(line.substr(0, colon)), std::string(value) });
        return true;
    }

    size_t countOf(const MessageHead& head, std::string_view name)
    {
        return static_cast<size_t>(std::count_if(head.headers.begin(), head.headers.end(), [&](const HeaderField& field) { return sameName(field.name, name); }));
    }

    // Rejects framing that programs interpret differently, which would allow request smuggling.
    void checkFraming(MessageReader& it)
    {
        const size_t lengths = countOf(it.head, "Content-Length");
        const size_t codings = countOf(it.head, "Transfer-Encoding");
        const std::string* coding = findHeader(it.head.headers, "Transfer-Encoding");
        if (lengths > 1)
            it.problem = "more than one Content-Length header";
        else if (codings > 1 || (codings == 1 && lengths == 1))
            it.problem = "Transfer-Encoding combined with other framing";
        else if (coding && !sameName(*coding, "chunked"))
            it.problem = "Transfer-Encoding other than chunked";
        else if (it.kind == MessageKind::Request && countOf(it.head, "Host") != 1)
            it.problem = "expected exactly one Host header";
    }

    bool checkHead(MessageReader& it, std::string_view raw)
    {
        const std::string_view start = raw.substr(0, raw.find("\r\n"));
        if (!(it.kind == MessageKind::Request ? checkRequestLine(it, start) : checkStatusLine(it, start)))
            return false;
        size_t begin = start.size() + 2;
        while (begin + 2 < raw.size()) {
            const size_t end = raw.find("\r\n", begin);
            if (end == begin)
                break;
            if (!addField(it, raw.substr(begin, end - begin)))
                return false;
            begin = end + 2;
        }
        checkFraming(it);
        return it.problem.empty();
    }

    // --- http-parser ---

    MessageReader& self(http_parser* parser) { return *static_cast<MessageReader*>(parser->data); }

    const http_parser_settings& settings()
    {
        static const http_parser_settings made = [] {
            http_parser_settings out;
            http_parser_settings_init(&out);
            out.on_url = [](http_parser* parser, const char* at, size_t n) {
                self(parser).head.target.append(at, n);
                return 0;
            };
            out.on_headers_complete = [](http_parser* parser) {
                MessageReader& it = self(parser);
                it.head.hasBody = it.kind == MessageKind::Request || (!it.answersHead && statusAllowsBody(static_cast<int>(parser->status_code)));
                return it.head.hasBody ? 0 : 1; // 1: none follows
            };
            out.on_body = [](http_parser* parser, const char* at, size_t n) {
                MessageReader& it = self(parser);
                it.bodyBytes += n;
                return evbuffer_add(it.bodyOut, at, n);
            };
            out.on_chunk_header = [](http_parser* parser) {
                self(parser).chunkBytesLeft = parser->content_length;
                return 0;
            };
            out.on_message_complete = [](http_parser* parser) {
                self(parser).messageEnded = true;
                http_parser_pause(parser, 1);
                return 0;
            };
            return out;
        }();
        return made;
    }

    // Returns false if the parser rejects the bytes. Sets `n` to the number of bytes that belong to the message.
    bool feed(MessageReader& it, const char* bytes, size_t& n)
    {
        it.parser.data = &it;
        n = http_parser_execute(&it.parser, &settings(), bytes, n);
        const http_errno problem = HTTP_PARSER_ERRNO(&it.parser);
        if (problem == HPE_PAUSED)
            http_parser_pause(&it.parser, 0);
        if (problem == HPE_OK || problem == HPE_PAUSED)
            return true;
        it.problem = http_errno_description(problem);
        return false;
    }

    // A response without framing ends when the connection closes.
    bool needsClose(const MessageReader& it, bool chunked)
    {
        return it.kind == MessageKind::Response && it.head.hasBody && !chunked && !findHeader(it.head.headers, "Content-Length");
    }

    ReadStep takeHead(MessageReader& it, const std::string& raw)
    {
        if (!checkHead(it, raw))
            return ReadStep::Malformed;
        size_t n = raw.size();
        if (!feed(it, raw.data(), n))
            return ReadStep::Malformed;
        if (it.kind == MessageKind::Request) {
            it.head.method = http_method_str(static_cast<http_method>(it.parser.method));
            if (it.parser.upgrade) // CONNECT, or a protocol upgrade
                it.problem = "tunnels and protocol upgrades are not supported";
            if (it.head.target.empty() || it.head.target.front() != '/')
                it.problem = "request target is not a path";
        } else {
            it.head.status = static_cast<int>(it.parser.status_code);
            constexpr int switchingProtocols = 101;
            if (it.head.status < 100 || it.head.status > 599)
                it.problem = "impossible status";
            else if (it.head.status == switchingProtocols)
                it.problem = "a protocol upgrade that was not requested";
        }
        if (!it.problem.empty())
            return ReadStep::Malformed;
        const bool chunked = (it.parser.flags & F_CHUNKED) != 0;
        it.head.untilClose = needsClose(it, chunked);
        it.head.length = chunked || it.head.untilClose || !it.head.hasBody ? -1 : 0;
        if (findHeader(it.head.headers, "Content-Length"))
            it.head.length = static_cast<int64_t>(it.parser.content_length);
        it.head.keepAlive = http_should_keep_alive(&it.parser) != 0;
        it.headComplete = true;
        return ReadStep::Head;
    }

    ReadStep readHead(MessageReader& it, evbuffer* in)
    {
        const size_t have = std::min(evbuffer_get_length(in), it.maxHeadBytes + 1);
        if (have == 0)
            return ReadStep::NeedMore;
        it.inMessage = true;
        const std::string_view bytes(reinterpret_cast<const char*>(evbuffer_pullup(in, static_cast<ev_ssize_t>(have))), have);
        const size_t end = findHeadEnd(it, bytes);
        if (!it.problem.empty())
            return ReadStep::Malformed;
        if (end == std::string_view::npos || end > it.maxHeadBytes)
            return have > it.maxHeadBytes ? ReadStep::HeadTooLarge : ReadStep::NeedMore;
        const std::string raw(bytes.substr(0, end));
        evbuffer_drain(in, end);
        return takeHead(it, raw);
    }

    // Returns how many bytes of a chunked body come before the next change between lines and data; checks line endings.
    size_t chunkedPart(MessageReader& it, std::string_view bytes)
    {
        if (it.chunkBytesLeft > 0) {
            const size_t n = static_cast<size_t>(std::min<uint64_t>(it.chunkBytesLeft, bytes.size()));
            it.chunkBytesLeft -= n;
            it.chunkEnds = it.chunkBytesLeft == 0;
            return n;
        }
        for (size_t n = 0; n < bytes.size(); ++n) {
            const char c = bytes[n];
            if (it.carriageReturn != (c == '\n') || (it.chunkEnds && c != '\r'))
                it.problem = "chunk without a valid line ending";
            it.carriageReturn = c == '\r';
            it.chunkEnds = false;
            if (c == '\n' || !it.problem.empty())
                return n + 1;
        }
        return bytes.size();
    }

    ReadStep readBody(MessageReader& it, evbuffer* in, evbuffer* body)
    {
        const uint64_t before = it.bodyBytes;
        it.bodyOut = body;
        while (!it.messageEnded && evbuffer_get_length(in) > 0) {
            evbuffer_iovec part;
            evbuffer_peek(in, -1, nullptr, &part, 1);
            size_t n = part.iov_len;
            if (it.parser.flags & F_CHUNKED)
                n = chunkedPart(it, { static_cast<const char*>(part.iov_base), n });
            if (!it.problem.empty() || !feed(it, static_cast<const char*>(part.iov_base), n))
                return ReadStep::Malformed;
            evbuffer_drain(in, n);
        }
        if (it.bodyBytes > before)
            return ReadStep::Body;
        return it.messageEnded ? ReadStep::End : ReadStep::NeedMore;
    }

} // namespace

void resetReader(MessageReader& it)
{
    http_parser_init(&it.parser, it.kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    it.head = {};
    it.problem.clear();
    it.otherVersion = false;
    it.inMessage = false;
    it.headComplete = false;
    it.bodyBytes = 0;
    it.scannedBytes = 0;
    it.messageEnded = false;
    it.chunkBytesLeft = 0;
    it.chunkEnds = false;
    it.carriageReturn = false;
}

ReadStep readNext(MessageReader& it, evbuffer* in, evbuffer* body)
{
    if (!it.problem.empty())
        return ReadStep::Malformed;
    if (!it.headComplete) {
        // Empty lines before a request are ignored (RFC 9112, section 2.2).
        char first[2];
        while (!it.inMessage && it.kind == MessageKind::Request && evbuffer_copyout(in, first, 2) == 2 && first[0] == '\r' && first[1] == '\n')
            evbuffer_drain(in, 2);
        return readHead(it, in);
    }
    if (it.messageEnded)
        return ReadStep::End;
    return readBody(it, in, body);
}

bool endsWithConnection(const MessageReader& it) { return it.headComplete && it.head.untilClose; }

} // namespace appletally::http
