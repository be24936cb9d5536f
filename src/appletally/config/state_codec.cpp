// Encoding of the state machine's state, as stored in snapshots of the log and sent to joining replicas.
#include "appletally/config/codec.h"
#include "appletally/config/state_machine.h"

namespace appletally::config {

using base::Json;
using base::JsonReader;
using base::JsonWriter;
using base::writeKey;
using base::writeMember;
using base::writeRawMember;

namespace {

    // For 1 MB of answers for each of a few teams, the outcomes and the history. No text in it has a lower limit: a state
    // that was accepted and encoded must decode.
    constexpr size_t maxStateBytes = 64 * 1024 * 1024;

    uint64_t readNumber(JsonReader& it, const std::string& key) { return static_cast<uint64_t>(it.integer(key, 0, INT64_MAX)); }
    base::WallTime readTime(JsonReader& it, const std::string& key) { return { it.integer(key, INT64_MIN, INT64_MAX) }; }

    void putText(Json& json, const char* key, const std::string& text)
    {
        if (!text.empty())
            json[key] = text;
    }

    Json toJson(const std::string& name, const TeamRecord& it)
    {
        return { { "name", name }, { "bytes", it.bytes }, { "changed_at", it.changedAt.value }, { "changed_by", it.changedBy.text }, { "changed_number", it.changedNumber.value } };
    }

    TeamRecord readTeam(JsonReader& it, base::ReadProblem& problem)
    {
        TeamRecord out;
        const std::string name = it.text("name", maxStateBytes);
        out.bytes = it.text("bytes", maxAnswersBytes);
        out.changedAt.value = readNumber(it, "changed_at");
        out.changedBy.text = it.text("changed_by", maxStateBytes);
        out.changedNumber.value = readNumber(it, "changed_number");
        it.finish();
        auto answers = parseAnswers(out.bytes, name);
        if (answers)
            out.answers = std::move(answers.value());
        else if (!problem.first)
            problem.first = answers.error();
        return out;
    }

    Json toJson(const base::RequestNumber& number, const StoredOutcome& it)
    {
        Json out = { { "number", number.value }, { "hash_high", it.hash >> 32 }, { "hash_low", it.hash & UINT32_MAX },
            { "code", static_cast<uint16_t>(it.outcome.code) }, { "version", it.outcome.version.value } };
        putText(out, "text", it.outcome.text);
        putText(out, "rollout", it.outcome.rollout.text);
        putText(out, "winner", it.outcome.winner.text);
        return out;
    }

    StoredOutcome readOutcome(JsonReader& it)
    {
        StoredOutcome out;
        const auto high = static_cast<uint64_t>(it.integer("hash_high", 0, UINT32_MAX));
        out.hash = high << 32 | static_cast<uint64_t>(it.integer("hash_low", 0, UINT32_MAX));
        out.outcome.code = static_cast<base::Code>(it.integer("code", 0, UINT16_MAX));
        out.outcome.version.value = readNumber(it, "version");
        out.outcome.text = it.text("text", "", maxStateBytes);
        out.outcome.rollout.text = it.text("rollout", "", maxStateBytes);
        out.outcome.winner.text = it.text("winner", "", maxStateBytes);
        return out;
    }

    Json toJson(const base::OperatorId& by, const OperatorRecord& it)
    {
        Json outcomes = Json::array();
        for (const auto& [number, kept] : it.outcomes)
            outcomes.push_back(toJson(number, kept));
        return { { "by", by.text }, { "outcomes", outcomes }, { "forgotten", it.forgotten.value }, { "last", it.last.value } };
    }

    OperatorRecord readOperator(JsonReader& it)
    {
        OperatorRecord out;
        for (JsonReader& kept : it.objects("outcomes")) {
            const base::RequestNumber number { readNumber(kept, "number") };
            out.outcomes[number] = readOutcome(kept);
            kept.finish();
        }
        out.forgotten.value = readNumber(it, "forgotten");
        out.last.value = readNumber(it, "last");
        return out;
    }

