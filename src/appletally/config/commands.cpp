// Commands of the replicated log as canonical JSON.
#include "appletally/config/commands.h"

#include "appletally/config/codec.h"
#include "appletally/config/questionnaire.h"

namespace appletally::config {

using base::Json;
using base::JsonReader;

namespace {

    constexpr size_t maxReasonBytes = 1024;

    // Minimum size in bytes of a command that is compressed in the log; compression saves little on shorter ones.
    constexpr size_t minBytesToCompress = 1024;

    // In the order of the alternatives of Command.
    const std::vector<std::string> kinds = { "submit", "start_rollout", "stop_rollout", "set_share", "take_back", "complete_rollout", "set_keepers", "finish_keepers", "submit_document", "move_traffic", "evacuate_zone", "set_zone_evacuated" };

    void putText(Json& json, const char* key, const std::string& text)
    {
        if (!text.empty())
            json[key] = text.substr(0, maxReasonBytes);
    }

    Json toJson(const OperatorRequest& it)
    {
        return { { "by", it.by.text }, { "number", it.number.value }, { "base", it.base.value }, { "at", it.at.ms } };
    }

    Json fields(const SubmitAnswers& it) { return { { "request", toJson(it.request) }, { "answers", it.answers } }; }

    Json fields(const StartRollout& it)
    {
        Json out = { { "request", toJson(it.request) }, { "service", it.service.text }, { "to", it.to.text }, { "complete_by", it.completeBy.ms } };
        putText(out, "from", it.from.text);
        return out;
    }

    Json fields(const StopRollout& it)
    {
        Json out = { { "request", toJson(it.request) }, { "rollout", it.rollout.text } };
        putText(out, "why", it.reason);
        return out;
    }

    Json fields(const SetShare& it)
    {
        Json out = { { "rollout", it.rollout.text }, { "from", it.from.value }, { "to", it.to.value }, { "at", it.at.ms } };
        putText(out, "why", it.reason);
        return out;
    }

    template <typename Ending> // RollBackRollout or CompleteRollout
    Json endingFields(const Ending& it)
    {
        Json out = { { "rollout", it.rollout.text }, { "from", it.from.value }, { "at", it.at.ms } };
        putText(out, "why", it.reason);
        return out;
    }

    Json fields(const RollBackRollout& it) { return endingFields(it); }
    Json fields(const CompleteRollout& it) { return endingFields(it); }

    Json fields(const SetKeepers& it)
    {
        return { { "keepers", toJson(KeeperSet { it.from, it.members, {} }) }, { "at", it.at.ms } };
    }

    Json fields(const FinishKeeperChange& it) { return { { "number", it.number.value }, { "at", it.at.ms } }; }

    Json fields(const MoveTraffic& it)
    {
        return { { "service", it.service.text }, { "from", it.from.text }, { "to", it.to.text }, { "within", it.within.ms }, { "at", it.at.ms } };
    }

    Json fields(const EvacuateZone& it) { return { { "request", toJson(it.request) }, { "zone", it.zone.text }, { "evacuated", it.evacuated } }; }

    Json fields(const SetZoneEvacuated& it) { return { { "zone", it.zone.text }, { "evacuated", it.evacuated }, { "at", it.at.ms } }; }

    uint64_t readNumber(JsonReader& it, const std::string& key) { return static_cast<uint64_t>(it.integer(key, 0, INT64_MAX)); }

    base::WallTime readTime(JsonReader& it, const std::string& key) { return { it.integer(key, INT64_MIN, INT64_MAX) }; }

    base::PerMille readPerMille(JsonReader& it, const std::string& key) { return { static_cast<int32_t>(it.integer(key, 0, 1000)) }; }

    OperatorRequest readRequest(JsonReader it)
    {
        OperatorRequest out;
        out.by.text = it.text("by");
        out.number.value = readNumber(it, "number");
        out.base.value = readNumber(it, "base");
        out.at = readTime(it, "at");
        it.finish();
        return out;
    }

    SubmitAnswers readSubmit(JsonReader& it) { return { readRequest(it.object("request")), it.text("answers", maxAnswersBytes) }; }

