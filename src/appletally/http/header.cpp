// Comparison of header names and values.
#include "appletally/http/header.h"

#include <algorithm>
#include <array>
#include <strings.h>

namespace appletally::http {

bool sameName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string* findHeader(const std::vector<HeaderField>& headers, std::string_view name)
{
    const auto it = std::find_if(headers.begin(), headers.end(), [&](const HeaderField& field) { return sameName(field.name, name); });
    return it == headers.end() ? nullptr : &it->value;
}

bool hasToken(const std::string& value, std::string_view token)
{
    size_t begin = 0;
    while (begin <= value.size()) {
        const size_t end = std::min(value.find(',', begin), value.size());
        std::string_view word(value.data() + begin, end - begin);
        while (!word.empty() && (word.front() == ' ' || word.front() == '\t'))
            word.remove_prefix(1);
        while (!word.empty() && (word.back() == ' ' || word.back() == '\t'))
            word.remove_suffix(1);
        if (sameName(word, token))
            return true;
        begin = end + 1;
    }
    return false;
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> names { "Connection", "Keep-Alive", "Transfer-Encoding", "Upgrade", "TE", "Trailer",
        "Proxy-Connection", "Proxy-Authenticate", "Content-Length", "Expect" };
    return std::any_of(names.begin(), names.end(), [&](std::string_view it) { return sameName(it, name); });
}

bool statusAllowsBody(int status)
{
    constexpr int notModified = 304;
    return status >= 200 && status != statusNoContent && status != notModified;
}

bool answerHasBody(std::string_view method, int status) { return method != "HEAD" && statusAllowsBody(status); }

} // namespace appletally::http
