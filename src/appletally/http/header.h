// HTTP header fields and their lookup.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace appletally::http {

struct HeaderField {
    std::string name;
    std::string value;
};

// Compares names without regard to case. Returns the first match, or null.
const std::string* findHeader(const std::vector<HeaderField>&, std::string_view name);

bool sameName(std::string_view, std::string_view); // compares header names without regard to case

// Whether a comma-separated value, such as that of Connection, contains the token; case does not matter.
bool hasToken(const std::string& value, std::string_view token);

// Fields that apply to one connection only and are never forwarded.
bool isHopByHop(std::string_view name);

constexpr int statusNoContent = 204;

// False: the answer ends with its head, whatever its fields say (RFC 9112, section 6.3, point 1).
bool statusAllowsBody(int status);
bool answerHasBody(std::string_view method, int status); // to a request with this method

} // namespace appletally::http
