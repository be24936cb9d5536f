// Canonical JSON of snapshots and their parts; hashing and compression. Endpoints and evidence: codec_records.cpp.
#include "appletally/config/codec.h"
#include "appletally/config/json_names.h"

#include <xxhash.h>
#include <zstd.h>

namespace appletally::config {

using base::Code;
using base::Json;
using base::JsonReader;
using base::JsonWriter;
using base::writeKey;
using base::writeMember;
using base::writeRawMember;

namespace {

    const std::vector<std::string> priorities = { "command", "lookup", "read", "archive" };
    const std::vector<std::string> goals = { "speed-and-take-back", "completion-and-bytes" };
    constexpr int64_t maxInt = INT32_MAX;
    constexpr size_t maxRolloutIdBytes = 8192; // the name of a service and a log index

    base::PerMille readPerMille(JsonReader& it, const std::string& key) { return { static_cast<int32_t>(it.integer(key, 0, 1000)) }; }

    base::Duration readDuration(JsonReader& it, const std::string& key) { return { it.integer(key, 0, INT64_MAX) }; }

    Json toJson(const std::vector<Keeper>& members)
    {
        Json out = Json::array();
        for (const Keeper& it : members)
            out.push_back({ { "host", it.host.text }, { "inner", it.inner.text() } });
        return out;
    }

    std::vector<Keeper> readKeepers(JsonReader& top, const std::string& key)
    {
        std::vector<Keeper> out;
        for (JsonReader& it : top.objects(key)) {
            out.push_back({ { it.text("host") }, it.address("inner") });
            it.finish();
        }
        return out;
    }

    template <typename T>
    void writeAsRawJson(JsonWriter& out, const T& it)
    {
        const std::string json = encode(toJson(it));
        out.RawValue(json.data(), json.size(), rapidjson::kObjectType);
    }

    void write(JsonWriter& out, const Rollout& it) { writeAsRawJson(out, it); }

    template <typename Key, typename Value>
    void writeValues(JsonWriter& out, const char* key, const std::map<Key, Value>& map)
    {
        writeKey(out, key);
        out.StartArray();
        for (const auto& [name, value] : map)
            write(out, value);
        out.EndArray();
    }

    template <typename Key, typename Value>
    Json valuesToJson(const std::map<Key, Value>& map)
    {
        Json out = Json::array();
        for (const auto& [key, value] : map)
            out.push_back(toJson(value));
        return out;
    }

    template <typename T>
    std::string encodeStreaming(const T& it)
    {
        base::JsonBuffer buf;
        JsonWriter out(buf);
        write(out, it);
        return base::textOf(buf);
    }

    // A different seed for each kind, so that a service and a route with equal bytes have different hashes.
    enum HashSeed : uint8_t { ServiceSeed = 1,
        RouteSeed,
        RolloutSeed,
        KeepersSeed,
        TimingSeed,
        LimitsSeed,
        ZonesSeed };

    uint64_t hashOf(std::string_view bytes, HashSeed seed) { return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed); }

    template <typename T>
    uint64_t partHash(const T& it, HashSeed seed)
    {
        return hashOf(encode(toJson(it)), seed);
    }

    uint64_t partHash(const Route& it, HashSeed seed) { return hashOf(encodeStreaming(it), seed); }

    uint64_t partHash(const Service& it, HashSeed seed) { return hashOf(encodeStreaming(it), seed); }

    // None counts as nothing, so that snapshots from before there were evacuations keep their sums.
    uint64_t partHash(const std::set<base::ZoneName>& zones, HashSeed seed)
    {
        return zones.empty() ? 0 : hashOf(encode(zonesToJson(zones)), seed);
    }

    template <typename Key, typename Value>
    uint64_t sumOf(const std::map<Key, Value>& map, HashSeed seed)
    {
        uint64_t out = 0;
        for (const auto& [key, value] : map)
            out += partHash(value, seed);
        return out;
    }

    // The difference of the sums of `to` and `from`. Both maps are walked; only differing values are hashed.
    template <typename Key, typename Value>
    uint64_t sumDifference(const std::map<Key, Value>& from, const std::map<Key, Value>& to, HashSeed seed)
    {
        uint64_t out = 0;
        auto a = from.begin();
        auto b = to.begin();
        while (a != from.end() || b != to.end()) {
            const bool onlyA = b == to.end() || (a != from.end() && a->first < b->first);
            const bool onlyB = !onlyA && (a == from.end() || b->first < a->first);
            const bool same = !onlyA && !onlyB && a->second == b->second;
            if (!same && !onlyB)
                out -= partHash(a->second, seed);
            if (!same && !onlyA)
                out += partHash(b->second, seed);
            a = onlyB ? a : std::next(a);
            b = onlyA ? b : std::next(b);
        }
        return out;
    }

