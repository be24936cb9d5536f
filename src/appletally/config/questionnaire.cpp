// Validated parsing of the questionnaire; every error reports its path.
#include "appletally/config/questionnaire.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace appletally::config {

using base::Code;
using base::Duration;
using base::JsonReader;

namespace {

    // Bounds that are wide enough for any reasonable service; they catch a wrong unit (seconds for milliseconds or the reverse).
    constexpr Duration minTimeout { 10 };
    constexpr Duration maxTimeout { 600'000 }; // archives of a large customer take minutes
    constexpr int64_t maxSlots = 10'000;
    constexpr int64_t maxBodyBytes = 1024LL * 1024 * 1024;
    constexpr size_t maxPathBytes = 512;
    constexpr int64_t maxColdRequests = 1'000'000'000; // in 1000 s
    constexpr Duration maxColdWindow { 600'000 };
    constexpr size_t maxServices = 1000; // three times the services that one mesh is designed for
    constexpr size_t maxRoutesPerService = 200;

    const std::vector<std::string> priorities = { "command", "lookup", "read", "archive" }; // in the order of Priority
    const std::vector<std::string> goals = { "speed-and-take-back", "completion-and-bytes" }; // in the order of OptimizationGoal
    const std::vector<std::string> methods = { "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" };
    const char* const nameExpected = "letters, digits, '.', '_' or '-', 64 at most";

    std::string readName(JsonReader& it, const std::string& key)
    {
        std::string text = it.text(key);
        if (!nameIsValid(text))
            it.refuse(Code::SettingsOutOfRange, key, nameExpected);
        return text;
    }

    template <typename T>
    std::vector<T> readNames(JsonReader& it, const std::string& key)
    {
        std::vector<T> out;
        for (const std::string& text : it.texts(key)) {
            const T name { text };
            if (!nameIsValid(text))
                it.refuse(Code::SettingsOutOfRange, key, nameExpected);
            if (std::find(out.begin(), out.end(), name) != out.end())
                it.refuse(Code::SettingsOutOfRange, key, text + " only once");
            out.push_back(name);
        }
        return out;
    }

    // With a trailing '/' or an empty segment, two prefixes that look alike would match different paths.
    bool prefixIsValid(const std::string& text)
    {
        if (text == "/")
            return true;
        const bool plain = std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 127 && c != '?' && c != '#'; });
        return plain && text.starts_with('/') && !text.ends_with('/') && text.find("//") == std::string::npos;
    }

    RouteAnswers readRoute(JsonReader& it, const std::vector<base::CallerId>& knownCallers)
    {
        RouteAnswers out;
        out.name.text = readName(it, "name");
        out.method = methods[it.choice("method", methods)];
        out.pathPrefix = it.text("path_prefix", maxPathBytes);
        if (!prefixIsValid(out.pathPrefix))
            it.refuse(Code::SettingsOutOfRange, "path_prefix", "a path from '/' without '/' at its end, '//', '?' or '#'");
        out.idempotent = it.flag("idempotent", out.idempotent);
        out.priority = static_cast<Priority>(it.choice("priority", priorities, static_cast<size_t>(out.priority)));
        out.timeout = it.duration("timeout_ms", minTimeout, maxTimeout, out.timeout);
        out.expected = it.duration("expected_ms", Duration { 1 }, maxTimeout, out.expected);
        if (out.expected > out.timeout)
            it.refuse(Code::SettingsOutOfRange, "expected_ms", "no more than timeout_ms");
        out.maxRequestBody.count = static_cast<uint64_t>(it.integer("most_body_bytes", 0, maxBodyBytes, static_cast<int64_t>(out.maxRequestBody.count)));
        out.callers = readNames<base::CallerId>(it, "callers");
        for (const base::CallerId& caller : out.callers) {
            if (std::find(knownCallers.begin(), knownCallers.end(), caller) == knownCallers.end())
                it.refuse(Code::SettingsOutOfRange, "callers", "kinds of callers from the list at the top, not " + caller.text);
        }
        it.finish();
        return out;
    }

