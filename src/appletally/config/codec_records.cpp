// Endpoints and evidence as arrays without keys: they are sent often and separately, where compression saves little.
#include "appletally/config/codec.h"

namespace appletally::config {

using base::Code;
using base::Json;

namespace {

    const std::vector<std::string> states = { "starting", "ready", "draining", "gone" };

    // Reads an array value by value. After the first mismatch `ok` is false and all further values are defaults.
    struct ArrayReader {
        const Json& array;
        size_t next = 0;
        bool ok = true;

        const Json* take(Json::value_t type)
        {
            const Json* it = ok && array.is_array() && next < array.size() ? &array[next++] : nullptr;
            ok = it && it->type() == type;
            return ok ? it : nullptr;
        }
        std::string text()
        {
            const Json* it = take(Json::value_t::string);
            return it ? it->get<std::string>() : "";
        }
        uint64_t number(uint64_t maxValue = UINT64_MAX)
        {
            const Json* it = take(Json::value_t::number_unsigned);
            const uint64_t n = it ? it->get<uint64_t>() : 0;
            ok = ok && n <= maxValue;
            return ok ? n : 0;
        }
        bool atEnd() const { return ok && next == array.size(); }
    };

    Json toArray(const Endpoint& it)
    {
        return Json::array({ it.host.text, it.service.text, it.version.text, it.zone.text, it.region.text, it.inner.text(),
            static_cast<uint64_t>(std::max(it.slots, 0)), static_cast<uint64_t>(it.state), it.incarnation.value, it.sequence.value });
    }

    base::Result<Endpoint> endpointFrom(const Json& json)
    {
        ArrayReader reader { json };
        Endpoint out;
        out.host.text = reader.text();
        out.service.text = reader.text();
        out.version.text = reader.text();
        out.zone.text = reader.text();
        out.region.text = reader.text();
        auto inner = base::parseAddress(reader.text());
        out.slots = static_cast<int>(reader.number(INT32_MAX));
        out.state = static_cast<EndpointState>(reader.number(static_cast<uint64_t>(EndpointState::Gone)));
        out.incarnation.value = reader.number();
        out.sequence.value = reader.number();
        if (!reader.atEnd() || out.host.empty() || !inner)
            return base::fail(Code::MessageMalformed, "malformed endpoint");
        out.inner = inner.value();
        return out;
    }

    // Most bins are empty, so only the (bin, count) pairs of the others are sent.
    Json binsToArray(const std::array<uint32_t, latencyBins>& bins)
    {
        Json out = Json::array();
        for (size_t n = 0; n < bins.size(); ++n) {
            if (bins[n] > 0) {
                out.push_back(n);
                out.push_back(bins[n]);
            }
        }
        return out;
    }

    bool readBins(const Json* json, std::array<uint32_t, latencyBins>& bins)
    {
        if (!json)
            return false;
        ArrayReader reader { *json };
        while (reader.ok && reader.next < json->size()) {
            const uint64_t n = reader.number(latencyBins - 1);
            bins[n] = static_cast<uint32_t>(reader.number(UINT32_MAX));
        }
        return reader.ok;
    }

    Json toArray(const Evidence& it)
    {
        return Json::array({ it.host.text, it.incarnation.value, it.service.text, it.route.text, it.version.text, it.answers, it.failures,
            binsToArray(it.latency), binsToArray(it.busyLatency), it.coldAnswers, it.coldFailures, static_cast<uint64_t>(it.stoppedHere) });
    }

    base::Result<Evidence> evidenceFrom(const Json& json)
    {
        ArrayReader reader { json };
        Evidence out;
        out.host.text = reader.text();
        out.incarnation.value = reader.number();
        out.service.text = reader.text();
        out.route.text = reader.text();
        out.version.text = reader.text();
        out.answers = reader.number();
        out.failures = reader.number();
        const bool latencyRead = readBins(reader.take(Json::value_t::array), out.latency);
        const bool busyRead = readBins(reader.take(Json::value_t::array), out.busyLatency);
        out.coldAnswers = reader.number();
        out.coldFailures = reader.number();
        out.stoppedHere = reader.number(1) == 1;
        if (!reader.atEnd() || !latencyRead || !busyRead || out.host.empty())
            return base::fail(Code::MessageMalformed, "malformed evidence");
        return out;
    }

    template <typename T>
    std::string encodeList(const std::vector<T>& list)
    {
        Json out = Json::array();
        for (const T& it : list)
            out.push_back(toArray(it));
        return encode(out);
    }

    template <typename T>
    base::Result<std::vector<T>> decodeList(std::string_view bytes, base::Result<T> (*from)(const Json&))
    {
        auto json = decodeJson(bytes);
        if (!json)
            return json.error();
        if (!json.value().is_array())
            return base::fail(Code::MessageMalformed, "not a JSON array");
        std::vector<T> out;
        for (const Json& entry : json.value()) {
            auto it = from(entry);
            if (!it)
                return it.error();
            out.push_back(std::move(it.value()));
        }
        return out;
    }

} // namespace

std::string encode(const Endpoint& it) { return encode(toArray(it)); }
std::string encode(const Evidence& it) { return encode(toArray(it)); }
std::string encode(const std::vector<Endpoint>& list) { return encodeList(list); }
std::string encode(const std::vector<Evidence>& list) { return encodeList(list); }

base::Result<Endpoint> decodeEndpoint(std::string_view bytes)
{
    auto json = decodeJson(bytes);
    return json ? endpointFrom(json.value()) : json.error();
}

base::Result<Evidence> decodeEvidence(std::string_view bytes)
{
    auto json = decodeJson(bytes);
    return json ? evidenceFrom(json.value()) : json.error();
}

base::Result<std::vector<Endpoint>> decodeEndpoints(std::string_view bytes) { return decodeList<Endpoint>(bytes, endpointFrom); }
base::Result<std::vector<Evidence>> decodeEvidenceList(std::string_view bytes) { return decodeList<Evidence>(bytes, evidenceFrom); }

Json toJson(const Endpoint& it)
{
    return { { "host", it.host.text }, { "service", it.service.text }, { "version", it.version.text }, { "zone", it.zone.text },
        { "region", it.region.text }, { "inner", it.inner.text() }, { "slots", it.slots }, { "state", stateName(it.state) },
        { "incarnation", it.incarnation.value }, { "sequence", it.sequence.value }, { "suspects", it.suspects.size() } };
}

Json toJson(const Evidence& it)
{
    return { { "host", it.host.text }, { "incarnation", it.incarnation.value }, { "service", it.service.text }, { "route", it.route.text },
        { "version", it.version.text }, { "answers", it.answers }, { "failures", it.failures }, { "latency", it.latency },
        { "busy_latency", it.busyLatency }, { "cold_answers", it.coldAnswers }, { "cold_failures", it.coldFailures },
        { "stopped_here", it.stoppedHere } };
}

const char* stateName(EndpointState it) { return states[static_cast<size_t>(it)].c_str(); }

} // namespace appletally::config
