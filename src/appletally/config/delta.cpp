// Differences by resource: taken, applied, sent and described.
#include "appletally/config/delta.h"

#include "appletally/config/codec.h"
#include "appletally/config/json_names.h"

namespace appletally::config {

using base::Code;
using base::Json;
using base::JsonReader;

namespace {

    template <typename Key, typename Value>
    void collect(const std::map<Key, Value>& from, const std::map<Key, Value>& to, std::vector<Value>& changed, std::vector<Key>& gone)
    {
        for (const auto& [key, value] : to) {
            const auto it = from.find(key);
            if (it == from.end() || !(it->second == value))
                changed.push_back(value);
        }
        for (const auto& [key, value] : from) {
            if (!to.contains(key))
                gone.push_back(key);
        }
    }

    template <typename Key, typename Value>
    void put(std::map<Key, Value>& map, const std::vector<Value>& changed, const std::vector<Key>& gone, Key Value::*key)
    {
        for (const Value& it : changed)
            map[it.*key] = it;
        for (const Key& it : gone)
            map.erase(it);
    }

    template <typename T>
    Json listToJson(const std::vector<T>& list)
    {
        Json out = Json::array();
        for (const T& it : list)
            out.push_back(toJson(it));
        return out;
    }

    template <typename T>
    std::vector<T> readList(JsonReader& top, const std::string& key, T (*read)(JsonReader))
    {
        std::vector<T> out;
        for (const JsonReader& it : top.objects(key))
            out.push_back(read(it));
        return out;
    }