    template <typename T>
    uint64_t sumDifferenceOfPart(const T& from, const T& to, HashSeed seed)
    {
        return from == to ? 0 : partHash(to, seed) - partHash(from, seed);
    }

} // namespace

void write(JsonWriter& out, const Service& it)
{
    out.StartObject();
    if (it.coldRate.thousandths > 0)
        writeMember(out, "cold_rate", it.coldRate.thousandths);
    if (it.coldWindow.ms > 0)
        writeMember(out, "cold_window", it.coldWindow.ms);
    writeMember(out, "connections", int64_t { it.maxConnections });
    writeNames(out, "depends_on", it.dependsOn);
    writeMember(out, "name", it.name.text);
    if (it.repeatsRequestId) {
        writeKey(out, "repeats_request_id");
        out.Bool(true);
    }
    writeMember(out, "retry_budget", int64_t { it.retryBudget.value });
    writeMember(out, "slots", int64_t { it.slots });
    if (!it.fallbackVersion.empty())
        writeMember(out, "stand_in", it.fallbackVersion.text);
    writeKey(out, "versions");
    out.StartArray();
    for (const VersionShare& share : it.versions) {
        out.StartObject();
        writeMember(out, "share", int64_t { share.share.value });
        writeMember(out, "version", share.version.text);
        out.EndObject();
    }
    out.EndArray();
    out.EndObject();
}

Json toJson(const Service& it) { return Json::parse(encodeStreaming(it)); }

Service readService(JsonReader it)
{
    Service out;
    out.name.text = it.text("name");
    out.dependsOn = readNames<base::ServiceName>(it, "depends_on");
    out.slots = static_cast<int>(it.integer("slots", 1, maxInt));
    out.maxConnections = static_cast<int>(it.integer("connections", 1, maxInt));
    for (JsonReader& share : it.objects("versions")) {
        out.versions.push_back({ { share.text("version") }, readPerMille(share, "share") });
        share.finish();
    }
    out.retryBudget = readPerMille(it, "retry_budget");
    out.fallbackVersion.text = it.text("stand_in", "");
    out.coldRate.thousandths = it.integer("cold_rate", 0, INT64_MAX, 0);
    out.coldWindow.ms = it.integer("cold_window", 0, INT64_MAX, 0);
    out.repeatsRequestId = it.flag("repeats_request_id", false);
    it.finish();
    return out;
}

static void writeSplits(JsonWriter& out, const std::vector<RouteSplit>& splits)
{
    writeKey(out, "splits");
    out.StartArray();
    for (const RouteSplit& it : splits) {
        out.StartObject();
        writeMember(out, "service", it.service.text);
        writeMember(out, "weight", int64_t { it.weight });
        out.EndObject();
    }
    out.EndArray();
}

// Fields that a questionnaire cannot set are omitted if they have their default value.
void write(JsonWriter& out, const Route& it)
{
    static const Route defaults;
    out.StartObject();
    if (it.maxAttempts != defaults.maxAttempts)
        writeMember(out, "attempts", int64_t { it.maxAttempts });
    writeMember(out, "body", it.maxRequestBody.count);
    writeNames(out, "callers", it.callers);
    writeMember(out, "expected", it.expected.ms);
    if (!it.host.empty())
        writeMember(out, "host", it.host);
    writeKey(out, "idempotent");
    out.Bool(it.idempotent);
    writeMember(out, "method", it.method);
    writeMember(out, "name", it.name.text);
    writeMember(out, "path", it.pathPrefix);
    writeMember(out, "priority", priorityName(it.priority));
    writeMember(out, "service", it.service.text);
    if (!it.splits.empty())
        writeSplits(out, it.splits);
    if (it.target.ms > 0)
        writeMember(out, "target", it.target.ms);
    writeMember(out, "timeout", it.timeout.ms);
    out.EndObject();
}

Json toJson(const Route& it) { return Json::parse(encodeStreaming(it)); }

