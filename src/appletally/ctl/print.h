// Formats the control processes' JSON answers as text tables.
#pragma once

#include <nlohmann/json.hpp>
#include <ostream>

namespace appletally::ctl {

void printStatus(std::ostream&, const nlohmann::json&);
void printVersions(std::ostream&, const nlohmann::json&);
void printRollouts(std::ostream&, const nlohmann::json&);

} // namespace appletally::ctl
