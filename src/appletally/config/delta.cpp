// Computes, applies, encodes and describes differences by resource.
#include "appletally/config/delta.h"

#include "appletally/config/codec.h"
#include "appletally/config/json_names.h"

namespace appletally::config {

using base::Code;
using base::Json;
using base::JsonReader;
using base::JsonWriter;
using base::writeKey;
using base::writeMember;
using base::writeRawMember;

namespace {

    template <typename Key, typename Value>
    void collect(const std::map<Key, Value>& from, const std::map<Key, Value>& to, std::vector<Value>& changed, std::vector<Key>& removed)
    {
        for (const auto& [key, value] : to) {
            const auto it = from.find(key);
            if (it == from.end() || !(it->second == value))
                changed.push_back(value);
        }
        for (const auto& [key, value] : from) {
            if (!to.contains(key))
                removed.push_back(key);
        }
    }

    template <typename Key, typename Value>
    void put(std::map<Key, Value>& map, const std::vector<Value>& changed, const std::vector<Key>& removed, Key Value::*key)
    {
        for (const Value& it : changed)
            map[it.*key] = it;
        for (const Key& it : removed)
            map.erase(it);
    }

    void write(JsonWriter& out, const Rollout& it)
    {
        const std::string json = encode(toJson(it));
        out.RawValue(json.data(), json.size(), rapidjson::kObjectType);
    }

    template <typename T>
    void writeUnlessEmpty(JsonWriter& out, const char* key, const std::vector<T>& list)
    {
        if (list.empty())
            return;
        writeKey(out, key);
        out.StartArray();
        for (const T& it : list)
            write(out, it);
        out.EndArray();
    }

    template <typename T>
    void writeNamesUnlessEmpty(JsonWriter& out, const char* key, const std::vector<T>& names)
    {
        if (!names.empty())
            writeNames(out, key, names);
    }

    template <typename T>
    std::vector<T> readList(JsonReader& top, const std::string& key, T (*read)(JsonReader))
    {
        std::vector<T> out;
        for (const JsonReader& it : top.objects(key))
            out.push_back(read(it));
        return out;
    }

    // "slots 10 -> 12, priority read -> lookup"
    std::string describeFields(const Json& from, const Json& to)
    {
        std::string out;
        for (const auto& [key, value] : to.items()) {
            const Json before = from.value(key, Json());
            if (before != value)
                out += (out.empty() ? "" : ", ") + key + " " + encode(before) + " -> " + encode(value);
        }
        return out;
    }

    // Stores up to maxLines lines and counts the rest, so that large changes do not build a line for each resource.
    struct LimitedLines {
        size_t maxLines = 0;
        size_t count = 0;
        std::vector<std::string> kept;

        template <typename MakeLine>
        void add(MakeLine makeLine)
        {
            if (count++ < maxLines)
                kept.push_back(makeLine());
        }
        void append(LimitedLines&& other)
        {
            for (std::string& it : other.kept) {
                if (kept.size() < maxLines)
                    kept.push_back(std::move(it));
            }
            count += other.count;
        }
    };

    template <typename Key, typename Value>
    void describe(const char* kind, const std::map<Key, Value>& from, const std::map<Key, Value>& to, LimitedLines& lines)
    {
        const auto nameOf = [kind](const Key& key) { return std::string(kind) + " " + key.text + ": "; };
        LimitedLines removed { lines.maxLines, 0, {} };
        LimitedLines others { lines.maxLines, 0, {} };
        auto old = from.begin(); // both are sorted by key: one pass instead of a lookup for each
        for (const auto& [key, value] : to) {
            for (; old != from.end() && old->first < key; ++old)
                removed.add([&] { return nameOf(old->first) + "removed"; });
            if (old == from.end() || key < old->first) {
                others.add([&, &key = key] { return nameOf(key) + "added"; });
                continue;
            }
            if (!(old->second == value))
                others.add([&, &key = key, &value = value] { return nameOf(key) + describeFields(toJson(old->second), toJson(value)); });
            ++old;
        }
        for (; old != from.end(); ++old)
            removed.add([&] { return nameOf(old->first) + "removed"; });
        lines.append(std::move(removed));
        lines.append(std::move(others));
    }