    Json toJson(const VersionRecord& it)
    {
        return { { "version", it.version.value }, { "at", it.at.ms }, { "by", it.by }, { "what", it.summary }, { "differences", it.differences } };
    }

    VersionRecord readVersion(JsonReader& it)
    {
        VersionRecord out;
        out.version.value = readNumber(it, "version");
        out.at = readTime(it, "at");
        out.by = it.text("by", maxStateBytes);
        out.summary = it.text("what", maxStateBytes);
        out.differences = it.texts("differences");
        it.finish();
        return out;
    }

    Json toJson(const RolloutRecord& it)
    {
        Json out = { { "rollout", toJson(it.rollout) }, { "end", static_cast<int>(it.end) }, { "by", it.by }, { "started_in", it.startedIn.value },
            { "ended_in", it.endedIn.value }, { "started_at", it.startedAt.ms }, { "ended_at", it.endedAt.ms } };
        putText(out, "why", it.reason);
        return out;
    }

    RolloutRecord readEnded(JsonReader& it)
    {
        RolloutRecord out;
        out.rollout = readEndedRollout(it.object("rollout"));
        out.end = static_cast<RolloutEnd>(it.integer("end", 0, static_cast<int64_t>(RolloutEnd::Stopped)));
        out.by = it.text("by", maxStateBytes);
        out.reason = it.text("why", "", maxStateBytes);
        out.startedIn.value = readNumber(it, "started_in");
        out.endedIn.value = readNumber(it, "ended_in");
        out.startedAt = readTime(it, "started_at");
        out.endedAt = readTime(it, "ended_at");
        it.finish();
        return out;
    }

    Json toJson(const base::RolloutId& id, const RunningRollout& it)
    {
        return { { "id", id.text }, { "started_in", it.startedIn.value }, { "started_at", it.startedAt.ms }, { "started_by", it.startedBy.text },
            { "shared_at", it.shareSetAt.ms } };
    }

    RunningRollout readRunning(JsonReader& it)
    {
        RunningRollout out;
        out.startedIn.value = readNumber(it, "started_in");
        out.startedAt = readTime(it, "started_at");
        out.startedBy.text = it.text("started_by", maxStateBytes);
        out.shareSetAt = it.has("shared_at") ? readTime(it, "shared_at") : out.startedAt;
        return out;
    }

    Json trafficToJson(const State& state)
    {
        Json out = Json::array();
        for (const auto& [service, version] : state.traffic) {
            Json entry = { { "service", service.text } };
            putText(entry, "version", version.text);
            if (const auto before = state.previousTraffic.find(service); before != state.previousTraffic.end())
                putText(entry, "before", before->second.text);
            out.push_back(entry);
        }
        return out;
    }

    const std::string& nameOf(const std::string& name) { return name; }

    template <typename Name>
    const std::string& nameOf(const Name& name)
    {
        return name.text;
    }

    template <typename Name>
    void writeTexts(JsonWriter& out, const char* key, const std::map<Name, std::string>& texts)
    {
        writeKey(out, key);
        out.StartArray();
        for (const auto& [name, text] : texts) {
            out.StartObject();
            writeMember(out, "name", nameOf(name));
            writeMember(out, "text", text);
            out.EndObject();
        }
        out.EndArray();
    }

    void write(JsonWriter& out, const DocumentRecord& it)
    {
        Json accepted = Json::array();
        for (const DocumentId& id : it.accepted)
            accepted.push_back(toJson(id));
        out.StartObject();
        writeRawMember(out, "accepted", encode(accepted));
        writeRawMember(out, "current", encode(toJson(it.current)));
        writeTexts(out, "others", it.texts.others);
        writeTexts(out, "routes", it.texts.routes);
        writeTexts(out, "services", it.texts.services);
        out.EndObject();
    }

    template <typename T>
    Json listToJson(const T& list)
    {
        Json out = Json::array();
        for (const auto& it : list)
            out.push_back(toJson(it));
        return out;
    }

