// Sends answers over the links from other nodes: short ones at once, large ones in pieces at the pace that the host's network
// link allows (policy/answer_pacing.h). Large answers wait here; their upstream's slot is free as soon as it has delivered
// them. Above a bound of memory for all that wait, upstreams are not read on, and keep their slots.
#pragma once

#include "appletally/base/metrics_text.h"
#include "appletally/node/call.h"
#include "appletally/policy/answer_pacing.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <map>
#include <memory>

namespace appletally::node {

class AnswerSender {
public:
    // Writes to one link.
    struct Writer {
        std::function<void(uint64_t call, evbuffer* body)> body; // drains the buffer
        std::function<void(uint64_t call, const CallEnd&, uint64_t bodyBytes)> end; // bodyBytes: sent in total
    };

    // `maxWaitingBytes`: see isFull(); 0: not bounded. `hasRoom` is called when it is false again, with half of the bound free.
    AnswerSender(event_base*, uint64_t maxWaitingBytes, std::function<void()> hasRoom);
    ~AnswerSender();
    AnswerSender(const AnswerSender&) = delete;
    AnswerSender& operator=(const AnswerSender&) = delete;

    policy::ConnectionNumber addLink(Writer);
    void removeLink(policy::ConnectionNumber); // its answers are dropped

    // In this order: begin() unless there is no answer, body() any number of times, then end() or cancel().
    void begin(policy::AnswerId, int64_t length); // -1: not known
    void body(policy::AnswerId, evbuffer*); // drains the buffer
    void end(policy::AnswerId, const CallEnd&);
    void cancel(policy::AnswerId);

    void acknowledged(policy::AnswerId, uint64_t bytes); // the other node has received them
    bool hasAnswers(policy::ConnectionNumber) const; // that have not been written in full
    bool isFull(); // more bytes wait than may; those that arrive all the same are taken
    void writeMetrics(base::MetricsText&) const;

private:
    struct FreeBuffer {
        void operator()(evbuffer* buf) const { evbuffer_free(buf); }
    };
    using Buffer = std::unique_ptr<evbuffer, FreeBuffer>;

    struct Answer {
        Buffer waiting; // of a large answer, not written yet; null: a short answer
        uint64_t sentBytes = 0;
        std::optional<CallEnd> end; // to be written after `waiting`
    };

    void pace(policy::AnswerId, Answer&, uint64_t length);
    void write(policy::AnswerId, Answer&, evbuffer*);
    void writeEnd(policy::AnswerId, const CallEnd&);
    void sendPieces();
    void drop(policy::AnswerId);

    event* m_timer = nullptr; // for policy::nextPacingTick()
    policy::AnswerPacing m_pacing;
    std::map<policy::ConnectionNumber, Writer> m_links;
    std::map<policy::AnswerId, Answer> m_answers; // until their end is written
    uint64_t m_lastLink = 0;
    uint64_t m_maxWaitingBytes;
    uint64_t m_waitingBytes = 0; // the sum of Answer::waiting
    bool m_toldFull = false; // isFull() was true, and m_hasRoom has not been called since
    std::function<void()> m_hasRoom;
};

} // namespace appletally::node
