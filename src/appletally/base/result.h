// Numbered result codes and the error type that every fallible function returns (Boost.Outcome).
// docs/RESULTS.md lists the codes; a test compares the page with the table in result.cpp.
#pragma once

#include "appletally/base/clock.h"

#include <boost/outcome.hpp>
#include <cstdint>
#include <ostream>
#include <span>
#include <string>
#include <string_view>

namespace appletally::base {

// Each hundred is one subject. Numbers are never reused; exitCode() derives a program's exit status from them.
// The table in result.cpp says what a caller may conclude: a code has `notRun` only if it proves that no upstream ran the
// request.
enum class Code : uint16_t {
    Ok = 0,

    // 1xx: settings and command line
    SettingsUnreadable = 101,
    SettingsUnknownKey = 102,
    SettingsWrongType = 103,
    SettingsOutOfRange = 104,
    SettingsMissingKey = 105,
    AddressInUse = 106,
    BadCommandLine = 107,

    // 2xx: questionnaire and configuration
    AnswersInvalid = 201,
    DanglingReference = 202,
    VersionConflict = 203,
    RequestNumberReused = 204,
    VersionTooOld = 205,
    DeltaMismatch = 206,
    UnknownVersion = 207,
    RolloutUnknown = 208,
    RolloutConflict = 209,

    // 3xx: replicated log and its disk
    NotLeader = 301,
    NoQuorum = 302,
    DiskFull = 303,
    DiskFailed = 304,
    LogDamaged = 305,
    FolderNotFormatted = 306,
    FolderAlreadyFormatted = 307,
    OutcomePending = 308,

    // 4xx: a request that did not run
    NoRoute = 401,
    RequestMalformed = 402,
    HeadersTooLarge = 403,
    BodyTooLarge = 404,
    BodyIncomplete = 405,
    Overloaded = 406,
    DeadlineTooNear = 407,
    NoUpstream = 408,
    Draining = 409,
    NotReady = 410,
    ClaimHeld = 411,
    NoKeepers = 412,
    KeySizeInvalid = 413,
    RetryBudgetExhausted = 414,
    CallerTooSlow = 415,
    VersionRolledBack = 416,
    KeyReusedDifferently = 417,
    NoFreeSlot = 418,
    ZoneEvacuated = 419,
    RequestBlocked = 420,
    NoBodyMemory = 421,
    HttpVersionUnsupported = 422,

    // 5xx: a request whose outcome is unknown, or that ran and failed
    OutcomeUnknown = 501,
    AnswerTruncated = 502,
    DeadlinePassed = 503,
    Cancelled = 504,
    InvalidUpstreamAnswer = 505,

    // 6xx: between appletally processes
    WrongCluster = 601,
    WrongKey = 602,
    MessageMalformed = 603,
    MessageTooLarge = 604,
    PeerTimedOut = 605,
    PeerGone = 606,
    RetryLater = 607,
    SourceIsolated = 608,

    Internal = 901,
};

struct CodeInfo {
    Code code;
    std::string_view name;
    int httpStatus; // status sent to callers; 0 if the code never reaches one
    bool notRun; // true: proven that no upstream ran the request
    std::string_view meaning; // one line for docs/RESULTS.md
};

std::span<const CodeInfo> allCodes();
const CodeInfo& info(Code);
int exitCode(Code); // exit status of a program that ends with this code

struct Error {
    Code code = Code::Internal;
    std::string text; // human-readable; never parsed
    Duration retryAfter {}; // zero: a retry is of no use, or the time is unknown
};

std::ostream& operator<<(std::ostream&, const Error&);

template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

inline auto success() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }
inline Error fail(Code code, std::string text, Duration retryAfter = {}) { return { code, std::move(text), retryAfter }; }

} // namespace appletally::base
