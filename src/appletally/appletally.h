// The public interface of appletally's library, with an overview of its parts.
//
// Each name is declared and documented in the module that defines it. Types are plain structs whose members may be read
// and changed directly, functions are free functions, and nothing here starts a thread or opens a socket unless its
// comment says so.
//
//   1. Errors and basic types  result codes, events, time
//   2. Configuration           from a team's questionnaire to the snapshot that a node enforces
//   3. Decisions               admission, queueing, rejection, retries, routing
//   4. The replicated log      how control processes agree on versions
//   5. Programs                running a node, a control process, a command
//
// To try it out, run scripts/demo. The main functions are in programs/.
#pragma once

#include "appletally/base/events.h"
#include "appletally/base/json_reader.h"
#include "appletally/base/log.h"
#include "appletally/base/result.h"
#include "appletally/config/applied.h"
#include "appletally/config/codec.h"
#include "appletally/config/delta.h"
#include "appletally/config/generate.h"
#include "appletally/config/questionnaire.h"
#include "appletally/config/route_match.h"
#include "appletally/config/state_machine.h"
#include "appletally/consensus/replica.h"
#include "appletally/control/run.h"
#include "appletally/ctl/commands.h"
#include "appletally/ctl/explain.h"
#include "appletally/node/node.h"
#include "appletally/policy/admission.h"
#include "appletally/policy/claim_round.h"
#include "appletally/policy/collapse.h"
#include "appletally/policy/hedge.h"
#include "appletally/policy/local_version_monitor.h"
#include "appletally/policy/retry.h"
#include "appletally/policy/rollout.h"
#include "appletally/policy/routing.h"

namespace appletally {

// 1. Errors and basic types -----------------------------------------------------------------------------------------

using base::Code; // numbered result codes; docs/RESULTS.md is the table
using base::Duration; // in milliseconds
using base::Error; // code, human-readable text, time after which to retry
using base::Event; // numbered log events; docs/EVENTS.md is the catalogue
using base::exitCode; // exit status of a program that ends with a code
using base::Result; // a value or an Error (Boost.Outcome)
using base::startLog; // call once in main, before any task starts
using base::Time; // a time point on this process's steady clock, in milliseconds
using base::WallTime; // a time point on the wall clock, milliseconds since 1970; only for times that people enter

// 2. Configuration --------------------------------------------------------------------------------------------------
// answers --readAnswers--> Answers --generate--> Snapshot --validate--> submitted to control, which assigns its version.
// Generation is deterministic: the same answers produce the same bytes on every replica.

using base::readJsonFile; // parses a JSON file
using config::Answers; // a team's questionnaire: services, routes, callers, new versions
using config::buildRouteIndex;
using config::decodeSnapshot; // rejects unknown keys, wrong types and values out of range
using config::encode; // canonical bytes: equal values have equal bytes
using config::generate; // turns the Answers of one team or of all teams into a Snapshot with version 0
using config::match; // finds the route of a request by method and longest path prefix
using config::readAnswers; // JSON to Answers; an AnswersInvalid error names file, path and expected value
using config::RouteIndex; // built once for each Snapshot
using config::Snapshot; // one configuration version; a node applies it completely or not at all
using config::validate; // rejects dangling references, dependency cycles, and traffic shares that don't add up

// 3. Decisions ------------------------------------------------------------------------------------------------------
// Pure functions of state, input and `now`; they need no network. Each header starts with the load pattern that the
// module handles, what happens without it, and the reasons for its constants.

using policy::Admission; // at the owner: decides whether a request runs, waits or is rejected
using policy::answered;
using policy::ClaimRound; // decides whether this attempt of a keyed request may run: at most one does
using policy::Collapse; // identical concurrent reads of one caller share one upstream request
using policy::finished; // a run ended: which waiting requests start, which are rejected
using policy::HedgeBudget;
using policy::hedgeDelay; // limits hedged requests: second copies of slow reads
using policy::LocalVersionMonitor; // an owner stops a failing version of its upstream without waiting for control
using policy::mayRetry;
using policy::offer; // a new request: Run, Wait, or Refuse with the time to retry after
using policy::onLocalAnswer;
using policy::pick;
using policy::RetryBudget; // limits the retries of a service
using policy::RolloutDecision; // in control: when a new version's traffic share rises, and when the version is rolled back
using policy::RolloutState;
using policy::Router; // at the ingress: selects the upstream for a request
using policy::startRound;

// 4. The replicated log ---------------------------------------------------------------------------------------------
// Also a pure step function over plain structs; control/ connects it to disk and network.

using consensus::Replica;
using consensus::step; // handles one input; returns messages to send, bytes to sync and entries to apply

// 5. Programs -------------------------------------------------------------------------------------------------------
// Each program reads one JSON settings file and validates all of it before starting; docs/OPERATING.md lists the keys.

using control::ControlSettings;
using control::formatFolder; // initializes the data folder of a voter, once, before its first start
using control::readControlSettings;
using ctl::CommandLine;
using ctl::CtlSettings;
using ctl::explain; // reconstructs the course of one request from log files
using ctl::readCtlSettings;
using ctl::runCommand; // runs one appletallyctl command
using node::NodeSettings;
using node::readNodeSettings;
using node::runNode; // opens sockets and starts a thread; returns the exit code after SIGTERM

} // namespace appletally
