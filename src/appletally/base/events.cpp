// The catalogue of events: what each means and what the one on call does about it.
#include "appletally/base/events.h"

#include <algorithm>
#include <array>

namespace appletally::base {

static constexpr auto table = std::to_array<EventInfo>({
    { Event::Started, "started", "the process serves", "none", 0 },
    { Event::Stopping, "stopping", "a graceful stop began", "none", 0 },
    { Event::Stopped, "stopped", "the process ended as asked", "none", 0 },
    { Event::SettingsRefused, "settings-refused", "the settings failed their check", "mend the file at the named path", 2 },
    { Event::GracefulShutdownTimedOut, "stop-bound-reached", "a graceful stop ended at its bound with requests still running", "see which route runs that long", 1 },
    { Event::SettingsReloaded, "settings-reloaded", "the settings file changed and what may change in a running process was taken over", "none", 0 },
    { Event::LogLinesDropped, "log-lines-left-out", "lines about single requests over the second's budget, counted by kind", "none", 0 },
    { Event::VersionApplied, "version-applied", "a configuration version is in force here", "none", 0 },
    { Event::VersionRefused, "version-refused", "a configuration version failed its check and was refused whole", "report it; the version before stays in force", 2 },
    { Event::VersionAccepted, "version-accepted", "the replicated log committed a version", "none", 0 },
    { Event::VersionReleased, "version-released", "a majority recorded a version as committed; nodes may have it", "none", 0 },
    { Event::BootVersionProven, "boot-version-proven", "a starting node knows the lowest version that it may apply", "none", 0 },
    { Event::SubmitRefused, "submit-refused", "an operator's change was refused", "none; the operator was told why", 0 },
    { Event::AcknowledgedBeforeAll, "answered-before-all", "an operator was told that a version is in force while some nodes had not confirmed it; the text names them", "see OPERATIONS, a node behind the others", 1 },
    { Event::BecameLeader, "became-leader", "this voter leads the replicated log", "none", 0 },
    { Event::LostLeadership, "lost-leadership", "this voter leads no longer", "none unless it repeats within minutes", 1 },
    { Event::DiskStopped, "disk-stopped", "the data folder failed or is full; this voter stopped answering", "free space or replace the host", 2 },
    { Event::LogTailTruncated, "log-tail-cut", "the last record was torn by a crash and was cut", "none", 1 },
    { Event::LogFileDamaged, "log-file-damaged", "a record in the middle of the log is damaged", "replace the replica, see OPERATING", 2 },
    { Event::ReplicaAdded, "replica-added", "a replica was let in as a voter", "none", 0 },
    { Event::ReplicaRemoved, "replica-removed", "a replica was taken out", "none", 0 },
    { Event::SnapshotTaken, "snapshot-taken", "the log was shortened to a snapshot", "none", 0 },
    { Event::DiskReopened, "disk-opened-again", "a failed data folder could be read again, and its replica begins with what is there", "none", 0 },
    { Event::UpstreamAnnounced, "upstream-announced", "an upstream announced itself", "none", 0 },
    { Event::UpstreamLeft, "upstream-left", "an upstream drained or its announcement ran out", "none", 0 },
    { Event::LinkUp, "link-up", "a link to another process works", "none", 0 },
    { Event::LinkDown, "link-down", "a link to another process broke or went silent", "none unless many at once", 1 },
    { Event::LinkRefused, "link-refused", "a peer without the cluster's key, of another cluster, or sending garbage", "find who connects", 1 },
    { Event::ControlLost, "control-lost", "no control process answers; what is in force stays in force", "see to the control hosts", 1 },
    { Event::ControlFound, "control-found", "control answers again", "none", 0 },
    { Event::SourceSelected, "source-taken", "this process takes its configuration from that control process", "none", 0 },
    { Event::BadRequest, "bad-request", "a request was malformed, too large or too slow", "none unless many", 0 },
    { Event::OutcomeLost, "outcome-lost", "a request ended with its outcome unknown", "see what broke on its path", 1 },
    { Event::OverloadBegan, "overload-began", "requests are refused for lack of capacity", "add upstreams or find the hot caller", 1 },
    { Event::OverloadEnded, "overload-ended", "nothing was refused for lack of capacity for a while", "none", 0 },
    { Event::RequestSent, "request-sent", "a caller's request goes to this upstream, for these reasons", "none", 0 },
    { Event::RequestAnswered, "request-answered", "the caller got an upstream's whole answer", "none", 0 },
    { Event::RequestRefused, "request-refused", "the caller was told that its request has not run, and why", "see OPERATIONS, refused under load", 1 },
    { Event::RequestRetried, "request-tried-again", "a try failed and another one follows", "none", 0 },
    { Event::RequestCancelled, "request-cancelled", "the caller left before its answer was complete", "none", 0 },
    { Event::CallQueued, "call-queued", "at the upstream's node: the call waits for a slot", "none", 0 },
    { Event::CallRefused, "call-refused", "at the upstream's node: the call does not run, and why", "see OPERATIONS, refused under load", 1 },
    { Event::CallEnded, "call-ended", "at the upstream's node: the upstream answered whole", "none", 0 },
    { Event::CallFailed, "call-failed", "at the upstream's node: the call may have run and has no whole answer", "see OPERATIONS, outcome unknown", 1 },
    { Event::CallCancelled, "call-cancelled", "at the upstream's node: the caller or its node gave up on the call, waiting or running", "none", 0 },
    { Event::RolloutStarted, "rollout-started", "a new upstream version gets its trial share", "none", 0 },
    { Event::RolloutShareRaised, "rollout-share-raised", "the new version's share rose", "none", 0 },
    { Event::RolloutCompleted, "rollout-completed", "the new version has all traffic", "none", 0 },
    { Event::RolloutRolledBack, "rollout-taken-back", "the new version was taken back; the text says why", "tell the team", 1 },
    { Event::RolloutStopped, "rollout-stopped", "an operator stopped the rollout", "none", 0 },
    { Event::VersionStoppedLocally, "version-stopped-here", "the node beside an upstream stopped sending it work by its own evidence", "none; control follows", 1 },
    { Event::RolloutHeld, "rollout-held", "the share does not rise for lack of evidence or of control", "none unless complete_by is near", 0 },
    { Event::KeeperSetChanged, "keeper-set-changed", "another set of nodes keeps claims", "none", 0 },
    { Event::KeeperCaughtUp, "keeper-caught-up", "a restarted keeper grants claims again", "none", 0 },
});

std::span<const EventInfo> allEvents() { return table; }

const EventInfo& info(Event event)
{
    auto it = std::find_if(table.begin(), table.end(), [&](const EventInfo& entry) { return entry.event == event; });
    return it == table.end() ? table.front() : *it;
}

} // namespace appletally::base
