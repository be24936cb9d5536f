// Answers from the owner's runs to the links; see answer_sender.h.
#include "appletally/node/answer_sender.h"

#include "appletally/base/loop_time.h"

#include <algorithm>
#include <utility>

namespace appletally::node {

using policy::AnswerId;

AnswerSender::AnswerSender(event_base* loop, uint64_t maxWaitingBytes, std::function<void()> hasRoom)
    : m_maxWaitingBytes(maxWaitingBytes)
    , m_hasRoom(std::move(hasRoom))
{
    m_timer = event_new(
        loop, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<AnswerSender*>(self)->sendPieces(); }, this);
}

AnswerSender::~AnswerSender() { event_free(m_timer); }

policy::ConnectionNumber AnswerSender::addLink(Writer writer)
{
    const policy::ConnectionNumber number { ++m_lastLink };
    m_links[number] = std::move(writer);
    return number;
}

void AnswerSender::removeLink(policy::ConnectionNumber link)
{
    m_links.erase(link);
    for (auto it = m_answers.lower_bound({ link, 0 }); it != m_answers.end() && it->first.connection == link;)
        drop((it++)->first);
    policy::removeConnection(m_pacing, link);
    sendPieces();
}

void AnswerSender::begin(AnswerId id, int64_t length)
{
    Answer& it = m_answers[id];
    if (length > static_cast<int64_t>(maxShortAnswerBytes))
        pace(id, it, static_cast<uint64_t>(length));
}

void AnswerSender::pace(AnswerId id, Answer& it, uint64_t length)
{
    it.waiting.reset(evbuffer_new());
    policy::beginAnswer(m_pacing, id, length);
}

void AnswerSender::body(AnswerId id, evbuffer* buf)
{
    Answer& it = m_answers[id];
    const size_t n = evbuffer_get_length(buf);
    if (!it.waiting && it.sentBytes + n > maxShortAnswerBytes)
        pace(id, it, 0);
    if (!it.waiting)
        return write(id, it, buf);
    evbuffer_add_buffer(it.waiting.get(), buf);
    m_waitingBytes += n;
    policy::bytesReady(m_pacing, id, n);
    sendPieces();
}

void AnswerSender::end(AnswerId id, const CallEnd& end)
{
    Answer& it = m_answers[id];
    const bool waits = it.waiting && evbuffer_get_length(it.waiting.get()) > 0;
    if (end.error)
        policy::removeAnswer(m_pacing, id);
    else
        policy::endAnswer(m_pacing, id);
    if (waits && !end.error)
        it.end = end;
    else
        writeEnd(id, end);
    sendPieces();
}

void AnswerSender::cancel(AnswerId id)
{
    drop(id);
    policy::removeAnswer(m_pacing, id);
    sendPieces();
}

void AnswerSender::drop(AnswerId id)
{
    const auto found = m_answers.find(id);
    if (found == m_answers.end())
        return;
    if (found->second.waiting)
        m_waitingBytes -= evbuffer_get_length(found->second.waiting.get());
    m_answers.erase(found);
}

bool AnswerSender::isFull()
{
    const bool out = m_maxWaitingBytes > 0 && m_waitingBytes > m_maxWaitingBytes;
    m_toldFull |= out;
    return out;
}

void AnswerSender::acknowledged(AnswerId id, uint64_t bytes)
{
    policy::bytesAcknowledged(m_pacing, id, bytes, base::steadyNow());
    sendPieces();
}

bool AnswerSender::hasAnswers(policy::ConnectionNumber link) const
{
    const auto first = m_answers.lower_bound({ link, 0 });
    return first != m_answers.end() && first->first.connection == link;
}

void AnswerSender::writeMetrics(base::MetricsText& out) const
{
    out.add("appletally_answer_waiting_bytes", "", static_cast<double>(m_waitingBytes));
    out.add("appletally_answer_window_bytes", "", m_pacing.window);
}

void AnswerSender::write(AnswerId id, Answer& it, evbuffer* buf)
{
    it.sentBytes += evbuffer_get_length(buf);
    m_links.at(id.connection).body(id.call, buf);
}

void AnswerSender::writeEnd(AnswerId id, const CallEnd& end)
{
    const uint64_t sentBytes = m_answers[id].sentBytes;
    drop(id);
    m_links.at(id.connection).end(id.call, end, sentBytes);
}

void AnswerSender::sendPieces()
{
    const base::Time now = base::steadyNow();
    while (const auto piece = policy::nextPiece(m_pacing, now)) {
        Answer& it = m_answers.at(piece->answer);
        const Buffer buf(evbuffer_new());
        evbuffer_remove_buffer(it.waiting.get(), buf.get(), piece->bytes);
        m_waitingBytes -= piece->bytes;
        write(piece->answer, it, buf.get());
        if (it.end && evbuffer_get_length(it.waiting.get()) == 0)
            writeEnd(piece->answer, CallEnd(*it.end));
    }
    if (m_toldFull && m_waitingBytes <= m_maxWaitingBytes / 2) {
        m_toldFull = false;
        m_hasRoom();
    }
    const auto next = policy::nextPacingTick(m_pacing);
    if (!next) {
        event_del(m_timer);
        return;
    }
    const timeval wait = base::toTimeval(std::max(*next - now, base::Duration { 1 }));
    event_add(m_timer, &wait);
}

} // namespace appletally::node
