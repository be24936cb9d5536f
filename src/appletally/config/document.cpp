// Differences between documents and their encoding in the log.
#include "appletally/config/document.h"

#include "appletally/config/codec.h"
#include "appletally/config/json_names.h"

#include <algorithm>

namespace appletally::config {

using base::Json;
using base::JsonReader;
using base::JsonWriter;
using base::writeKey;
using base::writeMember;

namespace {

    constexpr size_t maxTextBytes = 1024 * 1024; // of one resource

    // Appends new parts and parts with a different text to `changed`, and the names of removed parts to `removed`.
    template <typename Name, typename Part>
    void compare(const std::map<Name, std::string>& before, const std::map<Name, Part>& now, std::vector<Part>& changed, std::vector<Name>& removed)
    {
        for (const auto& [name, part] : now) {
            const auto it = before.find(name);
            if (it == before.end() || it->second != part.text)
                changed.push_back(part);
        }
        for (const auto& [name, text] : before) {
            if (!now.contains(name))
                removed.push_back(name);
        }
    }

    void writeTexts(JsonWriter& out, const char* key, const std::map<std::string, std::string>& texts)
    {
        writeKey(out, key);
        out.StartArray();
        for (const auto& [name, text] : texts) {
            out.StartObject();
            writeMember(out, "name", name);
            writeMember(out, "text", text);
            out.EndObject();
        }
        out.EndArray();
    }

    template <typename Part, typename Resource>
    void writeParts(JsonWriter& out, const char* listKey, const std::vector<Part>& parts, const char* resourceKey, Resource Part::*resource)
    {
        writeKey(out, listKey);
        out.StartArray();
        for (const Part& it : parts) {
            out.StartObject();
            writeKey(out, resourceKey);
            write(out, it.*resource);
            writeMember(out, "text", it.text);
            out.EndObject();
        }
        out.EndArray();
    }

    std::map<std::string, std::string> readTexts(JsonReader& top, const std::string& key)
    {
        std::map<std::string, std::string> out;
        for (JsonReader& it : top.objects(key)) {
            const std::string name = it.text("name", "", maxTextBytes);
            out[name] = it.text("text", maxTextBytes);
            it.finish();
        }
        return out;
    }

} // namespace

DocumentChange changeFrom(const DocumentTexts& before, const Document& document)
{
    DocumentChange out;
    compare(before.routes, document.routes, out.routes, out.removedRoutes);
    compare(before.services, document.services, out.services, out.removedServices);
    out.limits = document.limits;
    out.others = document.others;
    return out;
}

bool wasAccepted(const DocumentRecord& record, const DocumentId& id)
{
    return std::find(record.accepted.rbegin(), record.accepted.rend(), id) != record.accepted.rend();
}

Json toJson(const DocumentId& it)
{
    return { { "number", it.number.value }, { "base", it.base.value }, { "digest", it.digest } };
}

DocumentId readDocumentId(JsonReader it)
{
    DocumentId out;
    out.number.value = static_cast<uint64_t>(it.integer("number", 0, INT64_MAX));
    out.base.value = static_cast<uint64_t>(it.integer("base", 0, INT64_MAX));
    out.digest = it.text("digest");
    it.finish();
    return out;
}

void write(JsonWriter& out, const DocumentChange& it)
{
    out.StartObject();
    writeNames(out, "gone_routes", it.removedRoutes);
    writeNames(out, "gone_services", it.removedServices);
    base::writeRawMember(out, "limits", encode(toJson(it.limits)));
    writeTexts(out, "others", it.others);
    writeParts(out, "routes", it.routes, "route", &DocumentRoute::route);
    writeParts(out, "services", it.services, "service", &DocumentService::service);
    out.EndObject();
}

DocumentChange readDocumentChange(JsonReader top)
{
    DocumentChange out;
    for (JsonReader& it : top.objects("routes")) {
        out.routes.push_back({ readRoute(it.object("route")), it.text("text", maxTextBytes) });
        it.finish();
    }
    for (JsonReader& it : top.objects("services")) {
        out.services.push_back({ readService(it.object("service")), it.text("text", maxTextBytes) });
        it.finish();
    }
    out.removedRoutes = readNames<base::RouteName>(top, "gone_routes");
    out.removedServices = readNames<base::ServiceName>(top, "gone_services");
    out.limits = readCallerLimits(top.object("limits"));
    out.others = readTexts(top, "others");
    top.finish();
    return out;
}

} // namespace appletally::config
