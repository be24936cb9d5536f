// Reads the notices in an answer's header; a limit is a plain decimal number without sign or exponent.
#include "appletally/node/upstream_notices.h"

#include <algorithm>
#include <cstdlib>

namespace appletally::node {

namespace {

    constexpr size_t maxNumberLength = 16;

    struct Field {
        std::string value;
        size_t count = 0;
    };

    Field fieldOf(const std::vector<http::HeaderField>& headers, const std::string& name)
    {
        Field out;
        for (const http::HeaderField& it : headers) {
            if (name.empty() || !http::sameName(it.name, name))
                continue;
            ++out.count;
            out.value = it.value;
        }
        const size_t first = out.value.find_first_not_of(" \t");
        const size_t last = out.value.find_last_not_of(" \t");
        out.value = first == std::string::npos ? "" : out.value.substr(first, last - first + 1);
        return out;
    }

    std::optional<double> readDecimal(const std::string& text)
    {
        const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
        const bool plain = std::all_of(text.begin(), text.end(), [&](char c) { return isDigit(c) || c == '.'; });
        if (text.empty() || text.size() > maxNumberLength || !plain || std::count(text.begin(), text.end(), '.') > 1)
            return std::nullopt;
        if (!isDigit(text.front()) || !isDigit(text.back()))
            return std::nullopt;
        return std::strtod(text.c_str(), nullptr);
    }

} // namespace

UpstreamNotices readNotices(const std::vector<http::HeaderField>& headers, const Dialect& names)
{
    UpstreamNotices out;
    const Field limit = fieldOf(headers, names.limit);
    if (limit.count == 1)
        out.limit = readDecimal(limit.value);
    out.limitUnreadable = limit.count > 0 && !out.limit;
    const Field leaving = fieldOf(headers, names.leaving);
    out.leaving = leaving.count == 1 && leaving.value == "1";
    out.leavingUnreadable = leaving.count > 0 && !out.leaving;
    return out;
}

} // namespace appletally::node