    void putUnlessEmpty(Json& json, const char* key, Json list)
    {
        if (!list.empty())
            json[key] = std::move(list);
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

    template <typename Key, typename Value>
    void describe(const char* kind, const std::map<Key, Value>& from, const std::map<Key, Value>& to, std::vector<std::string>& lines)
    {
        const auto nameOf = [kind](const Key& key) { return std::string(kind) + " " + key.text + ": "; };
        std::vector<std::string> removed;
        std::vector<std::string> others;
        auto old = from.begin(); // both are in the order of their keys: one walk instead of a look-up for each
        for (const auto& [key, value] : to) {
            for (; old != from.end() && old->first < key; ++old)
                removed.push_back(nameOf(old->first) + "removed");
            if (old == from.end() || key < old->first) {
                others.push_back(nameOf(key) + "added");
                continue;
            }
            if (!(old->second == value))
                others.push_back(nameOf(key) + describeFields(toJson(old->second), toJson(value)));
            ++old;
        }
        for (; old != from.end(); ++old)
            removed.push_back(nameOf(old->first) + "removed");
        for (std::vector<std::string>* part : { &removed, &others })
            lines.insert(lines.end(), part->begin(), part->end());
    }

} // namespace

Delta difference(const Snapshot& from, const Snapshot& to)
{
    Delta out;
    out.from = from.version;
    out.to = to.version;
    out.resultHash = sumAfter(from, to).value;
    collect(from.services, to.services, out.services, out.goneServices);
    collect(from.routes, to.routes, out.routes, out.goneRoutes);
    collect(from.rollouts, to.rollouts, out.rollouts, out.goneRollouts);
    if (!(from.keepers == to.keepers))
        out.keepers = to.keepers;
    if (!(from.pace == to.pace))
        out.pace = to.pace;
    if (!(from.callerLimits == to.callerLimits))
        out.callerLimits = to.callerLimits;
    return out;
}

base::Result<Snapshot> patch(const Snapshot& snapshot, const Delta& delta)
{
    if (delta.to <= snapshot.version)
        return base::fail(Code::VersionTooOld, "a delta to " + std::to_string(delta.to.value) + " where " + std::to_string(snapshot.version.value) + " is held");
    if (delta.from != snapshot.version)
        return base::fail(Code::DeltaDoesNotFit, "a delta from " + std::to_string(delta.from.value) + " where " + std::to_string(snapshot.version.value) + " is held");
    Snapshot out = snapshot;
    out.version = delta.to;
    put(out.services, delta.services, delta.goneServices, &Service::name);
    put(out.routes, delta.routes, delta.goneRoutes, &Route::name);
    put(out.rollouts, delta.rollouts, delta.goneRollouts, &Rollout::id);
    out.keepers = delta.keepers.value_or(out.keepers);
    out.pace = delta.pace.value_or(out.pace);
    out.callerLimits = delta.callerLimits.value_or(out.callerLimits);
    out.sum = sumAfter(snapshot, out);
    if (out.sum.value != delta.resultHash)
        return base::fail(Code::DeltaDoesNotFit, "the result of the delta to " + std::to_string(delta.to.value) + " has another hash");
    return out;
}

std::string encode(const Delta& it)
{
    // The hash takes all 64 bits, more than the checked reader's whole numbers hold: two halves.
    Json out = { { "from", it.from.value }, { "to", it.to.value }, { "hash_high", it.resultHash >> 32 }, { "hash_low", it.resultHash & UINT32_MAX } };
    putUnlessEmpty(out, "services", listToJson(it.services));
    putUnlessEmpty(out, "routes", listToJson(it.routes));
    putUnlessEmpty(out, "rollouts", listToJson(it.rollouts));
    putUnlessEmpty(out, "gone_services", namesToJson(it.goneServices));
    putUnlessEmpty(out, "gone_routes", namesToJson(it.goneRoutes));
    putUnlessEmpty(out, "gone_rollouts", namesToJson(it.goneRollouts));
    if (it.keepers)
        out["keepers"] = toJson(*it.keepers);
    if (it.pace)
        out["pace"] = toJson(*it.pace);
    if (it.callerLimits)
        out["caller_limits"] = toJson(*it.callerLimits);
    return encode(out);
}

base::Result<Delta> decodeDelta(std::string_view bytes)
{
    auto json = decodeJson(bytes);
    if (!json)
        return json.error();
    base::ReadProblem problem;
    JsonReader top(json.value(), "delta", "", problem);
    Delta out;
    out.from.value = static_cast<uint64_t>(top.integer("from", 0, INT64_MAX));
    out.to.value = static_cast<uint64_t>(top.integer("to", static_cast<int64_t>(out.from.value), INT64_MAX));
    const auto high = static_cast<uint64_t>(top.integer("hash_high", 0, UINT32_MAX));
    out.resultHash = high << 32 | static_cast<uint64_t>(top.integer("hash_low", 0, UINT32_MAX));
    out.services = readList(top, "services", readService);
    out.routes = readList(top, "routes", readRoute);
    out.rollouts = readList(top, "rollouts", readRollout);
    out.goneServices = readNames<base::ServiceName>(top, "gone_services");
    out.goneRoutes = readNames<base::RouteName>(top, "gone_routes");
    out.goneRollouts = readNames<base::RolloutId>(top, "gone_rollouts");
    if (top.has("keepers"))
        out.keepers = readKeeperSet(top.object("keepers"));
    if (top.has("pace"))
        out.pace = readPace(top.object("pace"));
    if (top.has("caller_limits"))
        out.callerLimits = readCallerLimits(top.object("caller_limits"));
    top.finish();
    if (problem.first)
        return base::fail(Code::MessageMalformed, problem.first->text);
    return out;
}

std::vector<std::string> describeDifference(const Snapshot& from, const Snapshot& to)
{
    std::vector<std::string> lines;
    describe("service", from.services, to.services, lines);
    describe("route", from.routes, to.routes, lines);
    describe("rollout", from.rollouts, to.rollouts, lines);
    if (!(from.keepers == to.keepers))
        lines.push_back("keepers: " + describeFields(toJson(from.keepers), toJson(to.keepers)));
    if (!(from.pace == to.pace))
        lines.push_back("pace: " + describeFields(toJson(from.pace), toJson(to.pace)));
    if (!(from.callerLimits == to.callerLimits))
        lines.push_back("caller limits: " + describeFields(toJson(from.callerLimits), toJson(to.callerLimits)));
    return lines;
}

} // namespace appletally::config