    template <typename Key, typename Value>
    Json listToJson(const std::map<Key, Value>& map)
    {
        Json out = Json::array();
        for (const auto& [key, value] : map)
            out.push_back(toJson(key, value));
        return out;
    }

    template <typename Name>
    std::map<Name, std::string> readTexts(JsonReader& top, const std::string& key)
    {
        std::map<Name, std::string> out;
        for (JsonReader& it : top.objects(key)) {
            const Name name { it.text("name", maxStateBytes) };
            out[name] = it.text("text", maxStateBytes);
            it.finish();
        }
        return out;
    }

    DocumentRecord readDocument(JsonReader top)
    {
        DocumentRecord out;
        out.current = readDocumentId(top.object("current"));
        for (const JsonReader& it : top.objects("accepted"))
            out.accepted.push_back(readDocumentId(it));
        out.texts.routes = readTexts<base::RouteName>(top, "routes");
        out.texts.services = readTexts<base::ServiceName>(top, "services");
        for (JsonReader& it : top.objects("others")) {
            const std::string name = it.text("name", maxStateBytes);
            out.texts.others[name] = it.text("text", maxStateBytes);
            it.finish();
        }
        top.finish();
        return out;
    }

    void readParts(JsonReader& top, State& out, base::ReadProblem& problem)
    {
        if (top.has("document"))
            out.document = readDocument(top.object("document"));
        for (JsonReader& it : top.objects("teams")) {
            TeamRecord team = readTeam(it, problem);
            const std::string name = team.answers.name;
            out.teams[name] = std::move(team);
        }
        for (JsonReader& it : top.objects("traffic")) {
            const base::ServiceName service { it.text("service", maxStateBytes) };
            out.traffic[service] = { it.text("version", "", maxStateBytes) };
            if (it.has("before"))
                out.previousTraffic[service] = { it.text("before", maxStateBytes) };
            it.finish();
        }
        for (JsonReader& it : top.objects("running")) {
            const base::RolloutId id { it.text("id", maxStateBytes) };
            out.running[id] = readRunning(it);
            it.finish();
        }
        for (JsonReader& it : top.objects("operators")) {
            const base::OperatorId by { it.text("by", maxStateBytes) };
            out.operators[by] = readOperator(it);
            it.finish();
        }
        for (JsonReader& it : top.objects("versions"))
            out.versions.push_back(readVersion(it));
        for (JsonReader& it : top.objects("ended"))
            out.ended.push_back(readEnded(it));
    }

} // namespace

std::string encode(const State& state)
{
    base::JsonBuffer buf;
    JsonWriter out(buf);
    out.StartObject();
    writeMember(out, "applied", state.applied.value);
    if (state.document.current.number.value != 0) {
        writeKey(out, "document");
        write(out, state.document);
    }
    writeRawMember(out, "ended", encode(listToJson(state.ended)));
    writeRawMember(out, "operators", encode(listToJson(state.operators)));
    writeRawMember(out, "running", encode(listToJson(state.running)));
    writeMember(out, "snapshot", encode(state.snapshot));
    writeRawMember(out, "teams", encode(listToJson(state.teams)));
    writeRawMember(out, "traffic", encode(trafficToJson(state)));
    writeRawMember(out, "versions", encode(listToJson(state.versions)));
    out.EndObject();
    return compress({ buf.GetString(), buf.GetSize() });
}

base::Result<State> decodeState(std::string_view bytes)
{
    auto plain = decompress(bytes, maxStateBytes);
    if (!plain)
        return plain.error();
    auto json = base::parseJson(plain.value());
    if (!json)
        return json.error();
    base::ReadProblem problem;
    JsonReader top(json.value(), "state", problem);
    State out;
    out.applied.value = readNumber(top, "applied");
    auto snapshot = decodeSnapshot(top.text("snapshot", maxStateBytes));
    readParts(top, out, problem);
    top.finish();
    if (problem.first)
        return base::fail(base::Code::MessageMalformed, problem.first->text);
    if (!snapshot)
        return snapshot.error();
    out.snapshot = std::move(snapshot.value());
    return out;
}

} // namespace appletally::config
