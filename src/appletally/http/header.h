// Header fields as they travel, and the one lookup that everybody needs.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace appletally::http {

struct HeaderField {
    std::string name;
    std::string value;
};

// Case does not matter in header names. Null where there is none; the first where there are several.
const std::string* findHeader(const std::vector<HeaderField>&, std::string_view name);

bool sameName(std::string_view, std::string_view); // of header fields: without regard to case

// Whether a comma-separated value such as that of Connection has the word; case does not matter.
bool hasToken(const std::string& value, std::string_view token);

// Fields that concern one connection only and are never passed on.
bool isHopByHop(std::string_view name);

} // namespace appletally::http