Route readRoute(JsonReader it)
{
    Route out;
    out.name.text = it.text("name");
    out.service.text = it.text("service");
    out.method = it.text("method");
    out.pathPrefix = it.text("path");
    out.idempotent = it.flag("idempotent", false);
    out.priority = static_cast<Priority>(it.choice("priority", priorities));
    out.timeout = readDuration(it, "timeout");
    out.expected = readDuration(it, "expected");
    out.maxRequestBody.count = static_cast<uint64_t>(it.integer("body", 0, INT64_MAX));
    out.callers = readNames<base::CallerId>(it, "callers");
    out.host = it.text("host", "");
    out.target.ms = it.integer("target", 0, INT64_MAX, 0);
    out.maxAttempts = static_cast<int>(it.integer("attempts", 1, maxInt, out.maxAttempts));
    for (JsonReader& split : it.objects("splits")) {
        out.splits.push_back({ { split.text("service") }, static_cast<int>(split.integer("weight", 0, maxInt)) });
        split.finish();
    }
    it.finish();
    return out;
}

Json toJson(const Rollout& it)
{
    return { { "id", it.id.text }, { "service", it.service.text }, { "from", it.from.text }, { "to", it.to.text },
        { "share", it.share.value }, { "trial", it.maxTrialShare.value }, { "complete_by", it.completeBy.ms },
        { "bad_failures", it.thresholds.failures.value }, { "bad_latency", it.thresholds.latencyPercent } };
}

Rollout readRollout(JsonReader it)
{
    Rollout out = readEndedRollout(it);
    it.text("service");
    it.text("from");
    it.text("to");
    return out;
}

// Version 0.1.0 of this program recorded a rollout that ended with its service by its id only.
Rollout readEndedRollout(JsonReader it)
{
    Rollout out;
    out.id.text = it.text("id", maxRolloutIdBytes);
    out.service.text = it.textOrEmpty("service");
    out.from.text = it.textOrEmpty("from");
    out.to.text = it.textOrEmpty("to");
    out.share = readPerMille(it, "share");
    out.maxTrialShare = readPerMille(it, "trial");
    out.completeBy.ms = it.integer("complete_by", INT64_MIN, INT64_MAX);
    out.thresholds.failures = readPerMille(it, "bad_failures");
    out.thresholds.latencyPercent = static_cast<int>(it.integer("bad_latency", 0, maxInt));
    it.finish();
    return out;
}

Json toJson(const KeeperSet& it)
{
    return { { "number", it.number.value }, { "members", toJson(it.members) }, { "previous", toJson(it.previous) } };
}

KeeperSet readKeeperSet(JsonReader it)
{
    KeeperSet out;
    out.number.value = static_cast<uint64_t>(it.integer("number", 0, INT64_MAX));
    out.members = readKeepers(it, "members");
    out.previous = readKeepers(it, "previous");
    it.finish();
    return out;
}

Json toJson(const ControlTiming& it)
{
    return { { "weighing", goals[static_cast<size_t>(it.goal)] }, { "batch", it.batch.ms }, { "report", it.report.ms } };
}

ControlTiming readControlTiming(JsonReader it)
{
    ControlTiming out;
    out.goal = static_cast<OptimizationGoal>(it.choice("weighing", goals));
    out.batch = readDuration(it, "batch");
    out.report = readDuration(it, "report");
    it.finish();
    return out;
}

Json toJson(const CallerLimits& it)
{
    return { { "header", it.header.count }, { "body", it.body.count }, { "header_time", it.headerTime.ms }, { "idle_time", it.idleTime.ms } };
}

CallerLimits readCallerLimits(JsonReader it)
{
    CallerLimits out;
    out.header.count = static_cast<uint64_t>(it.integer("header", 0, INT64_MAX));
    out.body.count = static_cast<uint64_t>(it.integer("body", 0, INT64_MAX));
    out.headerTime = readDuration(it, "header_time");
    out.idleTime = readDuration(it, "idle_time");
    it.finish();
    return out;
}

Json zonesToJson(const std::set<base::ZoneName>& zones) { return namesToJson(std::vector(zones.begin(), zones.end())); }

std::set<base::ZoneName> readZones(JsonReader& it, const std::string& key)
{
    const auto names = readNames<base::ZoneName>(it, key);
    return { names.begin(), names.end() };
}

Json toJson(const Snapshot& it)
{
    Json out = { { "version", it.version.value }, { "services", valuesToJson(it.services) }, { "routes", valuesToJson(it.routes) },
        { "rollouts", valuesToJson(it.rollouts) }, { "keepers", toJson(it.keepers) }, { "pace", toJson(it.timing) } };
    if (!(it.callerLimits == CallerLimits {}))
        out["caller_limits"] = toJson(it.callerLimits);
    if (!it.evacuatedZones.empty())
        out["evacuated_zones"] = zonesToJson(it.evacuatedZones);
    return out;
}

std::string encode(const Json& it) { return it.dump(-1, ' ', false, Json::error_handler_t::replace); }

