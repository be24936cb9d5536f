// The table of result codes: name, HTTP status, whether the request is known not to have run, and meaning.
#include "appletally/base/result.h"

#include <algorithm>
#include <array>

namespace appletally::base {

static constexpr auto table = std::to_array<CodeInfo>({
    { Code::Ok, "ok", 200, false, "done" },
    { Code::SettingsUnreadable, "settings-unreadable", 0, true, "the settings file is missing or is not valid JSON" },
    { Code::SettingsUnknownKey, "settings-unknown-key", 0, true, "a key that this program does not know" },
    { Code::SettingsWrongType, "settings-wrong-type", 0, true, "a value of the wrong type" },
    { Code::SettingsOutOfRange, "settings-out-of-range", 0, true, "a value outside the stated range" },
    { Code::SettingsMissingKey, "settings-missing-key", 0, true, "a required key is missing" },
    { Code::AddressInUse, "address-in-use", 0, true, "another process listens on the address" },
    { Code::BadCommandLine, "bad-command-line", 0, true, "an unknown or incomplete argument" },
    { Code::AnswersInvalid, "answers-invalid", 422, true, "the questionnaire's answers failed validation; the text names the path" },
    { Code::DanglingReference, "dangling-reference", 422, true, "a route or dependency refers to something that is missing in the same version" },
    { Code::VersionConflict, "version-conflict", 409, true, "another change was accepted first; the text names it" },
    { Code::RequestNumberReused, "request-number-reused", 409, true, "the operator used this number for another change" },
    { Code::VersionTooOld, "version-too-old", 0, true, "lower than the applied version; rejected" },
    { Code::DeltaMismatch, "delta-does-not-fit", 0, true, "the delta's base version is not the one held here" },
    { Code::UnknownVersion, "unknown-version", 404, true, "no such version" },
    { Code::RolloutUnknown, "rollout-unknown", 404, true, "no such rollout" },
    { Code::RolloutConflict, "rollout-conflict", 409, true, "the service already has a rollout in progress" },
    { Code::NotLeader, "not-leader", 0, true, "this replica is not the leader; the text names who may be" },
    { Code::NoQuorum, "no-quorum", 503, false, "no majority of voters answers; resend to get the outcome" },
    { Code::DiskFull, "disk-full", 0, false, "the data folder is full; the replica stopped answering" },
    { Code::DiskFailed, "disk-failed", 0, false, "reading, writing or syncing failed; the replica stopped answering" },
    { Code::LogDamaged, "log-damaged", 0, false, "a record in the middle of the log fails its checksum" },
    { Code::FolderNotFormatted, "folder-not-formatted", 0, true, "the data folder was never formatted" },
    { Code::FolderAlreadyFormatted, "folder-already-formatted", 0, true, "the data folder already belongs to a replica" },
    { Code::OutcomePending, "outcome-pending", 503, false, "not known yet whether it was accepted; resend to get the outcome" },
    { Code::NoRoute, "no-route", 404, true, "no route matches method and path" },
    { Code::RequestMalformed, "request-malformed", 400, true, "not valid HTTP, or a header that cannot be parsed" },
    { Code::HeadersTooLarge, "headers-too-large", 431, true, "headers over the limit" },
    { Code::BodyTooLarge, "body-too-large", 413, true, "body over the route's limit" },
    { Code::BodyIncomplete, "body-incomplete", 400, true, "the connection closed or stalled before the body was complete" },
    { Code::Overloaded, "overloaded", 503, true, "rejected immediately; Retry-After says when to retry" },
    { Code::DeadlineTooNear, "deadline-too-near", 503, true, "it could not have finished in time; rejected immediately" },
    { Code::NoUpstream, "no-upstream", 503, true, "no upstream is known that could run it" },
    { Code::Draining, "draining", 503, true, "the upstream is draining and accepts no new requests" },
    { Code::NotReady, "not-ready", 503, true, "this node has no proven configuration yet; use a neighbour" },
    { Code::ClaimHeld, "claim-held", 409, false, "the same key is running or ended with an unknown outcome" },
    { Code::NoKeepers, "no-keepers", 503, true, "no majority of the key's keepers answers" },
    { Code::KeySizeInvalid, "key-size-invalid", 400, true, "the idempotency key is empty or too long" },
    { Code::RetryBudgetExhausted, "retry-budget-spent", 503, true, "the retry budget is used up; more retries would multiply the load" },
    { Code::CallerTooSlow, "caller-too-slow", 408, true, "the request was not received within the time limit" },
    { Code::VersionRolledBack, "version-taken-back", 503, true, "the upstream's version was rolled back here" },
    { Code::KeyReusedDifferently, "key-reused-differently", 422, true, "the idempotency key was used before with another request" },
    { Code::NoFreeSlot, "no-room", 503, true, "no upstream considered has a slot free in time, and none of them received the request; Retry-After says when to retry" },
    { Code::ZoneEvacuated, "zone-evacuated", 421, true, "the upstream's availability zone is evacuated; another zone serves the request" },
    { Code::RequestBlocked, "request-blocked", 503, true, "upstreams ended while they ran this request, and it is not sent to another; Retry-After says when one run is tried" },
    { Code::NoBodyMemory, "no-body-memory", 503, true, "this node has no memory for the request's body now; Retry-After says when to retry" },
    { Code::HttpVersionUnsupported, "http-version-unsupported", 505, true, "the request is of another major version of HTTP than 1" },
    { Code::OutcomeUnknown, "outcome-unknown", 502, false, "it may have run; resend with the same key to get the outcome" },
    { Code::AnswerTruncated, "answer-cut", 502, false, "the answer is truncated" },
    { Code::DeadlinePassed, "deadline-passed", 504, false, "no answer before the request's deadline; it may have run" },
    { Code::Cancelled, "cancelled", 499, false, "the caller disconnected" },
    { Code::InvalidUpstreamAnswer, "upstream-broke", 502, false, "the upstream's answer was not valid HTTP" },
    { Code::WrongCluster, "wrong-cluster", 0, true, "the peer belongs to another cluster" },
    { Code::WrongKey, "wrong-key", 0, true, "the peer does not hold the cluster's key" },
    { Code::MessageMalformed, "message-malformed", 0, true, "a message could not be decoded; the link was closed" },
    { Code::MessageTooLarge, "message-too-large", 0, true, "a message was over the limit; the link was closed" },
    { Code::PeerTimedOut, "peer-silent", 0, false, "no byte from the peer within the timeout" },
    { Code::PeerGone, "peer-gone", 0, false, "the peer closed the link or could not be reached" },
    { Code::RetryLater, "come-back-later", 0, true, "the source accepts no more subscribers now; the answer says when to retry" },
    { Code::SourceIsolated, "source-isolated", 0, true, "the source has lost most other control processes; the answer says when it accepts subscribers that find no better one" },
    { Code::Internal, "internal", 500, false, "a fault in appletally itself; please report it" },
});

std::span<const CodeInfo> allCodes() { return table; }

const CodeInfo& info(Code code)
{
    auto it = std::find_if(table.begin(), table.end(), [&](const CodeInfo& entry) { return entry.code == code; });
    return it == table.end() ? table.back() : *it;
}

int exitCode(Code code)
{
    // Shells reserve codes from 126, and 1 and 2 are ambiguous, so codes start at 10: 12 for each group, the last of them
    // shared by all codes of the group from 11 on.
    const int n = static_cast<int>(code);
    return n == 0 ? 0 : 10 + (n / 100 - 1) * 12 + std::min(n % 100, 11);
}

std::ostream& operator<<(std::ostream& out, const Error& error)
{
    return out << info(error.code).name << " (" << static_cast<int>(error.code) << "): " << error.text;
}

} // namespace appletally::base
