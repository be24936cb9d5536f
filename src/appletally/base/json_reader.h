// Reads checked values out of JSON: settings files and the questionnaire go through it.
//
// Every problem names the file, the path inside it and what was expected, and the first problem ends the reading. A
// reader that would guess a default for a mistyped key leaves an operator with a setting that silently has no effect;
// so every key that was not asked for is an error (see finish()).
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"
#include "appletally/base/result.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <rapidjson/document.h>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace appletally::base {

using Json = nlohmann::json; // for building and serializing
using JsonDocument = rapidjson::Document; // parsed input for JsonReader; faster to parse than Json
using JsonValue = rapidjson::Value;

// The first problem met, shared by a reader and its children. Later reads return defaults and change nothing.
struct ReadProblem {
    std::optional<Error> first;
};

class JsonReader {
public:
    // `top` and `problem` must outlive the reader. `file` is used in error messages.
    JsonReader(const JsonValue& top, std::string file, ReadProblem& problem);

    bool has(const std::string& key) const;
    std::string text(const std::string& key, size_t mostBytes = 4096); // required, not empty
    std::string text(const std::string& key, const std::string& fallback, size_t mostBytes = 4096);
    int64_t integer(const std::string& key, int64_t least, int64_t most); // required
    int64_t integer(const std::string& key, int64_t least, int64_t most, int64_t fallback);
    Duration duration(const std::string& key, Duration least, Duration most, Duration fallback); // milliseconds
    bool flag(const std::string& key, bool fallback);
    Address address(const std::string& key); // "127.0.0.1:8080"; port 0 lets the system choose
    std::vector<std::string> texts(const std::string& key); // empty where missing
    std::vector<JsonReader> objects(const std::string& key); // an array of objects; empty where missing
    JsonReader object(const std::string& key); // required

    // One of `choices`, by its place.
    size_t choice(const std::string& key, const std::vector<std::string>& choices, std::optional<size_t> fallback = {});

    // Call last: any key that was never read is an unknown key.
    void finish();

    void refuse(Code, const std::string& key, const std::string& expected); // for checks of the caller's own

private:
    // Shared by a reader and its children. The path of a value is computed from `top` only when an error is reported.
    struct Context {
        std::string file;
        const JsonValue& top;
        ReadProblem& problem;
    };

    JsonReader(const JsonValue&, std::shared_ptr<const Context>);
    const JsonValue* find(const std::string& key);
    bool wasRead(size_t index) const;

    const JsonValue* m_value;
    std::shared_ptr<const Context> m_context;
    uint64_t m_read = 0; // bit n is set once member n has been read
    std::set<size_t> m_readOverflow; // indexes of read members that do not fit in m_read
};

// Fails with MessageMalformed unless `bytes` is a single JSON value in UTF-8. Parses iteratively, so deep nesting cannot
// overflow the stack.
Result<JsonDocument> parseJson(std::string_view bytes);
Result<JsonDocument> readJsonFile(const std::string& file);
Result<Address> parseAddress(const std::string& text);

} // namespace appletally::base
