// Builds headers and bodies of answers to callers.
#include "appletally/node/ingress_reply.h"

#include <charconv>

namespace appletally::node {

static std::string formatSeconds(base::Duration it, bool fractional)
{
    if (!fractional)
        return std::to_string((it.ms + 999) / 1000);
    const std::string millis = std::to_string(it.ms % 1000 + 1000);
    return std::to_string(it.ms / 1000) + "." + millis.substr(1);
}

void replyError(http::CallerExchange& exchange, const Dialect& names, const base::Error& error, bool notRun, bool stopsRetries)
{
    std::vector<http::HeaderField> headers { { "Content-Type", "application/json" }, { "Appletally-Result", std::to_string(static_cast<int>(error.code)) } };
    if (notRun)
        headers.push_back({ names.notRun, "1" });
    if (error.retryAfter.ms > 0) {
        headers.push_back({ "Retry-After", formatSeconds(error.retryAfter, names.fractionalRetryAfter) });
        headers.push_back({ "Appletally-Retry-After-Ms", std::to_string(error.retryAfter.ms) });
    }
    if (stopsRetries)
        headers.push_back({ "Appletally-Refused-Below", "1" });
    exchange.reply(base::info(error.code).httpStatus, headers, http::errorBody(error, notRun));
}

std::vector<http::HeaderField> answerHeaders(const http::AnswerHead& head)
{
    std::vector<http::HeaderField> out;
    for (const http::HeaderField& it : head.headers) {
        if (!http::isHopByHop(it.name) && !http::sameName(it.name, "Appletally-Result"))
            out.push_back(it);
    }
    out.push_back({ "Appletally-Result", "0" });
    return out;
}

int64_t headerNumber(const std::string* text, int64_t fallback)
{
    int64_t out = fallback;
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), out);
    return out;
}

} // namespace appletally::node
