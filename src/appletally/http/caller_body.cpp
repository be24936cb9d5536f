// Receives request bodies: small ones into the request, large ones into memory of their own once there is room for them.
#include "appletally/http/caller_connection.h"

#include "appletally/base/log.h"

#include <algorithm>
#include <utility>

namespace appletally::http {

using base::Code;
using base::Duration;
using policy::BodyRoom;

// What a body whose length is not known reserves beyond what has arrived.
constexpr uint64_t leastReservedStep = 64 * 1024;
constexpr uint64_t mostReservedStep = 1024 * 1024;

void CallerConnection::sendContinue()
{
    const std::string* expects = findHeader(incoming->m_request.headers, "Expect");
    if (expects && hasToken(*expects, "100-continue") && queue.empty() && !reader.messageEnded)
        evbuffer_add_printf(bufferevent_get_output(buffers), "HTTP/1.1 100 Continue\r\n\r\n");
}

void CallerConnection::addBody(evbuffer* buf)
{
    if (reader.bodyBytes > bodyLimit)
        return reject(Code::BodyTooLarge, "body larger than " + std::to_string(bodyLimit) + " bytes");
    std::string& body = incoming->m_request.body;
    const size_t n = evbuffer_get_length(buf);
    if (!incomingBody && body.size() + n > listener.m_limits.maxSmallBodyBytes) { // in chunks: its length was not known
        if (!beginLargeBody(bodyLimit, 0))
            return;
        evbuffer_prepend(buf, body.data(), body.size());
        body = {};
    }
    if (incomingBody) {
        addLargeBody(buf);
        return;
    }
    const size_t before = body.size();
    body.resize(before + n);
    evbuffer_remove(buf, body.data() + before, n);
}

bool CallerConnection::beginLargeBody(uint64_t capacity, uint64_t reserved)
{
    incomingBody = LargeBody::make(listener.m_bodyMemory, capacity, reserved);
    if (!incomingBody)
        refuseBody("no memory for the body");
    return incomingBody != nullptr;
}

bool CallerConnection::reserveDeclaredBody(uint64_t bytes)
{
    switch (listener.reserveBody(bytes)) {
    case BodyRoom::Free:
        return true;
    case BodyRoom::Never:
        base::logEvent(base::Event::BodyRefused, describeIncoming(bytes));
        reject(Code::BodyTooLarge, "body larger than this node has memory for");
        return false;
    case BodyRoom::Later:
        break;
    }
    ++listener.m_counts.waitedForMemory;
    base::logEvent(base::Event::BodyWaits, describeIncoming(bytes));
    waitingForBytes = bytes;
    phaseStart = base::steadyNow();
    bufferevent_disable(buffers, EV_READ);
    listener.m_waitingBodies.push_back(this);
    return false;
}

void CallerConnection::resumeBody()
{
    const uint64_t bytes = std::exchange(waitingForBytes, 0);
    phaseStart = base::steadyNow();
    if (!beginLargeBody(bytes, bytes))
        return;
    bufferevent_enable(buffers, EV_READ);
    sendContinue();
    readRequests();
}

// The length of a body in chunks is not known, so that it cannot wait for its end: several could wait for each other.
void CallerConnection::refuseBody(const std::string& why)
{
    constexpr Duration othersEnd { 1000 };
    ++listener.m_counts.noBodyMemory;
    base::logEvent(base::Event::BodyRefused, describeIncoming(std::max(waitingForBytes, reader.bodyBytes)));
    stopWaitingForMemory();
    reject(Code::NoBodyMemory, why, othersEnd);
}

void CallerConnection::stopWaitingForMemory()
{
    if (waitingForBytes == 0)
        return;
    waitingForBytes = 0;
    std::erase(listener.m_waitingBodies, this);
    bufferevent_enable(buffers, EV_READ);
}

std::string CallerConnection::describeIncoming(uint64_t bytes) const
{
    return peerIp + ": " + incoming->m_request.method + " " + incoming->m_request.path + " with " + std::to_string(bytes) + " bytes";
}

bool CallerConnection::addLargeBody(evbuffer* buf)
{
    while (incomingBody->reserved() < incomingBody->size() + evbuffer_get_length(buf)) {
        const uint64_t step = std::clamp(incomingBody->reserved(), leastReservedStep, mostReservedStep);
        if (listener.reserveBody(step) != BodyRoom::Free) {
            refuseBody("no memory for the rest of the body");
            return false;
        }
        incomingBody->addReserved(step);
    }
    return incomingBody->append(buf);
}

} // namespace appletally::http
