// Differences of documents, and their bytes in the log.
#include "appletally/config/document.h"

#include "appletally/config/codec.h"
#include "appletally/config/json_names.h"

#include <algorithm>

namespace appletally::config {

using base::Json;
using base::JsonReader;

namespace {

    constexpr size_t mostTextBytes = 1024 * 1024; // of one resource

    // Into `changed` what is new or has another text, into `gone` what is no longer there.
    template <typename Name, typename Part>
    void compare(const std::map<Name, std::string>& before, const std::map<Name, Part>& now, std::vector<Part>& changed, std::vector<Name>& gone)
    {
        for (const auto& [name, part] : now) {
            const auto it = before.find(name);
            if (it == before.end() || it->second != part.text)
                changed.push_back(part);
        }
        for (const auto& [name, text] : before) {
            if (!now.contains(name))
                gone.push_back(name);
        }
    }

    Json textsToJson(const std::map<std::string, std::string>& texts)
    {
        Json out = Json::array();
        for (const auto& [name, text] : texts)
            out.push_back({ { "name", name }, { "text", text } });
        return out;
    }

    std::map<std::string, std::string> readTexts(JsonReader& top, const std::string& key)
    {
        std::map<std::string, std::string> out;
        for (JsonReader& it : top.objects(key)) {
            const std::string name = it.text("name", "", mostTextBytes);
            out[name] = it.text("text", mostTextBytes);
            it.finish();
        }
        return out;
    }

} // namespace

DocumentChange changeFrom(const DocumentTexts& before, const Document& document)
{
    DocumentChange out;
    compare(before.routes, document.routes, out.routes, out.goneRoutes);
    compare(before.services, document.services, out.services, out.goneServices);
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

Json toJson(const DocumentChange& it)
{
    Json routes = Json::array();
    for (const DocumentRoute& part : it.routes)
        routes.push_back({ { "route", toJson(part.route) }, { "text", part.text } });
    Json services = Json::array();
    for (const DocumentService& part : it.services)
        services.push_back({ { "service", toJson(part.service) }, { "text", part.text } });
    return { { "routes", std::move(routes) }, { "services", std::move(services) }, { "gone_routes", namesToJson(it.goneRoutes) },
        { "gone_services", namesToJson(it.goneServices) }, { "limits", toJson(it.limits) }, { "others", textsToJson(it.others) } };
}

DocumentChange readDocumentChange(JsonReader top)
{
    DocumentChange out;
    for (JsonReader& it : top.objects("routes")) {
        out.routes.push_back({ readRoute(it.object("route")), it.text("text", mostTextBytes) });
        it.finish();
    }
    for (JsonReader& it : top.objects("services")) {
        out.services.push_back({ readService(it.object("service")), it.text("text", mostTextBytes) });
        it.finish();
    }
    out.goneRoutes = readNames<base::RouteName>(top, "gone_routes");
    out.goneServices = readNames<base::ServiceName>(top, "gone_services");
    out.limits = readCallerLimits(top.object("limits"));
    out.others = readTexts(top, "others");
    top.finish();
    return out;
}

} // namespace appletally::config
