// The numbered events that a process may log. Numbers are never reused; each hundred is one subject.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace appletally::base {

enum class Event : uint16_t {
    // 1xx: process lifecycle
    Started = 101,
    Stopping = 102,
    Stopped = 103,
    SettingsRefused = 104,
    GracefulShutdownTimedOut = 105,
    SettingsReloaded = 106,
    LogLinesDropped = 107,

    // 2xx: configuration
    VersionApplied = 201,
    VersionRefused = 202,
    VersionAccepted = 203,
    VersionReleased = 204,
    BootVersionProven = 205,
    SubmitRefused = 206,
    AcknowledgedBeforeAll = 207,

    // 3xx: replicated log
    BecameLeader = 301,
    LostLeadership = 302,
    DiskStopped = 303,
    LogTailTruncated = 304,
    LogFileDamaged = 305,
    ReplicaAdded = 306,
    ReplicaRemoved = 307,
    SnapshotTaken = 308,
    DiskReopened = 309,
    StateUnreadable = 310,
    SnapshotRefused = 311,

    // 4xx: endpoints and links
    UpstreamAnnounced = 401,
    UpstreamLeft = 402,
    LinkUp = 403,
    LinkDown = 404,
    LinkRefused = 405,
    ControlLost = 406,
    ControlFound = 407,
    SourceSelected = 408,
    UpstreamLimitChanged = 409,
    UpstreamNoticeUnreadable = 410,
    UpstreamCold = 411,
    UpstreamWarm = 412,
    UpstreamEnded = 413,
    MessageNotSent = 414,
    LeavingNotHeld = 415,
    HeartbeatDelayed = 416,
    StrayBytes = 417,

    // 5xx: requests
    BadRequest = 501,
    OutcomeLost = 502,
    OverloadBegan = 503,
    OverloadEnded = 504,
    RequestBlocked = 505,
    RequestUnblocked = 506,
    BodyWaits = 507,
    BodyRefused = 508,
    RequestSent = 511,
    RequestAnswered = 512,
    RequestRefused = 513,
    RequestRetried = 514,
    RequestCancelled = 515,
    AnswerTakenBack = 516,
    AnswerAborted = 517,
    CallQueued = 521,
    CallRefused = 522,
    CallEnded = 523,
    CallFailed = 524,
    CallCancelled = 525,

    // 6xx: rollouts
    RolloutStarted = 601,
    RolloutShareRaised = 602,
    RolloutCompleted = 603,
    RolloutRolledBack = 604,
    RolloutStopped = 605,
    VersionStoppedLocally = 606,
    RolloutHeld = 607,

    // 7xx: claims
    KeeperSetChanged = 701,
    KeeperCaughtUp = 702,
};

struct EventInfo {
    Event event;
    std::string_view name;
    std::string_view meaning; // one line for docs/EVENTS.md
    std::string_view action; // what the operator on call does; "none" if nothing
    int severity; // 0 info, 1 warning, 2 error
};

std::span<const EventInfo> allEvents();
const EventInfo& info(Event);

} // namespace appletally::base
