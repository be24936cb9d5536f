// Numbered result codes and the error type that every fallible function returns (Boost.Outcome).
// docs/RESULTS.md lists the codes; a test holds the page against the table in result.cpp.
#pragma once

#include "appletally/base/clock.h"

#include <boost/outcome.hpp>
#include <cstdint>
#include <ostream>
#include <span>
#include <string>
#include <string_view>

namespace appletally::base {

// Hundreds group by concern. Numbers are never reused; programs exit with code / 100 % 100.
// What a caller may conclude stands in the table of result.cpp: "not run" is only said where it is proven.
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

    // 5xx: a request whose outcome is unknown, or that ran and failed
    OutcomeUnknown = 501,
    AnswerTruncated = 502,
    DeadlinePassed = 503,
    Cancelled = 504,
    InvalidUpstreamAnswer = 505,

    // 6xx: between our own processes
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
    int httpStatus; // status at the edge; 0 where the code never reaches a caller
    bool notRun; // true: proven that no upstream ran the request
    std::string_view meaning; // one line for docs/RESULTS.md
};

std::span<const CodeInfo> allCodes();
const CodeInfo& info(Code);
int exitCode(Code); // of a program that ends because of this code

struct Error {
    Code code = Code::Internal;
    std::string text; // for people; never parsed
    Duration retryAfter {}; // zero: coming back is of no use or the time is unknown
};

std::ostream& operator<<(std::ostream&, const Error&);

template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

inline auto success() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }
inline Error fail(Code code, std::string text, Duration retryAfter = {}) { return { code, std::move(text), retryAfter }; }

} // namespace appletally::base