    NewVersionAnswers readNewVersions(JsonReader it)
    {
        NewVersionAnswers out;
        out.maxTrialShare.value = static_cast<int32_t>(it.integer("most_trial_share_per_mille", 1, 500, out.maxTrialShare.value));
        out.thresholds.failures.value = static_cast<int32_t>(it.integer("bad_failures_per_mille", 1, 1000, out.thresholds.failures.value));
        out.thresholds.latencyPercent = static_cast<int>(it.integer("bad_latency_percent", 110, 10'000, out.thresholds.latencyPercent));
        it.finish();
        return out;
    }

    ServiceAnswers readService(JsonReader& it, const std::vector<base::CallerId>& knownCallers)
    {
        ServiceAnswers out;
        out.name.text = readName(it, "name");
        if (it.has("first_version"))
            out.firstVersion.text = readName(it, "first_version");
        out.dependsOn = readNames<base::ServiceName>(it, "depends_on");
        out.slots = static_cast<int>(it.integer("slots", 1, maxSlots, out.slots));
        out.maxConnections = static_cast<int>(it.integer("most_connections", 1, maxSlots, out.maxConnections));
        out.retryBudget.value = static_cast<int32_t>(it.integer("retry_budget_per_mille", 0, 1000, out.retryBudget.value));
        out.coldWindow = it.duration("cold_window_ms", {}, maxColdWindow, out.coldWindow);
        out.coldRate.thousandths = it.integer("cold_requests_per_1000_s", 0, maxColdRequests, 0);
        out.repeatsRequestId = it.flag("repeats_request_id", out.repeatsRequestId);
        if (it.has("new_versions"))
            out.newVersions = readNewVersions(it.object("new_versions"));
        for (JsonReader& route : it.objects("routes"))
            out.routes.push_back(readRoute(route, knownCallers));
        if (out.routes.size() > maxRoutesPerService)
            it.refuse(Code::SettingsOutOfRange, "routes", std::to_string(maxRoutesPerService) + " routes at most");
        it.finish();
        return out;
    }

    void rejectDuplicates(JsonReader& top, const Answers& answers)
    {
        std::set<base::ServiceName> services;
        std::set<base::RouteName> routes;
        for (const ServiceAnswers& service : answers.services) {
            if (!services.insert(service.name).second)
                top.refuse(Code::SettingsOutOfRange, "services", "service " + service.name.text + " only once");
            for (const RouteAnswers& route : service.routes) {
                if (!routes.insert(route.name).second)
                    top.refuse(Code::SettingsOutOfRange, "services", "route " + route.name.text + " only once");
            }
        }
    }

    // JSON parsers accept duplicate keys in an object without an error: of two "idempotent" keys one would be used, and a
    // donation might be repeated. `repeatedKey` is set to the first such key.
    void findRepeatedKey(const std::string& bytes, std::string& repeatedKey)
    {
        std::vector<std::set<std::string>> open; // keys of the objects that are not closed yet
        const auto watch = [&](int, base::Json::parse_event_t event, const base::Json& value) {
            if (event == base::Json::parse_event_t::object_start)
                open.emplace_back();
            if (event == base::Json::parse_event_t::object_end)
                open.pop_back();
            const bool isKey = event == base::Json::parse_event_t::key;
            if (isKey && !open.back().insert(value.get<std::string>()).second && repeatedKey.empty())
                repeatedKey = value.get<std::string>();
            return true;
        };
        const base::Json ignored = base::Json::parse(bytes, watch, false);
    }

} // namespace

bool nameIsValid(const std::string& text)
{
    const auto allowed = [](unsigned char c) { return c < 128 && (std::isalnum(c) || c == '.' || c == '_' || c == '-'); };
    return !text.empty() && text.size() <= maxNameBytes && std::all_of(text.begin(), text.end(), allowed);
}

base::Result<Answers> readAnswers(const base::JsonValue& json, const std::string& file)
{
    base::ReadProblem problem;
    JsonReader top(json, file, problem);
    Answers out;
    out.name = readName(top, "name");
    out.goal = static_cast<OptimizationGoal>(top.choice("weighing", goals));
    out.callers = readNames<base::CallerId>(top, "callers");
    for (JsonReader& service : top.objects("services"))
        out.services.push_back(readService(service, out.callers));
    if (out.services.size() > maxServices)
        top.refuse(Code::SettingsOutOfRange, "services", std::to_string(maxServices) + " services at most");
    rejectDuplicates(top, out);
    top.finish();
    if (problem.first)
        return base::fail(Code::AnswersInvalid, problem.first->text);
    return out;
}

base::Result<Answers> parseAnswers(const std::string& bytes, const std::string& file)
{
    if (bytes.size() > maxAnswersBytes)
        return base::fail(Code::AnswersInvalid, file + ": (top): expected " + std::to_string(maxAnswersBytes) + " bytes at most");
    std::string repeatedKey;
    findRepeatedKey(bytes, repeatedKey);
    if (!repeatedKey.empty())
        return base::fail(Code::AnswersInvalid, file + ": " + repeatedKey + ": expected this key only once");
    const auto json = base::parseJson(bytes);
    if (!json)
        return base::fail(Code::AnswersInvalid, file + ": (top): expected JSON");
    return readAnswers(json.value(), file);
}

} // namespace appletally::config
