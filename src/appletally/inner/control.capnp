# The protocol between control processes, nodes and operators. The bootstrap capability of every port is a Gate.
#
# The generated code is committed with it; after a change run: capnp compile -oc++ control.capnp
# Limits: a message is at most 8 MiB (rpc_limits.h); a larger one closes its connection.
@0xb3a1d65e0f7c2a94;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("appletally::inner::rpc");

using Link = import "link.capnp";

struct Failure {
  code @0 :UInt16;          # base::Code; 0: no failure
  text @1 :Text;
  retryAfterMs @2 :UInt32;
}

enum Role {
  operator @0;
  node @1;                  # receives content, reports endpoints and evidence
  peer @2;                  # another control process: voter or relay
}

# Mutual authentication: each side proves the cluster key over the other's fresh nonce. No other call is served before.
interface Gate {
  challenge @0 (cluster :Text, who :Text, role :Role, nonce :Data) -> (failure :Failure, who :Text, nonce :Data, proof :Data);
  enter @1 (proof :Data, back :Pulse) -> (failure :Failure, session :Session);
}

# Heartbeats. Each side calls the other's beat, so that both sides notice a link that lost one direction.
interface Pulse {
  beat @0 () -> ();
}

# The result of authentication: the capability of the role that was proved.
interface Session extends(Pulse) {
}

struct Endpoint {
  host @0 :Text;
  service @1 :Text;
  version @2 :Text;
  zone @3 :Text;
  region @4 :Text;
  ip @5 :Text;
  port @6 :UInt16;
  slots @7 :Int32;
  state @8 :UInt8;          # config::EndpointState
  incarnation @9 :UInt64;
  sequence @10 :UInt64;
  beat @11 :UInt64;         # heartbeat number within the sequence; 0: forwarded by another process
  suspects @12 :List(Link.SuspectRequest);
  leaving @13 :Leaving;     # absent: none
}

# An upstream process of which its node has acknowledged that it leaves: config::LeavingUpstream.
struct Leaving {
  id @0 :Text;
  startedAtMs @1 :UInt64;
  sequence @2 :UInt64;
}

struct HostLeaving {
  host @0 :Text;
  leaving @1 :Leaving;
}

struct HostSuspects {
  host @0 :Text;
  suspects @1 :List(Link.SuspectRequest);
}

# The heartbeat of an unchanged endpoint record.
struct Renewal {
  host @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  beat @3 :UInt64;
}

# A subscriber's read position in a registry of endpoints: config::EndpointCursor.
struct Cursor {
  registry @0 :UInt64;
  change @1 :UInt64;
  since @2 :UInt64;
}

struct EndpointsDelta {
  from @0 :Cursor;
  to @1 :Cursor;
  whole @2 :Bool;
  more @3 :Bool;
  endpoints @4 :Data;       # a list, encoded by the codec of config/
  compressed @5 :Bool;      # with zstd
  suspects @6 :List(HostSuspects); # of those endpoints that have any
  leaving @7 :List(HostLeaving);   # likewise
}

struct Evidence {
  host @0 :Text;
  incarnation @1 :UInt64;
  service @2 :Text;
  route @3 :Text;
  version @4 :Text;
  answers @5 :UInt64;
  failures @6 :UInt64;
  latency @7 :List(UInt32);
  busyLatency @8 :List(UInt32);
  coldAnswers @9 :UInt64;
  coldFailures @10 :UInt64;
  stoppedHere @11 :Bool;
}

# The configuration version that a node has applied.
struct InForce {
  host @0 :Text;
  incarnation @1 :UInt64;   # of the reporting node
  version @2 :UInt64;
  sinceMs @3 :UInt32;       # time since it was applied; not a timestamp, since clocks of hosts are not synchronized
  left @4 :Bool;            # the node is stopping and no longer counts
}

# Everything that a node sends to its source, which forwards it to the other control processes.
struct Report {
  endpoints @0 :List(Endpoint);
  inForce @1 :List(InForce);
  evidence @2 :List(Evidence);
  renewals @3 :List(Renewal);   # only between control processes, for unchanged endpoints
}

# A full snapshot or a delta, encoded by the codec of config/ and compressed with zstd.
struct Content {
  version @0 :UInt64;
  from @1 :UInt64;          # base version of the delta; 0: a full snapshot
  bytes @2 :Data;
}

# Calls of a source on its subscriber. One call of each kind is in flight at a time; the reply provides backpressure.
interface Feed {
  content @0 (content :Content) -> (have :UInt64);   # have: version that the subscriber holds now; after a mismatch it selects what is sent next
  endpoints @1 (delta :EndpointsDelta) -> (cursor :Cursor);          # cursor: the subscriber's new read position
  leave @2 (comeBackMs :UInt32) -> ();                               # the source is isolated from the other control processes: switch to another source
  sources @3 (addresses :List(Text)) -> ();                          # further sources of content, added to those of the settings
  moveTo @4 (address :Text) -> ();                                   # the source has more than its part of the subscribers: switch to this one if it can be reached
}

interface Source extends(Session) {
  # have: version that the subscriber holds, 0 for none; cursor: of the endpoints that it holds. Refused with
  # come-back-later when too many subscribe at once; promised: this call is made at the time that the source then gave.
  subscribe @0 (have :UInt64, cursor :Cursor, feed :Feed, promised :Bool) -> (failure :Failure);
  report @1 (report :Report) -> ();
  # Minimum version that a starting node may apply, from a majority of voters that were queried after this call arrived.
  bootFloor @2 () -> (failure :Failure, version :UInt64);
}

# Between control processes.
interface Peer extends(Source) {
  consensus @0 (message :Data) -> ();
  # What a voter has durably recorded as committed, with its known members: an encoded consensus::SnapshotMeta.
  recorded @1 () -> (failure :Failure, replica :UInt64, meta :Data);
  # Waits until everything accepted up to `index` is released on the called voter; returns its configuration version then.
  released @2 (index :UInt64) -> (failure :Failure, version :UInt64);
  share @3 (report :Report) -> ();                   # reports of nodes to the calling process; not forwarded again
  forward @4 (command :Data) -> (failure :Failure, version :UInt64, text :Text); # an operator's change, forwarded to the leader
  sourceLoad @5 (subscribers :UInt32, zone :Text, accepts :Bool) -> ();          # of the calling process, as a source; accepts: takes further subscribers now
}

interface Operator extends(Session) {
  # A change to the replicated state, encoded by the codec of config/. Resending the same bytes returns the first result.
  change @0 (command :Data) -> (failure :Failure, version :UInt64, text :Text);
  # JSON for people and scripts: "status", "versions", "rollouts", "agreed", "dump". With the prefix "current " only the
  # leader answers, and the result includes everything accepted before the request.
  read @1 (what :Text) -> (failure :Failure, json :Text);
  replaceVoter @2 (old :UInt64, new :UInt64) -> (failure :Failure);
}
