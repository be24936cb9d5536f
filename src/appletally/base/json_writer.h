// Streaming JSON output without an intermediate tree, for large values that are serialized often.
//
// Canonical JSON has sorted keys and no whitespace; the caller must write the keys in sorted order. Strings must be
// valid UTF-8.
#pragma once

#include "appletally/base/ids.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <string>
#include <string_view>

namespace appletally::base {

using JsonBuffer = rapidjson::StringBuffer;
using JsonWriter = rapidjson::Writer<JsonBuffer>;

inline void writeText(JsonWriter& out, std::string_view text) { out.String(text.data(), static_cast<rapidjson::SizeType>(text.size())); }

inline void writeKey(JsonWriter& out, std::string_view key) { out.Key(key.data(), static_cast<rapidjson::SizeType>(key.size())); }

inline void writeMember(JsonWriter& out, std::string_view key, std::string_view text)
{
    writeKey(out, key);
    writeText(out, text);
}

inline void writeMember(JsonWriter& out, std::string_view key, int64_t number)
{
    writeKey(out, key);
    out.Int64(number);
}

inline void writeMember(JsonWriter& out, std::string_view key, uint64_t number)
{
    writeKey(out, key);
    out.Uint64(number);
}

// `json` must be a single complete JSON value; it is not validated.
inline void writeRawMember(JsonWriter& out, std::string_view key, std::string_view json)
{
    writeKey(out, key);
    out.RawValue(json.data(), json.size(), rapidjson::kObjectType);
}

inline std::string textOf(const JsonBuffer& buf) { return { buf.GetString(), buf.GetSize() }; }

} // namespace appletally::base
