// Prints aligned columns. A field that an older or newer control process does not send is shown as "-".
#include "appletally/ctl/print.h"

#include <iomanip>
#include <map>

namespace appletally::ctl {

static std::string field(const nlohmann::json& row, const std::string& key)
{
    if (!row.is_object() || !row.contains(key))
        return "-";
    const nlohmann::json& it = row[key];
    return it.is_string() ? it.get<std::string>() : it.dump();
}

static void column(std::ostream& out, int width, const std::string& text) { out << std::left << std::setw(width) << text << ' '; }

static nlohmann::json list(const nlohmann::json& from, const std::string& key)
{
    return from.is_object() && from.contains(key) && from[key].is_array() ? from[key] : nlohmann::json::array();
}

static void printConvergence(std::ostream& out, const nlohmann::json& rows)
{
    constexpr size_t shown = 10; // the newest versions
    out << "\nversion  applied   of nodes  released after ms  everywhere after ms\n";
    for (size_t n = rows.size() > shown ? rows.size() - shown : 0; n < rows.size(); ++n) {
        column(out, 8, field(rows[n], "version"));
        column(out, 9, field(rows[n], "in_force"));
        column(out, 9, field(rows[n], "nodes"));
        column(out, 18, field(rows[n], "released_after_ms"));
        out << field(rows[n], "everywhere_after_ms") << '\n';
    }
}

static void printEndpoints(std::ostream& out, const nlohmann::json& rows)
{
    out << "\nhost         service              version  zone       state     slots\n";
    for (const nlohmann::json& it : rows) {
        column(out, 12, field(it, "host"));
        column(out, 20, field(it, "service"));
        column(out, 8, field(it, "version"));
        column(out, 10, field(it, "zone"));
        column(out, 9, field(it, "state"));
        out << field(it, "slots") << '\n';
    }
}

static void printReplicas(std::ostream& out, const nlohmann::json& replica)
{
    out << "\nreplica               host         votes\n";
    for (const nlohmann::json& it : list(replica, "members")) {
        column(out, 21, field(it, "replica"));
        column(out, 12, field(it, "host"));
        out << field(it, "votes") << (field(it, "replica") == field(replica, "leader") ? "  leads" : "") << '\n';
    }
}

void printStatus(std::ostream& out, const nlohmann::json& status)
{
    out << "answered by " << field(status, "host") << ": version " << field(status, "version") << '\n';
    for (const nlohmann::json& it : list(status, "evacuated_zones"))
        out << "availability zone " << it.get<std::string>() << " is evacuated\n";
    if (status.contains("replica"))
        printReplicas(out, status["replica"]);
    out << "\ncontrol process  link  replica\n";
    for (const nlohmann::json& it : list(status, "peers")) {
        column(out, 16, field(it, "host"));
        column(out, 5, field(it, "up") == "true" ? "up" : "down");
        out << field(it, "replica") << '\n';
    }
    printConvergence(out, list(status, "convergence"));
    printEndpoints(out, list(status, "endpoints"));
    out << '\n';
    printRollouts(out, list(status, "rollouts"));
}

void printVersions(std::ostream& out, const nlohmann::json& versions)
{
    for (const nlohmann::json& it : versions) {
        out << "version " << field(it, "version") << " by " << field(it, "by") << ": " << field(it, "what") << '\n';
        for (const nlohmann::json& line : list(it, "differences"))
            out << "    " << (line.is_string() ? line.get<std::string>() : line.dump()) << '\n';
    }
}

void printRollouts(std::ostream& out, const nlohmann::json& rollouts)
{
    out << "rollout                   state      share  service              from -> to     why\n";
    for (const nlohmann::json& it : rollouts) {
        const nlohmann::json rollout = it.value("rollout", nlohmann::json::object());
        column(out, 25, field(rollout, "id"));
        column(out, 10, field(it, "state"));
        column(out, 6, field(rollout, "share"));
        column(out, 20, field(rollout, "service"));
        column(out, 14, field(rollout, "from") + " -> " + field(rollout, "to"));
        out << field(it, "why") << '\n';
    }
}

} // namespace appletally::ctl
