// Window of large answers and their order; see answer_pacing.h.
#include "appletally/policy/answer_pacing.h"

#include <algorithm>

namespace appletally::policy {
namespace {

    using Answer = AnswerPacing::Answer;
    using Piece = AnswerPacing::Piece;

    constexpr double minWindow = 2 * pieceBytes; // one on the link while the acknowledgement of the other returns
    constexpr double maxWindow = 8 * 1024 * 1024; // 1 Gbit/s over 60 ms

    // The queue on the link that the window aims at. A tenth of the shortest target latencies, and above the jitter of a
    // busy process.
    constexpr base::Duration targetQueue { 25 };

    constexpr double windowGain = 0.5; // for each byte delivered over an idle link: doubles in two round trips

    // Longest difference between the round trips to two hosts. A connection that was opened on a full link has seen no
    // prompt delivery, so its own shortest one may include a queue.
    constexpr base::Duration maxDistance { 30 };

    // A piece without acknowledgement is counted no longer than this. Its connection is stalled, or its receiver passes it
    // on to a slow caller; other answers need not wait for that.
    constexpr base::Duration maxCountedTime { 10 * targetQueue.ms };

    void stopCounting(AnswerPacing& it, Piece& piece)
    {
        if (piece.counted)
            it.onTheWay -= piece.bytes;
        piece.counted = false;
    }

    void stopCountingAll(AnswerPacing& it, Answer& answer)
    {
        for (Piece& piece : answer.pieces)
            stopCounting(it, piece);
    }

    bool hasCounted(const Answer& answer)
    {
        return std::any_of(answer.pieces.begin(), answer.pieces.end(), [](const Piece& piece) { return piece.counted; });
    }

    void stopCountingOverdue(AnswerPacing& it, base::Time now)
    {
        for (auto& [id, answer] : it.answers)
            for (Piece& piece : answer.pieces)
                if (now - piece.sentAt >= maxCountedTime)
                    stopCounting(it, piece);
        std::erase_if(it.answers, [](const auto& entry) { return entry.second.ended && entry.second.remaining == 0 && !hasCounted(entry.second); });
    }

    bool isStalled(const AnswerPacing& it, ConnectionNumber connection)
    {
        for (auto at = it.answers.lower_bound({ connection, 0 }); at != it.answers.end() && at->first.connection == connection; ++at)
            if (!at->second.pieces.empty() && !at->second.pieces.front().counted)
                return true;
        return false;
    }

    // The answer to be continued; null: none has bytes ready and a connection that takes them.
    std::map<AnswerId, Answer>::value_type* findNext(AnswerPacing& it)
    {
        std::map<AnswerId, Answer>::value_type* next = nullptr;
        for (auto& entry : it.answers) {
            const bool better = !next || entry.second.remaining < next->second.remaining;
            if (entry.second.ready > 0 && better && !isStalled(it, entry.first.connection))
                next = &entry;
        }
        return next;
    }

    base::Duration queueingDelay(AnswerPacing& it, ConnectionNumber connection, base::Duration took)
    {
        it.shortestOfAll = std::min(it.shortestOfAll.value_or(took), took);
        const auto [own, fresh] = it.shortestDelivery.try_emplace(connection, took);
        own->second = std::min(own->second, took);
        return took - std::min(own->second, *it.shortestOfAll + maxDistance);
    }

    // Changes the window in proportion to how far the queueing delay of a delivered piece is from the target.
    void adjustWindow(AnswerPacing& it, base::Duration queued, uint64_t bytes, bool wasFull)
    {
        const double offTarget = std::max(-1.0, 1 - static_cast<double>(queued.ms) / static_cast<double>(targetQueue.ms));
        if (offTarget > 0 && !wasFull)
            return; // it limited nothing, so a prompt delivery does not show that more would fit
        it.window = std::clamp(it.window + windowGain * offTarget * static_cast<double>(bytes), minWindow, maxWindow);
    }

} // namespace

void beginAnswer(AnswerPacing& it, AnswerId id, uint64_t length) { it.answers[id].remaining = length; }

void bytesReady(AnswerPacing& it, AnswerId id, uint64_t bytes)
{
    const auto at = it.answers.find(id);
    if (at == it.answers.end())
        return;
    at->second.ready += bytes;
    at->second.remaining = std::max(at->second.remaining, at->second.ready);
}

void endAnswer(AnswerPacing& it, AnswerId id)
{
    const auto at = it.answers.find(id);
    if (at == it.answers.end())
        return;
    at->second.remaining = at->second.ready;
    at->second.ended = true;
}

void bytesAcknowledged(AnswerPacing& it, AnswerId id, uint64_t bytes, base::Time now)
{
    const auto at = it.answers.find(id);
    if (at == it.answers.end())
        return;
    const bool wasFull = static_cast<double>(it.onTheWay + pieceBytes) > it.window;
    std::deque<Piece>& pieces = at->second.pieces;
    while (bytes > 0 && !pieces.empty()) {
        Piece& oldest = pieces.front();
        if (bytes < oldest.bytes) {
            oldest.bytes -= bytes;
            it.onTheWay -= oldest.counted ? bytes : 0;
            return;
        }
        bytes -= oldest.bytes;
        adjustWindow(it, queueingDelay(it, id.connection, now - oldest.sentAt), oldest.bytes, wasFull);
        stopCounting(it, oldest);
        pieces.pop_front();
    }
}

void removeAnswer(AnswerPacing& it, AnswerId id)
{
    const auto at = it.answers.find(id);
    if (at == it.answers.end())
        return;
    stopCountingAll(it, at->second);
    it.answers.erase(at);
}

void removeConnection(AnswerPacing& it, ConnectionNumber connection)
{
    it.shortestDelivery.erase(connection);
    auto at = it.answers.lower_bound({ connection, 0 });
    while (at != it.answers.end() && at->first.connection == connection) {
        stopCountingAll(it, at->second);
        at = it.answers.erase(at);
    }
}

std::optional<NextPiece> nextPiece(AnswerPacing& it, base::Time now)
{
    stopCountingOverdue(it, now);
    auto* const next = findNext(it);
    if (!next)
        return std::nullopt;
    Answer& answer = next->second;
    const uint64_t bytes = std::min(answer.ready, pieceBytes);
    if (it.onTheWay > 0 && static_cast<double>(it.onTheWay + bytes) > it.window)
        return std::nullopt;
    answer.ready -= bytes;
    answer.remaining -= bytes;
    answer.pieces.push_back({ bytes, now, true });
    it.onTheWay += bytes;
    return NextPiece { next->first, bytes };
}

std::optional<base::Time> nextPacingTick(const AnswerPacing& it)
{
    std::optional<base::Time> next;
    for (const auto& [id, answer] : it.answers)
        for (const Piece& piece : answer.pieces)
            if (piece.counted)
                next = std::min(next.value_or(piece.sentAt + maxCountedTime), piece.sentAt + maxCountedTime);
    return next;
}

} // namespace appletally::policy
