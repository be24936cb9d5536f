// Messages and records as CBOR arrays, encoded with nlohmann json. Positions are fixed; a wrong type or length is
// MessageMalformed.
#include "appletally/consensus/message.h"

#include <nlohmann/json.hpp>

namespace appletally::consensus {

using Json = nlohmann::json;

// CBOR byte strings, because the bytes of a proposal need not be UTF-8.
static Json binaryOf(const std::string& data) { return Json::binary({ data.begin(), data.end() }); }

static std::string stringOf(const Json& value)
{
    const Json::binary_t& bytes = value.get_ref<const Json::binary_t&>();
    return { bytes.begin(), bytes.end() };
}

template <typename Number>
static Number numberOf(const Json& value)
{
    if (!value.is_number_unsigned())
        throw std::invalid_argument("expected an unsigned integer");
    return { value.get<uint64_t>() };
}

static Json listOf(const std::vector<Member>& members)
{
    Json result = Json::array();
    for (const Member& it : members)
        result.push_back({ it.id.value, it.host.text, static_cast<uint8_t>(it.role), it.replaces.value });
    return result;
}

static std::vector<Member> membersOf(const Json& value)
{
    std::vector<Member> result;
    for (const Json& it : value) {
        const auto role = it.at(2).get<uint8_t>();
        if (role < static_cast<uint8_t>(Role::Learner) || role > static_cast<uint8_t>(Role::Voter))
            throw std::invalid_argument("unknown member role");
        result.push_back({ numberOf<ReplicaId>(it.at(0)), { it.at(1).get<std::string>() }, static_cast<Role>(role), numberOf<ReplicaId>(it.at(3)) });
    }
    return result;
}

static Json jsonOf(const Entry& it)
{
    return { it.index.value, it.term.value, static_cast<uint8_t>(it.kind), binaryOf(it.data), listOf(it.members) };
}

static Entry entryOf(const Json& value)
{
    const auto kind = value.at(2).get<uint8_t>();
    if (kind < static_cast<uint8_t>(EntryKind::NoOp) || kind > static_cast<uint8_t>(EntryKind::MemberChange))
        throw std::invalid_argument("unknown entry kind");
    return { numberOf<LogIndex>(value.at(0)), numberOf<Term>(value.at(1)), static_cast<EntryKind>(kind), stringOf(value.at(3)), membersOf(value.at(4)) };
}

static Json listOf(const std::vector<Entry>& entries)
{
    Json result = Json::array();
    for (const Entry& it : entries)
        result.push_back(jsonOf(it));
    return result;
}

static std::vector<Entry> entriesOf(const Json& value)
{
    std::vector<Entry> result;
    for (const Json& it : value)
        result.push_back(entryOf(it));
    return result;
}

static Json jsonOf(const SnapshotMeta& it)
{
    return { it.index.value, it.term.value, it.members.index.value, listOf(it.members.list) };
}

static SnapshotMeta metaOf(const Json& value)
{
    return { numberOf<LogIndex>(value.at(0)), numberOf<Term>(value.at(1)), { numberOf<LogIndex>(value.at(2)), membersOf(value.at(3)) } };
}

static Json jsonOf(const VoteRequest& it) { return { it.pre, it.lastIndex.value, it.lastTerm.value }; }
static Json jsonOf(const VoteResponse& it) { return { it.pre, it.granted }; }
static Json jsonOf(const AppendEntries& it)
{
    return { it.previousIndex.value, it.previousTerm.value, listOf(it.entries), it.commit.value, it.released.value, it.round };
}
static Json jsonOf(const AppendResponse& it) { return { it.matched, it.index.value, it.recordedCommit.value, it.round }; }
static Json jsonOf(const SnapshotChunk& it) { return { jsonOf(it.meta), it.offset, it.total, binaryOf(it.data), it.round }; }
static Json jsonOf(const SnapshotResponse& it) { return { it.index.value, it.offset, it.round }; }

static decltype(Message::body) bodyOf(uint64_t kind, const Json& v)
{
    const auto count = [&](size_t n) { return numberOf<LogIndex>(v.at(n)).value; };
    const auto index = [&](size_t n) { return numberOf<LogIndex>(v.at(n)); };
    const auto flag = [&](size_t n) { return v.at(n).get<bool>(); };
    switch (kind) {
    case 0:
        return VoteRequest { flag(0), index(1), numberOf<Term>(v.at(2)) };
    case 1:
        return VoteResponse { flag(0), flag(1) };
    case 2:
        return AppendEntries { index(0), numberOf<Term>(v.at(1)), entriesOf(v.at(2)), index(3), index(4), count(5) };
    case 3:
        return AppendResponse { flag(0), index(1), index(2), count(3) };
    case 4:
        return SnapshotChunk { metaOf(v.at(0)), count(1), count(2), stringOf(v.at(3)), count(4) };
    case 5:
        return SnapshotResponse { index(0), count(1), count(2) };
    default:
        throw std::invalid_argument("unknown message kind");
    }
}

static std::string toCbor(const Json& value)
{
    std::string result;
    Json::to_cbor(value, result);
    return result;
}

// Converts every exception that the json library throws on invalid input.
template <typename Convert>
static auto parseCbor(std::string_view cbor, Convert convert) -> base::Result<decltype(convert(Json {}))>
{
    try {
        return convert(Json::from_cbor(cbor.begin(), cbor.end()));
    } catch (const std::exception& e) {
        return base::fail(base::Code::MessageMalformed, e.what());
    }
}

std::string encode(const Message& m)
{
    const Json body = std::visit([](const auto& it) { return jsonOf(it); }, m.body);
    return toCbor({ m.from.value, m.to.value, m.term.value, m.body.index(), body });
}

base::Result<Message> decode(std::string_view cbor)
{
    return parseCbor(cbor, [](const Json& v) {
        return Message { numberOf<ReplicaId>(v.at(0)), numberOf<ReplicaId>(v.at(1)), numberOf<Term>(v.at(2)),
            bodyOf(numberOf<LogIndex>(v.at(3)).value, v.at(4)) };
    });
}

static Persist persistOf(const Json& value)
{
    Persist it;
    it.truncateFrom = numberOf<LogIndex>(value.at(0));
    it.entries = entriesOf(value.at(1));
    it.state = { numberOf<Term>(value.at(2)), numberOf<ReplicaId>(value.at(3)), numberOf<LogIndex>(value.at(4)) };
    return it;
}

std::string encodeWrite(const Persist& it)
{
    return toCbor({ it.truncateFrom.value, listOf(it.entries), it.state.term.value, it.state.vote.value, it.state.commit.value });
}

base::Result<Persist> decodeWrite(std::string_view cbor) { return parseCbor(cbor, persistOf); }
std::string encodeMeta(const SnapshotMeta& meta) { return toCbor(jsonOf(meta)); }
base::Result<SnapshotMeta> decodeMeta(std::string_view cbor) { return parseCbor(cbor, metaOf); }
std::string encodeMember(const Member& member) { return toCbor(listOf({ member })); }

base::Result<Member> decodeMember(std::string_view cbor)
{
    return parseCbor(cbor, [](const Json& v) { return membersOf(Json::array({ v.at(0) })).at(0); });
}

} // namespace appletally::consensus
