// The questionnaire, in which a team describes its services: plain structs and their validated parsing.
//
// Each team submits its own answers under its own name; a snapshot is generated from the answers of all teams (see
// generate.h). Parsing validates one set of answers by itself; whether the names that it refers to exist is only known
// together with the other teams' answers.
#pragma once

#include "appletally/base/json_reader.h"
#include "appletally/config/model.h"

#include <string>
#include <vector>

namespace appletally::config {

struct RouteAnswers {
    base::RouteName name;
    std::string method; // "GET", "POST", ... or "*" for any
    std::string pathPrefix; // "/plugs/disconnect"; no trailing '/'
    bool idempotent = false; // the safe default
    Priority priority = Priority::Read;
    base::Duration timeout { 2000 };
    base::Duration expected { 20 };
    base::Bytes maxRequestBody { 64 * 1024 };
    std::vector<base::CallerId> callers; // empty: anyone
};

// How new versions of a service are introduced.
struct NewVersionAnswers {
    base::PerMille maxTrialShare { 50 };
    RegressionThresholds thresholds;
};

struct ServiceAnswers {
    base::ServiceName name;
    base::UpstreamVersion firstVersion; // takes the traffic before the first rollout; empty: any announced version does
    std::vector<base::ServiceName> dependsOn;
    int slots = 10;
    int maxConnections = 100;
    base::PerMille retryBudget { 100 };
    base::Duration coldWindow {};
    base::RequestRate coldRate;
    bool repeatsRequestId = false;
    NewVersionAnswers newVersions;
    std::vector<RouteAnswers> routes;
};

struct Answers {
    std::string name; // of the deployment or team; a later submission under the same name replaces the earlier one
    OptimizationGoal goal = OptimizationGoal::SpeedAndRollback;
    std::vector<base::CallerId> callers; // the kinds of callers that routes may name
    std::vector<ServiceAnswers> services; // empty: removes the team's services
};

// Letters, digits, '.', '_' and '-', since names appear in URLs, file names, log lines and headers.
constexpr size_t maxNameBytes = 64;
bool nameIsValid(const std::string&);

// A submission must fit into one entry of the replicated log. 320 services with three routes each take 250 KB.
constexpr size_t maxAnswersBytes = 1024 * 1024;

// `file` is used in error messages. AnswersInvalid reports the file, the path in it and the expected value.
base::Result<Answers> readAnswers(const base::JsonValue&, const std::string& file);
base::Result<Answers> parseAnswers(const std::string& bytes, const std::string& file); // from the submitted bytes

} // namespace appletally::config
