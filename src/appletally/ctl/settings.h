// Settings of appletallyctl: the operator's name and the voters' addresses.
#pragma once

#include "appletally/inner/cluster_key.h"

#include <string>
#include <vector>

namespace appletally::ctl {

struct CtlSettings {
    inner::Membership membership; // host: "operator NAME"
    base::OperatorId operatorId;
    std::vector<base::Address> voters;
    std::string requestFile; // file with the last request, so that a resend after a crash has the same number
    base::Duration timeout { 30000 }; // limit for all attempts of one call
};

base::Result<CtlSettings> readCtlSettings(const std::string& file);

} // namespace appletally::ctl
