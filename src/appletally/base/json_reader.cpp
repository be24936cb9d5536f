// Validating JSON reader; the header says why unknown keys are errors.
#include "appletally/base/json_reader.h"

#include <arpa/inet.h>
#include <charconv>
#include <fstream>
#include <sstream>

namespace appletally::base {

namespace {

    constexpr size_t readMaskBits = 64; // width of JsonReader::m_read

    // Paths of expected values are much shorter; building paths of deeply nested input would take quadratic time.
    constexpr size_t maxPathBytes = 512;

    struct ValueAndPath {
        const JsonValue* value = nullptr;
        std::string path;
    };

    // Iterative, so that deeply nested input cannot overflow the stack.
    std::string pathTo(const JsonValue& target, const JsonValue& top)
    {
        std::vector<ValueAndPath> pending { { &top, "" } };
        while (!pending.empty()) {
            const ValueAndPath current = std::move(pending.back());
            pending.pop_back();
            if (current.value == &target)
                return current.path;
            if (current.path.size() > maxPathBytes)
                continue;
            if (current.value->IsArray()) {
                for (rapidjson::SizeType n = 0; n < current.value->Size(); ++n)
                    pending.push_back({ &(*current.value)[n], current.path + "[" + std::to_string(n) + "]" });
            }
            if (!current.value->IsObject())
                continue;
            for (const auto& it : current.value->GetObject())
                pending.push_back({ &it.value, (current.path.empty() ? "" : current.path + ".") + it.name.GetString() });
        }
        return "";
    }

    JsonValue::ConstMemberIterator findMember(const JsonValue& object, const std::string& key)
    {
        return object.FindMember(JsonValue(rapidjson::StringRef(key.data(), key.size())));
    }

    std::string textOf(const JsonValue& it) { return { it.GetString(), it.GetStringLength() }; }

    std::string expectedInteger(int64_t minValue, int64_t maxValue)
    {
        return "a whole number from " + std::to_string(minValue) + " to " + std::to_string(maxValue);
    }

