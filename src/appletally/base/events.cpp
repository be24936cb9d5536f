// The table of events: what each means and what the operator on call does.
#include "appletally/base/events.h"

#include <algorithm>
#include <array>

namespace appletally::base {

static constexpr auto table = std::to_array<EventInfo>({
    { Event::Started, "started", "the process is ready", "none", 0 },
    { Event::Stopping, "stopping", "a graceful shutdown began", "none", 0 },
    { Event::Stopped, "stopped", "the process ended as requested", "none", 0 },
    { Event::SettingsRefused, "settings-refused", "the settings failed validation", "fix the file at the named path", 2 },
    { Event::GracefulShutdownTimedOut, "stop-bound-reached", "the graceful shutdown timeout expired with requests still running", "find the route that runs that long", 1 },
    { Event::SettingsReloaded, "settings-reloaded", "the settings file changed, and the settings that may change in a running process were applied", "none", 0 },
    { Event::LogLinesDropped, "log-lines-left-out", "lines about single requests that were dropped over the budget per second, counted by event", "none", 0 },
    { Event::VersionApplied, "version-applied", "this process applied a configuration version", "none", 0 },
    { Event::VersionRefused, "version-refused", "a configuration version failed validation and was rejected completely", "report it; the version before stays applied", 2 },
    { Event::VersionAccepted, "version-accepted", "the replicated log committed a version", "none", 0 },
    { Event::VersionReleased, "version-released", "a majority of voters recorded a version as committed; nodes may apply it", "none", 0 },
    { Event::BootVersionProven, "boot-version-proven", "a starting node knows the minimum version that it may apply", "none", 0 },
    { Event::SubmitRefused, "submit-refused", "an operator's change was rejected", "none; the reason was reported to the operator", 0 },
    { Event::AcknowledgedBeforeAll, "answered-before-all", "a change was reported to an operator as applied before some nodes had confirmed it; the text names them", "see OPERATIONS, a node behind the others", 1 },
    { Event::BecameLeader, "became-leader", "this voter became leader of the replicated log", "none", 0 },
    { Event::LostLeadership, "lost-leadership", "this voter is no longer leader", "none unless it repeats within minutes", 1 },
    { Event::DiskStopped, "disk-stopped", "the data folder failed or is full; this voter stopped answering", "free space or replace the host", 2 },
    { Event::LogTailTruncated, "log-tail-cut", "the last record was incomplete after a crash and was removed", "none", 1 },
    { Event::LogFileDamaged, "log-file-damaged", "a record in the middle of the log is damaged", "replace the replica, see OPERATING", 2 },
    { Event::ReplicaAdded, "replica-added", "a replica was added as a voter", "none", 0 },
    { Event::ReplicaRemoved, "replica-removed", "a replica was removed", "none", 0 },
    { Event::SnapshotTaken, "snapshot-taken", "the log was compacted to a snapshot", "none", 0 },
    { Event::DiskReopened, "disk-opened-again", "a failed data folder is readable again, and its replica restarts from the data in it", "none", 0 },
    { Event::StateUnreadable, "state-unreadable", "a snapshot of the log cannot be decoded, on this disk or from the leader; this voter stopped and keeps its disk as it was", "see OPERATING, a snapshot that cannot be decoded", 2 },
    { Event::SnapshotRefused, "snapshot-refused", "the state does not decode after encoding; the log keeps its entries, and grows until it does", "report it before any control process is restarted", 2 },
    { Event::UpstreamAnnounced, "upstream-announced", "an upstream announced itself", "none", 0 },
    { Event::UpstreamLeft, "upstream-left", "an upstream drained or its announcement expired", "none", 0 },
    { Event::LinkUp, "link-up", "a link to another process was established", "none", 0 },
    { Event::LinkDown, "link-down", "a link to another process failed or timed out", "none unless many at once", 1 },
    { Event::LinkRefused, "link-refused", "a peer was rejected: without the cluster's key, of another cluster, or sending malformed data", "find the peer that connects", 1 },
    { Event::ControlLost, "control-lost", "no control process answers; the applied version stays applied", "check the control hosts", 1 },
    { Event::ControlFound, "control-found", "a control process answers again", "none", 0 },
    { Event::SourceSelected, "source-taken", "this process gets its configuration from the named control process", "none", 0 },
    { Event::UpstreamLimitChanged, "upstream-limit-changed", "an upstream named, changed or lifted the rate of requests that it takes", "add upstreams if it lasts", 0 },
    { Event::UpstreamNoticeUnreadable, "upstream-notice-unreadable", "an upstream named a rate or said that it leaves in a value that cannot be read; the value was ignored", "notify the upstream's team", 1 },
    { Event::UpstreamCold, "upstream-cold", "an upstream is cold or may have restarted, and gets no more than the rate that the configuration names for that", "none; if it repeats every few seconds, see why it crashes", 0 },
    { Event::UpstreamWarm, "upstream-warm", "an upstream is no longer cold", "none", 0 },
    { Event::UpstreamEnded, "upstream-ended", "an upstream's process ended while it ran requests; the text names its version and their digests", "see OPERATIONS, a request that ends upstreams", 1 },
    { Event::MessageNotSent, "message-not-sent", "a message to another node was above the size limit of links and was not sent; the text names the node and the size", "lower the limit of request headers", 1 },
    { Event::LeavingNotHeld, "leaving-not-held", "no control process has confirmed in time that an upstream leaves; it gets no new requests, but was not told so", "see control-lost", 1 },
    { Event::HeartbeatDelayed, "heartbeat-delayed", "the first heartbeat after this node's start waits until control has said which upstreams have left, or until a second one", "none", 0 },
    { Event::StrayBytes, "stray-bytes", "an upstream sent bytes that answer no request; its connections carry one request each until none have come for a minute", "notify the upstream's team", 1 },
    { Event::BadRequest, "bad-request", "a request was malformed, too large or too slow", "none unless many", 0 },
    { Event::OutcomeLost, "outcome-lost", "a request ended with its outcome unknown", "find the failure on its path", 1 },
    { Event::OverloadBegan, "overload-began", "requests are rejected for lack of capacity", "add upstreams or find the caller that sends the load", 1 },
    { Event::OverloadEnded, "overload-ended", "no request was rejected for lack of capacity for some time", "none", 0 },
    { Event::RequestBlocked, "request-blocked", "upstreams ended while they ran this request, and this node sends it to no other one for some time; the text has its digest", "see OPERATIONS, a request that ends upstreams", 1 },
    { Event::RequestUnblocked, "request-unblocked", "an upstream has answered a request that was blocked", "none", 0 },
    { Event::BodyWaits, "body-waits", "a large request body waits unread, because others and answers hold this node's memory; the text names the caller, the request and the size", "see OPERATIONS, large request bodies", 0 },
    { Event::BodyRefused, "body-refused", "a request was refused because this node has no memory for its body; the text names the caller, the request and the size", "see OPERATIONS, large request bodies", 1 },
    { Event::RequestSent, "request-sent", "a caller's request was sent to this upstream, for these reasons", "none", 0 },
    { Event::RequestAnswered, "request-answered", "the caller got an upstream's complete answer", "none", 0 },
    { Event::RequestRefused, "request-refused", "the caller was informed that its request has not run, and why", "see OPERATIONS, refused under load", 1 },
    { Event::RequestRetried, "request-tried-again", "an attempt failed and another one follows", "none", 0 },
    { Event::RequestCancelled, "request-cancelled", "the caller disconnected before its answer was complete", "none", 0 },
    { Event::AnswerTakenBack, "answer-taken-back", "a large answer broke before any of it was sent to the caller; the request is tried again or gets a failure", "none", 0 },
    { Event::AnswerAborted, "answer-aborted", "a large answer broke after its head was sent; the caller's connection was closed", "find the failure on its path", 1 },
    { Event::CallQueued, "call-queued", "at the owner: the call waits for a slot", "none", 0 },
    { Event::CallRefused, "call-refused", "at the owner: the call does not run, and why", "see OPERATIONS, refused under load", 1 },
    { Event::CallEnded, "call-ended", "at the owner: the upstream's answer is complete", "none", 0 },
    { Event::CallFailed, "call-failed", "at the owner: the call may have run and has no complete answer", "see OPERATIONS, outcome unknown", 1 },
    { Event::CallCancelled, "call-cancelled", "at the owner: the caller or its node cancelled the call, waiting or running", "none", 0 },
    { Event::RolloutStarted, "rollout-started", "a new upstream version gets its trial share", "none", 0 },
    { Event::RolloutShareRaised, "rollout-share-raised", "the new version's share rose", "none", 0 },
    { Event::RolloutCompleted, "rollout-completed", "the new version has all traffic", "none", 0 },
    { Event::RolloutRolledBack, "rollout-taken-back", "the new version was rolled back; the text says why", "notify the team", 1 },
    { Event::RolloutStopped, "rollout-stopped", "an operator stopped the rollout", "none", 0 },
    { Event::VersionStoppedLocally, "version-stopped-here", "an owner stopped sending requests to its upstream, based on its own evidence", "none; control decides about the rollout", 1 },
    { Event::RolloutHeld, "rollout-held", "the share does not rise: there is too little evidence, or no control process answers", "none unless complete_by is near", 0 },
    { Event::KeeperSetChanged, "keeper-set-changed", "the keeper set changed", "none", 0 },
    { Event::KeeperCaughtUp, "keeper-caught-up", "a restarted keeper grants claims again", "none", 0 },
});

std::span<const EventInfo> allEvents() { return table; }

const EventInfo& info(Event event)
{
    auto it = std::find_if(table.begin(), table.end(), [&](const EventInfo& entry) { return entry.event == event; });
    return it == table.end() ? table.front() : *it;
}

} // namespace appletally::base