    StartRollout readStart(JsonReader& it)
    {
        StartRollout out;
        out.request = readRequest(it.object("request"));
        out.service.text = it.text("service");
        out.from.text = it.text("from", "");
        out.to.text = it.text("to");
        out.completeBy = readTime(it, "complete_by");
        return out;
    }

    StopRollout readStop(JsonReader& it) { return { readRequest(it.object("request")), { it.text("rollout") }, it.text("why", "", maxReasonBytes) }; }

    SetShare readSetShare(JsonReader& it)
    {
        return { { it.text("rollout") }, readPerMille(it, "from"), readPerMille(it, "to"), it.text("why", "", maxReasonBytes), readTime(it, "at") };
    }

    template <typename Ending>
    Ending readEnding(JsonReader& it)
    {
        return { { it.text("rollout") }, readPerMille(it, "from"), it.text("why", "", maxReasonBytes), readTime(it, "at") };
    }

    SetKeepers readSetKeepers(JsonReader& it)
    {
        KeeperSet set = readKeeperSet(it.object("keepers"));
        return { set.number, set.members, readTime(it, "at") };
    }

    Command readCommand(JsonReader& it)
    {
        switch (it.choice("kind", kinds)) {
        case 0:
            return readSubmit(it);
        case 1:
            return readStart(it);
        case 2:
            return readStop(it);
        case 3:
            return readSetShare(it);
        case 4:
            return readEnding<RollBackRollout>(it);
        case 5:
            return readEnding<CompleteRollout>(it);
        case 6:
            return readSetKeepers(it);
        case 7:
            return FinishKeeperChange { { readNumber(it, "number") }, readTime(it, "at") };
        case 8:
            return SubmitDocument { readDocumentId(it.object("id")), readDocumentChange(it.object("change")), readTime(it, "at") };
        case 10:
            return EvacuateZone { readRequest(it.object("request")), { it.text("zone") }, it.flag("evacuated", true) };
        case 11:
            return SetZoneEvacuated { { it.text("zone") }, it.flag("evacuated", true), readTime(it, "at") };
        default:
            return MoveTraffic { { it.text("service") }, { it.text("from") }, { it.text("to") }, { it.integer("within", 1, INT64_MAX) }, readTime(it, "at") };
        }
    }

} // namespace

template <typename Fields>
static std::string encodeWithKind(const Fields& command, size_t kind)
{
    Json out = fields(command);
    out["kind"] = kinds[kind];
    return encode(out);
}

static std::string encodeWithKind(const SubmitDocument& command, size_t kind)
{
    base::JsonBuffer buf;
    base::JsonWriter out(buf);
    out.StartObject();
    base::writeMember(out, "at", command.at.ms);
    base::writeKey(out, "change");
    write(out, command.change);
    base::writeRawMember(out, "id", encode(toJson(command.id)));
    base::writeMember(out, "kind", kinds[kind]);
    out.EndObject();
    return base::textOf(buf);
}

std::string encode(const Command& command)
{
    return std::visit([&](const auto& it) { return encodeWithKind(it, command.index()); }, command);
}

std::string encodeForLog(const Command& command)
{
    std::string out = encode(command);
    return out.size() >= minBytesToCompress ? compress(out) : out;
}

base::Result<Command> decodeCommand(std::string_view bytes)
{
    if (!bytes.starts_with('{')) {
        auto plain = decompress(bytes);
        if (!plain)
            return plain.error();
        return plain.value().starts_with('{') ? decodeCommand(plain.value()) : base::fail(base::Code::MessageMalformed, "not an encoded command");
    }
    auto json = base::parseJson(bytes);
    if (!json)
        return json.error();
    base::ReadProblem problem;
    JsonReader top(json.value(), "command", problem);
    Command out = readCommand(top);
    top.finish();
    if (problem.first)
        return base::fail(base::Code::MessageMalformed, problem.first->text);
    return out;
}

const OperatorRequest* requestOf(const Command& command)
{
    return std::visit([](const auto& it) -> const OperatorRequest* {
        if constexpr (requires { it.request; })
            return &it.request;
        else
            return nullptr;
    },
        command);
}

uint64_t requestHash(const Command& command)
{
    Command copy = command;
    std::visit([](auto& it) {
        if constexpr (requires { it.request; })
            it.request.at = {};
    },
        copy);
    return contentHash(encode(copy));
}

} // namespace appletally::config