    std::string expectedString(size_t maxBytes) { return "a string of 1 to " + std::to_string(maxBytes) + " bytes"; }

} // namespace

JsonReader::JsonReader(const JsonValue& top, std::string file, ReadProblem& problem)
    : JsonReader(top, std::make_shared<const Context>(Context { std::move(file), top, problem }))
{
}

JsonReader::JsonReader(const JsonValue& value, std::shared_ptr<const Context> context)
    : m_value(&value)
    , m_context(std::move(context))
{
    if (!value.IsObject())
        refuse(Code::SettingsWrongType, "", "an object");
}

void JsonReader::refuse(Code code, const std::string& key, const std::string& expected)
{
    if (m_context->problem.first)
        return;
    const std::string valuePath = pathTo(*m_value, m_context->top);
    const std::string path = key.empty() ? valuePath : (valuePath.empty() ? key : valuePath + "." + key);
    m_context->problem.first = fail(code, m_context->file + ": " + (path.empty() ? "(top)" : path) + ": expected " + expected);
}

bool JsonReader::has(const std::string& key) const { return m_value->IsObject() && findMember(*m_value, key) != m_value->MemberEnd(); }

const JsonValue* JsonReader::find(const std::string& key)
{
    if (!m_value->IsObject())
        return nullptr;
    const auto it = findMember(*m_value, key);
    if (it == m_value->MemberEnd())
        return nullptr;
    const auto index = static_cast<size_t>(it - m_value->MemberBegin());
    if (index < readMaskBits)
        m_read |= uint64_t { 1 } << index;
    else
        m_readOverflow.insert(index);
    return &it->value;
}

bool JsonReader::wasRead(size_t index) const
{
    return index < readMaskBits ? (m_read >> index & 1) != 0 : m_readOverflow.contains(index);
}

std::string JsonReader::textOrEmpty(const std::string& key, size_t maxBytes)
{
    const JsonValue* it = find(key);
    if (!it) {
        refuse(Code::SettingsMissingKey, key, expectedString(maxBytes));
        return {};
    }
    if (!it->IsString()) {
        refuse(Code::SettingsWrongType, key, expectedString(maxBytes));
        return {};
    }
    if (it->GetStringLength() > maxBytes)
        refuse(Code::SettingsOutOfRange, key, expectedString(maxBytes));
    return textOf(*it);
}

std::string JsonReader::text(const std::string& key, size_t maxBytes)
{
    std::string out = textOrEmpty(key, maxBytes);
    if (out.empty())
        refuse(Code::SettingsOutOfRange, key, expectedString(maxBytes)); // an earlier error is kept
    return out;
}

std::string JsonReader::text(const std::string& key, const std::string& fallback, size_t maxBytes)
{
    return has(key) ? text(key, maxBytes) : fallback;
}

int64_t JsonReader::integer(const std::string& key, int64_t minValue, int64_t maxValue)
{
    const JsonValue* it = find(key);
    if (!it) {
        refuse(Code::SettingsMissingKey, key, expectedInteger(minValue, maxValue));
        return minValue;
    }
    if (!it->IsInt64()) {
        refuse(it->IsUint64() ? Code::SettingsOutOfRange : Code::SettingsWrongType, key, expectedInteger(minValue, maxValue));
        return minValue;
    }
    const int64_t n = it->GetInt64();
    if (n < minValue || n > maxValue)
        refuse(Code::SettingsOutOfRange, key, expectedInteger(minValue, maxValue));
    return n;
}

int64_t JsonReader::integer(const std::string& key, int64_t minValue, int64_t maxValue, int64_t fallback)
{
    return has(key) ? integer(key, minValue, maxValue) : fallback;
}

Duration JsonReader::duration(const std::string& key, Duration minValue, Duration maxValue, Duration fallback)
{
    return { integer(key, minValue.ms, maxValue.ms, fallback.ms) };
}

bool JsonReader::flag(const std::string& key, bool fallback)
{
    const JsonValue* it = find(key);
    if (!it)
        return fallback;
    if (!it->IsBool()) {
        refuse(Code::SettingsWrongType, key, "true or false");
        return fallback;
    }
    return it->GetBool();
}

Address JsonReader::address(const std::string& key)
{
    auto parsed = parseAddress(text(key, 64));
    if (parsed)
        return parsed.value();
    refuse(Code::SettingsOutOfRange, key, "an IP address and a port, such as 127.0.0.1:8080");
    return {};
}

std::vector<std::string> JsonReader::texts(const std::string& key)
{
    std::vector<std::string> out;
    const JsonValue* it = find(key);
    if (!it)
        return out;
    if (!it->IsArray()) {
        refuse(Code::SettingsWrongType, key, "an array of strings");
        return out;
    }
    for (const JsonValue& entry : it->GetArray()) {
        if (!entry.IsString() || entry.GetStringLength() == 0) {
            refuse(Code::SettingsWrongType, key + "[" + std::to_string(out.size()) + "]", "a non-empty string");
            return out;
        }
        out.push_back(textOf(entry));
    }
    return out;
}

std::vector<JsonReader> JsonReader::objects(const std::string& key)
{
    std::vector<JsonReader> out;
    const JsonValue* it = find(key);
    if (!it)
        return out;
    if (!it->IsArray()) {
        refuse(Code::SettingsWrongType, key, "an array of objects");
        return out;
    }
    out.reserve(it->Size());
    for (const JsonValue& entry : it->GetArray())
        out.push_back(JsonReader(entry, m_context));
    return out;
}

JsonReader JsonReader::object(const std::string& key)
{
    static const JsonValue empty(rapidjson::kObjectType);
    const JsonValue* it = find(key);
    if (!it)
        refuse(Code::SettingsMissingKey, key, "an object");
    return { it ? *it : empty, m_context };
}

size_t JsonReader::choice(const std::string& key, const std::vector<std::string>& choices, std::optional<size_t> fallback)
{
    const JsonValue* it = find(key);
    if (!it && fallback)
        return *fallback;
    if (it && it->IsString()) {
        const std::string_view text(it->GetString(), it->GetStringLength());
        for (size_t n = 0; n < choices.size(); ++n) {
            if (text == choices[n])
                return n;
        }
    }
    std::string expected = "one of";
    for (const std::string& choice : choices)
        expected += " " + choice;
    refuse(it ? Code::SettingsOutOfRange : Code::SettingsMissingKey, key, expected);
    return 0;
}

void JsonReader::finish()
{
    if (!m_value->IsObject())
        return;
    size_t index = 0;
    for (const auto& it : m_value->GetObject()) {
        if (!wasRead(index++))
            refuse(Code::SettingsUnknownKey, it.name.GetString(), "no such key");
    }
}

Result<JsonDocument> parseJson(std::string_view bytes)
{
    JsonDocument out;
    out.Parse<rapidjson::kParseFullPrecisionFlag | rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(bytes.data(), bytes.size());
    if (out.HasParseError())
        return fail(Code::MessageMalformed, "not JSON");
    return out;
}

Result<JsonDocument> readJsonFile(const std::string& file)
{
    std::ifstream in(file, std::ios::binary);
    if (!in)
        return fail(Code::SettingsUnreadable, file + ": (top): expected a readable file");
    std::stringstream bytes;
    bytes << in.rdbuf();
    auto out = parseJson(bytes.str());
    if (!out)
        return fail(Code::SettingsUnreadable, file + ": (top): expected JSON");
    return out;
}

Result<Address> parseAddress(const std::string& text)
{
    const size_t colon = text.rfind(':');
    Address out;
    if (colon == std::string::npos)
        return fail(Code::SettingsOutOfRange, "no port in address " + text);
    out.ip = text.substr(0, colon);
    in_addr parsed {};
    const char* end = text.data() + text.size();
    auto [last, ec] = std::from_chars(text.data() + colon + 1, end, out.port);
    if (inet_pton(AF_INET, out.ip.c_str(), &parsed) != 1 || ec != std::errc() || last != end)
        return fail(Code::SettingsOutOfRange, "not an IP address and port: " + text);
    return out;
}

} // namespace appletally::base
