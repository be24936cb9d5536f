// The questionnaire: what a team says about its services, as plain structs, and the checked reading of it.
//
// Each team submits its own answers under its own name; a snapshot is made of the answers of all teams together (see
// generate.h). Reading checks what one set of answers can be checked for by itself; whether every name that it
// mentions exists is only known together with the other teams' answers.
#pragma once

#include "appletally/base/json_reader.h"
#include "appletally/config/model.h"

#include <string>
#include <vector>

namespace appletally::config {

struct RouteAnswers {
    base::RouteName name;
    std::string method; // "GET", "POST", ... or "*" for any
    std::string pathPrefix; // "/plugs/disconnect"; no '/' at its end
    bool idempotent = false; // a team that forgets to say gets the careful treatment
    Priority priority = Priority::Read;
    base::Duration timeout { 2000 };
    base::Duration expected { 20 };
    base::Bytes maxRequestBody { 64 * 1024 };
    std::vector<base::CallerId> callers; // empty: anyone
};

// How the team wants new versions of a service to be introduced.
struct NewVersionAnswers {
    base::PerMille maxTrialShare { 50 };
    RegressionThresholds thresholds;
};

struct ServiceAnswers {
    base::ServiceName name;
    base::UpstreamVersion firstVersion; // has the traffic before the first rollout; empty: any announced version has
    std::vector<base::ServiceName> dependsOn;
    int slots = 10;
    int maxConnections = 100;
    base::PerMille retryBudget { 100 };
    NewVersionAnswers newVersions;
    std::vector<RouteAnswers> routes;
};

struct Answers {
    std::string name; // of the deployment or team; a later submission under the same name replaces the earlier one
    OptimizationGoal goal = OptimizationGoal::SpeedAndRollback;
    std::vector<base::CallerId> callers; // the kinds of callers that routes may name
    std::vector<ServiceAnswers> services; // empty: the team leaves
};

// Names appear in URLs, file names, log lines and headers: letters, digits, '.', '_' and '-'.
constexpr size_t maxNameBytes = 64;
bool nameIsValid(const std::string&);

// One submission must fit into one entry of the replicated log. 320 services with three routes each take 250 KB.
constexpr size_t maxAnswersBytes = 1024 * 1024;

// `file` is for messages. AnswersInvalid names the file, the path in it and what was expected.
base::Result<Answers> readAnswers(const base::JsonValue&, const std::string& file);
base::Result<Answers> parseAnswers(const std::string& bytes, const std::string& file); // from the submitted bytes

} // namespace appletally::config
