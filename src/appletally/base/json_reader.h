// Reads and validates values from JSON, such as settings files and the questionnaire.
//
// An error names the file, the path within it and the expected value; only the first one is kept. If unknown keys were
// ignored, a mistyped setting would silently have no effect, so every key that is never read is an error (see finish()).
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

// The first error, shared by a reader and its children. Later errors are ignored.
struct ReadProblem {
    std::optional<Error> first;
};

class JsonReader {
public:
    // `top` and `problem` must outlive the reader. `file` is used in error messages.
    JsonReader(const JsonValue& top, std::string file, ReadProblem& problem);

    bool has(const std::string& key) const;
    std::string text(const std::string& key, size_t maxBytes = 4096); // required, not empty
    std::string textOrEmpty(const std::string& key, size_t maxBytes = 4096); // required, may be empty
    std::string text(const std::string& key, const std::string& fallback, size_t maxBytes = 4096);
    int64_t integer(const std::string& key, int64_t minValue, int64_t maxValue); // required
    int64_t integer(const std::string& key, int64_t minValue, int64_t maxValue, int64_t fallback);
    Duration duration(const std::string& key, Duration minValue, Duration maxValue, Duration fallback); // milliseconds
    bool flag(const std::string& key, bool fallback);
    Address address(const std::string& key); // "127.0.0.1:8080"; with port 0 the system chooses
    std::vector<std::string> texts(const std::string& key); // empty if missing
    std::vector<JsonReader> objects(const std::string& key); // an array of objects; empty if missing
    JsonReader object(const std::string& key); // required

    // Returns the index in `choices`.
    size_t choice(const std::string& key, const std::vector<std::string>& choices, std::optional<size_t> fallback = {});

    // Call last: reports keys that were never read as unknown.
    void finish();

    void refuse(Code, const std::string& key, const std::string& expected); // reports an error found by a check outside the reader

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
