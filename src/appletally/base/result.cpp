// The table of result codes: names, what a caller sees, and what it may conclude.
#include "appletally/base/result.h"

#include <algorithm>
#include <array>

namespace appletally::base {

static constexpr auto table = std::to_array<CodeInfo>({
    { Code::Ok, "ok", 200, false, "done" },
    { Code::SettingsUnreadable, "settings-unreadable", 0, true, "the settings file is missing or is not JSON" },
    { Code::SettingsUnknownKey, "settings-unknown-key", 0, true, "a key that this program does not know" },
    { Code::SettingsWrongType, "settings-wrong-type", 0, true, "a value of another type than expected" },
    { Code::SettingsOutOfRange, "settings-out-of-range", 0, true, "a value outside the stated range" },
    { Code::SettingsMissingKey, "settings-missing-key", 0, true, "a key that must be there is not" },
    { Code::AddressInUse, "address-in-use", 0, true, "another process listens on the address" },
    { Code::BadCommandLine, "bad-command-line", 0, true, "an unknown or incomplete argument" },
    { Code::AnswersInvalid, "answers-invalid", 422, true, "the questionnaire's answers fail their check; the text names the path" },
    { Code::DanglingReference, "dangling-reference", 422, true, "a route or dependency names something that the same version lacks" },
    { Code::VersionConflict, "version-conflict", 409, true, "another change was accepted first; the text names it" },
    { Code::RequestNumberReused, "request-number-reused", 409, true, "the operator used this number for other bytes" },
    { Code::VersionTooOld, "version-too-old", 0, true, "lower than what is in force; refused" },
    { Code::DeltaMismatch, "delta-does-not-fit", 0, true, "the delta starts from a version that is not here" },
    { Code::UnknownVersion, "unknown-version", 404, true, "no such version" },
    { Code::RolloutUnknown, "rollout-unknown", 404, true, "no such rollout" },
    { Code::RolloutConflict, "rollout-conflict", 409, true, "the service already has a rollout under way" },
    { Code::NotLeader, "not-leader", 0, true, "this replica does not lead; the text names who may" },
    { Code::NoQuorum, "no-quorum", 503, false, "no majority of voters answers; resend to learn the outcome" },
    { Code::DiskFull, "disk-full", 0, false, "the data folder takes no more; the replica stopped answering" },
    { Code::DiskFailed, "disk-failed", 0, false, "reading, writing or syncing failed; the replica stopped answering" },
    { Code::LogDamaged, "log-damaged", 0, false, "a record in the middle of the log fails its checksum" },
    { Code::FolderNotFormatted, "folder-not-formatted", 0, true, "the data folder was never formatted" },
    { Code::FolderAlreadyFormatted, "folder-already-formatted", 0, true, "the data folder belongs to a replica already" },
    { Code::OutcomePending, "outcome-pending", 503, false, "not known yet whether it was accepted; resend to learn it" },
    { Code::NoRoute, "no-route", 404, true, "no route matches method and path" },
    { Code::RequestMalformed, "request-malformed", 400, true, "not HTTP, or a header that cannot be read" },
    { Code::HeadersTooLarge, "headers-too-large", 431, true, "headers over the limit" },
    { Code::BodyTooLarge, "body-too-large", 413, true, "body over the route's limit" },
    { Code::BodyIncomplete, "body-incomplete", 400, true, "the connection closed or stalled before the body was whole" },
    { Code::Overloaded, "overloaded", 503, true, "refused at once; Retry-After says when to come back" },
    { Code::DeadlineTooNear, "deadline-too-near", 503, true, "it could not have finished in time; refused at once" },
    { Code::NoUpstream, "no-upstream", 503, true, "no upstream that could take it is known" },
    { Code::Draining, "draining", 503, true, "the upstream is leaving and takes no new work" },
    { Code::NotReady, "not-ready", 503, true, "this node has no proven configuration yet; use a neighbour" },
    { Code::ClaimHeld, "claim-held", 409, false, "the same key is running or ended with an unknown outcome" },
    { Code::NoKeepers, "no-keepers", 503, true, "no majority of the key's keepers answers" },
    { Code::KeySizeInvalid, "key-size-invalid", 400, true, "the idempotency key is empty or too long" },
    { Code::RetryBudgetExhausted, "retry-budget-spent", 503, true, "retrying more would multiply the load" },
    { Code::CallerTooSlow, "caller-too-slow", 408, true, "the request did not arrive within its time" },
    { Code::VersionRolledBack, "version-taken-back", 503, true, "the upstream's version was taken back here" },
    { Code::KeyReusedDifferently, "key-reused-differently", 422, true, "the idempotency key came before with another request" },
    { Code::NoFreeSlot, "no-room", 503, true, "no slot of the upstreams asked is free in time, and none of them heard of it; Retry-After says when" },
    { Code::OutcomeUnknown, "outcome-unknown", 502, false, "it may have run; resend with the same key to learn more" },
    { Code::AnswerTruncated, "answer-cut", 502, false, "the answer ended before its length" },
    { Code::DeadlinePassed, "deadline-passed", 504, false, "no answer within the request's time; it may have run" },
    { Code::Cancelled, "cancelled", 499, false, "the caller went away" },
    { Code::InvalidUpstreamAnswer, "upstream-broke", 502, false, "the upstream's answer was no HTTP" },
    { Code::WrongCluster, "wrong-cluster", 0, true, "the peer belongs to another cluster" },
    { Code::WrongKey, "wrong-key", 0, true, "the peer does not hold the cluster's key" },
    { Code::MessageMalformed, "message-malformed", 0, true, "a message that cannot be read; the link was closed" },
    { Code::MessageTooLarge, "message-too-large", 0, true, "a message over the limit; the link was closed" },
    { Code::PeerTimedOut, "peer-silent", 0, false, "no byte from the peer within the limit" },
    { Code::PeerGone, "peer-gone", 0, false, "the peer closed or could not be reached" },
    { Code::RetryLater, "come-back-later", 0, true, "the source takes no more now; the answer says when" },
    { Code::SourceIsolated, "source-isolated", 0, true, "the source has lost most other control processes; the answer says when it takes those who find no better one" },
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
    // Shells reserve codes from 126, and 1 and 2 are overused: 10 and up, by group and place within it.
    const int n = static_cast<int>(code);
    return n == 0 ? 0 : 10 + (n / 100 - 1) * 12 + std::min(n % 100, 11);
}

std::ostream& operator<<(std::ostream& out, const Error& error)
{
    return out << info(error.code).name << " (" << static_cast<int>(error.code) << "): " << error.text;
}

} // namespace appletally::base