std::string encode(const Snapshot& it)
{
    base::JsonBuffer buf;
    JsonWriter out(buf);
    out.StartObject();
    if (!(it.callerLimits == CallerLimits {}))
        writeRawMember(out, "caller_limits", encode(toJson(it.callerLimits)));
    if (!it.evacuatedZones.empty())
        writeRawMember(out, "evacuated_zones", encode(zonesToJson(it.evacuatedZones)));
    writeRawMember(out, "keepers", encode(toJson(it.keepers)));
    writeRawMember(out, "pace", encode(toJson(it.timing)));
    writeValues(out, "rollouts", it.rollouts);
    writeValues(out, "routes", it.routes);
    writeValues(out, "services", it.services);
    writeMember(out, "version", it.version.value);
    out.EndObject();
    return base::textOf(buf);
}

base::Result<Json> decodeJson(std::string_view bytes)
{
    Json out = Json::parse(bytes, nullptr, false);
    if (out.is_discarded())
        return base::fail(Code::MessageMalformed, "not JSON");
    return out;
}

base::Result<Snapshot> decodeSnapshot(std::string_view bytes)
{
    auto json = base::parseJson(bytes);
    if (!json)
        return json.error();
    base::ReadProblem problem;
    JsonReader top(json.value(), "snapshot", problem);
    Snapshot out;
    out.version.value = static_cast<uint64_t>(top.integer("version", 0, INT64_MAX));
    for (JsonReader& it : top.objects("services")) {
        Service service = readService(it);
        out.services[service.name] = std::move(service);
    }
    for (JsonReader& it : top.objects("routes")) {
        Route route = readRoute(it);
        out.routes[route.name] = std::move(route);
    }
    for (JsonReader& it : top.objects("rollouts")) {
        Rollout rollout = readRollout(it);
        out.rollouts[rollout.id] = rollout;
    }
    out.keepers = readKeeperSet(top.object("keepers"));
    out.timing = readControlTiming(top.object("pace"));
    if (top.has("caller_limits"))
        out.callerLimits = readCallerLimits(top.object("caller_limits"));
    out.evacuatedZones = readZones(top, "evacuated_zones");
    top.finish();
    if (problem.first)
        return base::fail(Code::MessageMalformed, problem.first->text);
    return out;
}

uint64_t contentHash(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

uint64_t contentHash(const Snapshot& it)
{
    if (it.sum.known)
        return it.sum.value;
    return sumOf(it.services, ServiceSeed) + sumOf(it.routes, RouteSeed) + sumOf(it.rollouts, RolloutSeed)
        + partHash(it.keepers, KeepersSeed) + partHash(it.timing, TimingSeed) + partHash(it.callerLimits, LimitsSeed)
        + partHash(it.evacuatedZones, ZonesSeed);
}

ContentSum sumAfter(const Snapshot& from, const Snapshot& to)
{
    uint64_t out = contentHash(from);
    out += sumDifference(from.services, to.services, ServiceSeed);
    out += sumDifference(from.routes, to.routes, RouteSeed);
    out += sumDifference(from.rollouts, to.rollouts, RolloutSeed);
    out += sumDifferenceOfPart(from.keepers, to.keepers, KeepersSeed);
    out += sumDifferenceOfPart(from.timing, to.timing, TimingSeed);
    out += sumDifferenceOfPart(from.callerLimits, to.callerLimits, LimitsSeed);
    out += sumDifferenceOfPart(from.evacuatedZones, to.evacuatedZones, ZonesSeed);
    return { out, true };
}

std::string compress(std::string_view bytes)
{
    std::string out(ZSTD_compressBound(bytes.size()), '\0');
    const size_t n = ZSTD_compress(out.data(), out.size(), bytes.data(), bytes.size(), ZSTD_CLEVEL_DEFAULT);
    out.resize(n); // cannot fail: the buffer has the size of ZSTD_compressBound()
    return out;
}

base::Result<std::string> decompress(std::string_view bytes, size_t maxBytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
        return base::fail(Code::MessageMalformed, "not a zstd frame with a known content size");
    if (size > maxBytes)
        return base::fail(Code::MessageTooLarge, std::to_string(size) + " bytes, " + std::to_string(maxBytes) + " at most");
    std::string out(size, '\0');
    const size_t n = ZSTD_decompress(out.data(), out.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(n) || n != size)
        return base::fail(Code::MessageMalformed, "corrupted zstd frame");
    return out;
}

const char* priorityName(Priority it) { return priorities[static_cast<size_t>(it)].c_str(); }

} // namespace appletally::config
