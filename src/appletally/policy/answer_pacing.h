// Pacing of large answers on a host's network link: how many of their bytes may be on the way, and whose go next.
//
// Load pattern: a host sends many short answers and a few large ones over a narrow link, archives of 90 KB beside lookups
// that their callers need within 200 ms. Without it each large answer is written to its connection at once. The link
// transmits in order, so a short answer waits for all large ones before it: several times its run time once the link is
// four fifths full.
//
// Short answers are written at once and not counted here. Of the large ones only `window` bytes are on the way, over all
// connections of the host. Receivers acknowledge each piece; the window grows while pieces are delivered promptly and
// shrinks when they take longer than over an idle link. So the link stays busy at any rate, and its queue stays short.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace appletally::policy {

constexpr uint64_t pieceBytes = 8 * 1024;

using ConnectionNumber = base::Number<struct ConnectionTag>;

struct AnswerId {
    ConnectionNumber connection;
    uint64_t call = 0; // unique within the connection
    auto operator<=>(const AnswerId&) const = default;
};

struct AnswerPacing {
    struct Piece {
        uint64_t bytes = 0; // not acknowledged yet
        base::Time sentAt;
        bool counted = true; // in `onTheWay`
    };
    struct Answer {
        uint64_t remaining = 0; // bytes not sent yet
        uint64_t ready = 0; // the part of `remaining` that the upstream has delivered
        bool ended = false; // no more bytes become ready
        std::deque<Piece> pieces; // sent and not acknowledged, oldest first
    };

    std::map<AnswerId, Answer> answers;
    std::map<ConnectionNumber, base::Duration> shortestDelivery; // of a piece over this connection
    std::optional<base::Duration> shortestOfAll; // over any connection, also those that were removed
    double window = 64 * 1024; // bytes
    uint64_t onTheWay = 0; // the sum of all counted pieces
};

// The bytes of one answer to be sent now.
struct NextPiece {
    AnswerId answer;
    uint64_t bytes = 0;
};

// `length` in bytes, 0 if it is not known. Other functions ignore ids that have not begun or have been removed.
void beginAnswer(AnswerPacing&, AnswerId, uint64_t length);
void bytesReady(AnswerPacing&, AnswerId, uint64_t bytes);
void endAnswer(AnswerPacing&, AnswerId); // no more bytes become ready; the answer is removed once those that are ready are delivered
void bytesAcknowledged(AnswerPacing&, AnswerId, uint64_t bytes, base::Time now); // in the order in which they were sent
void removeAnswer(AnswerPacing&, AnswerId);
void removeConnection(AnswerPacing&, ConnectionNumber);

// Call until there is none, after each of the above and at nextPacingTick(). The piece counts as sent. The answer with the
// fewest remaining bytes goes first, so that the most callers get theirs in time. A connection with a piece that has ceased to
// count gets no further one until that is acknowledged.
std::optional<NextPiece> nextPiece(AnswerPacing&, base::Time now);
std::optional<base::Time> nextPacingTick(const AnswerPacing&); // when the next piece ceases to count; none: no piece counts

} // namespace appletally::policy