    template <typename T>
    void describeOne(const char* name, const T& from, const T& to, LimitedLines& lines)
    {
        if (!(from == to))
            lines.add([&] { return std::string(name) + ": " + describeFields(toJson(from), toJson(to)); });
    }

} // namespace

Delta difference(const Snapshot& from, const Snapshot& to)
{
    Delta out;
    out.from = from.version;
    out.to = to.version;
    out.resultHash = sumAfter(from, to).value;
    collect(from.services, to.services, out.services, out.removedServices);
    collect(from.routes, to.routes, out.routes, out.removedRoutes);
    collect(from.rollouts, to.rollouts, out.rollouts, out.removedRollouts);
    if (!(from.keepers == to.keepers))
        out.keepers = to.keepers;
    if (!(from.timing == to.timing))
        out.timing = to.timing;
    if (!(from.callerLimits == to.callerLimits))
        out.callerLimits = to.callerLimits;
    if (from.evacuatedZones != to.evacuatedZones)
        out.evacuatedZones = to.evacuatedZones;
    return out;
}

base::Result<Snapshot> patch(const Snapshot& snapshot, const Delta& delta)
{
    if (delta.to <= snapshot.version)
        return base::fail(Code::VersionTooOld, "delta to version " + std::to_string(delta.to.value) + " rejected: version " + std::to_string(snapshot.version.value) + " is already held");
    if (delta.from != snapshot.version)
        return base::fail(Code::DeltaMismatch, "delta from version " + std::to_string(delta.from.value) + " does not match: version " + std::to_string(snapshot.version.value) + " is held");
    Snapshot out = snapshot;
    out.version = delta.to;
    put(out.services, delta.services, delta.removedServices, &Service::name);
    put(out.routes, delta.routes, delta.removedRoutes, &Route::name);
    put(out.rollouts, delta.rollouts, delta.removedRollouts, &Rollout::id);
    out.keepers = delta.keepers.value_or(out.keepers);
    out.timing = delta.timing.value_or(out.timing);
    out.callerLimits = delta.callerLimits.value_or(out.callerLimits);
    out.evacuatedZones = delta.evacuatedZones.value_or(out.evacuatedZones);
    out.sum = sumAfter(snapshot, out);
    if (out.sum.value != delta.resultHash)
        return base::fail(Code::DeltaMismatch, "the result of the delta to version " + std::to_string(delta.to.value) + " has a different hash");
    return out;
}

std::string encode(const Delta& it)
{
    base::JsonBuffer buf;
    JsonWriter out(buf);
    out.StartObject();
    if (it.callerLimits)
        writeRawMember(out, "caller_limits", encode(toJson(*it.callerLimits)));
    if (it.evacuatedZones)
        writeRawMember(out, "evacuated_zones", encode(zonesToJson(*it.evacuatedZones)));
    writeMember(out, "from", it.from.value);
    writeNamesUnlessEmpty(out, "gone_rollouts", it.removedRollouts);
    writeNamesUnlessEmpty(out, "gone_routes", it.removedRoutes);
    writeNamesUnlessEmpty(out, "gone_services", it.removedServices);
    // Two halves, since JsonReader's integers cannot hold all 64 bits.
    writeMember(out, "hash_high", it.resultHash >> 32);
    writeMember(out, "hash_low", it.resultHash & UINT32_MAX);
    if (it.keepers)
        writeRawMember(out, "keepers", encode(toJson(*it.keepers)));
    if (it.timing)
        writeRawMember(out, "pace", encode(toJson(*it.timing)));
    writeUnlessEmpty(out, "rollouts", it.rollouts);
    writeUnlessEmpty(out, "routes", it.routes);
    writeUnlessEmpty(out, "services", it.services);
    writeMember(out, "to", it.to.value);
    out.EndObject();
    return base::textOf(buf);
}

base::Result<Delta> decodeDelta(std::string_view bytes)
{
    auto json = base::parseJson(bytes);
    if (!json)
        return json.error();
    base::ReadProblem problem;
    JsonReader top(json.value(), "delta", problem);
    Delta out;
    out.from.value = static_cast<uint64_t>(top.integer("from", 0, INT64_MAX));
    out.to.value = static_cast<uint64_t>(top.integer("to", static_cast<int64_t>(out.from.value), INT64_MAX));
    const auto high = static_cast<uint64_t>(top.integer("hash_high", 0, UINT32_MAX));
    out.resultHash = high << 32 | static_cast<uint64_t>(top.integer("hash_low", 0, UINT32_MAX));
    out.services = readList(top, "services", readService);
    out.routes = readList(top, "routes", readRoute);
    out.rollouts = readList(top, "rollouts", readRollout);
    out.removedServices = readNames<base::ServiceName>(top, "gone_services");
    out.removedRoutes = readNames<base::RouteName>(top, "gone_routes");
    out.removedRollouts = readNames<base::RolloutId>(top, "gone_rollouts");
    if (top.has("keepers"))
        out.keepers = readKeeperSet(top.object("keepers"));
    if (top.has("pace"))
        out.timing = readControlTiming(top.object("pace"));
    if (top.has("caller_limits"))
        out.callerLimits = readCallerLimits(top.object("caller_limits"));
    if (top.has("evacuated_zones"))
        out.evacuatedZones = readZones(top, "evacuated_zones");
    top.finish();
    if (problem.first)
        return base::fail(Code::MessageMalformed, problem.first->text);
    return out;
}

std::vector<std::string> describeDifference(const Snapshot& from, const Snapshot& to, size_t maxLines)
{
    LimitedLines lines { maxLines, 0, {} };
    describe("service", from.services, to.services, lines);
    describe("route", from.routes, to.routes, lines);
    describe("rollout", from.rollouts, to.rollouts, lines);
    describeOne("keepers", from.keepers, to.keepers, lines);
    describeOne("pace", from.timing, to.timing, lines);
    describeOne("caller limits", from.callerLimits, to.callerLimits, lines);
    for (const base::ZoneName& it : to.evacuatedZones) {
        if (!from.evacuatedZones.contains(it))
            lines.add([&] { return "zone " + it.text + ": evacuated"; });
    }
    for (const base::ZoneName& it : from.evacuatedZones) {
        if (!to.evacuatedZones.contains(it))
            lines.add([&] { return "zone " + it.text + ": back in service"; });
    }
    if (lines.count > lines.kept.size())
        lines.kept.push_back("and " + std::to_string(lines.count - lines.kept.size()) + " more");
    return std::move(lines.kept);
}

} // namespace appletally::config
