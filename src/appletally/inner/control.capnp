# The protocol between control processes, nodes and operators. Every port's bootstrap is a Gate.
#
# Committed beside its generated code; after a change: capnp compile -oc++ control.capnp
# Limits: a message is at most 8 MiB (rpc_limits.h); a larger one closes its connection.
@0xb3a1d65e0f7c2a94;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("appletally::inner::rpc");

struct Failure {
  code @0 :UInt16;          # a base::Code; 0: no failure
  text @1 :Text;
  retryAfterMs @2 :UInt32;
}

enum Role {
  operator @0;
  node @1;                  # takes content, reports endpoints and evidence
  peer @2;                  # another control process: voter or relay
}

# Both sides prove the cluster's key over the other's fresh nonce. Nothing else answers before.
interface Gate {
  challenge @0 (cluster :Text, who :Text, role :Role, nonce :Data) -> (failure :Failure, who :Text, nonce :Data, proof :Data);
  enter @1 (proof :Data, back :Pulse) -> (failure :Failure, session :Session);
}

# Each side calls the other's beat, so that a link which lost one direction shows on both sides.
interface Pulse {
  beat @0 () -> ();
}

# What proof of the key gives; the capability behind it is the one of the role that was proved.
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
  beat @11 :UInt64;         # sign of life within the sequence; 0: passed on by another
}

# The sign of life of a record that has not changed.
struct Renewal {
  host @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  beat @3 :UInt64;
}

# How far a subscriber has read a registry of endpoints: config::EndpointCursor.
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
  endpoints @4 :Data;       # list in the codec of config/
  compressed @5 :Bool;      # by zstd
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

# A configuration version that a node has in force.
struct InForce {
  host @0 :Text;
  incarnation @1 :UInt64;   # start of the node that says so
  version @2 :UInt64;
  sinceMs @3 :UInt32;       # how long ago it was applied; clocks of two hosts have nothing in common
  left @4 :Bool;            # the node stops; it counts no longer
}

# All that goes from a node to its source, and on from there to the other control processes.
struct Report {
  endpoints @0 :List(Endpoint);
  inForce @1 :List(InForce);
  evidence @2 :List(Evidence);
  renewals @3 :List(Renewal);   # between control processes, for endpoints that have not changed
}

# A whole snapshot or a delta, in the codec of config/, compressed by zstd.
struct Content {
  version @0 :UInt64;
  from @1 :UInt64;          # version that the delta starts from; 0: a whole snapshot
  bytes @2 :Data;
}

# What a source calls on its subscriber: one call of each kind at a time, the answer is the backpressure.
interface Feed {
  content @0 (content :Content) -> (have :UInt64);   # have: what the subscriber holds now; a misfit asks for more by it
  endpoints @1 (delta :EndpointsDelta) -> (cursor :Cursor);          # cursor: what the subscriber has read now
  leave @2 (comeBackMs :UInt32) -> ();                               # the source has lost the others; better ones may exist
  sources @3 (addresses :List(Text)) -> ();                          # others that serve content; kept beside those of the settings
}

interface Source extends(Session) {
  # have: version that the subscriber holds, 0 for none; cursor: of the endpoints that it holds. Refused with come-back-later when too many came at once;
  # promised: this is the moment that the source then named.
  subscribe @0 (have :UInt64, cursor :Cursor, feed :Feed, promised :Bool) -> (failure :Failure);
  report @1 (report :Report) -> ();
  # The least version that a starting node may begin with: a majority of voters was asked after this call came.
  bootFloor @2 () -> (failure :Failure, version :UInt64);
}

# Between control processes.
interface Peer extends(Source) {
  consensus @0 (message :Data) -> ();
  # What a voter has durably recorded as committed, with the members that it knows of: consensus::SnapshotMeta, encoded.
  recorded @1 () -> (failure :Failure, replica :UInt64, meta :Data);
  # Waits until the called voter may hand out all that was accepted up to `index`; its configuration version then.
  released @2 (index :UInt64) -> (failure :Failure, version :UInt64);
  share @3 (report :Report) -> ();                   # what nodes told the calling process; not passed on again
  forward @4 (command :Data) -> (failure :Failure, version :UInt64, text :Text); # an operator's change, to the leader
}

interface Operator extends(Session) {
  # A change to the agreed state, in the codec of config/. Resending the same bytes gives the first answer.
  change @0 (command :Data) -> (failure :Failure, version :UInt64, text :Text);
  # JSON texts for people and scripts: "status", "versions", "rollouts", "agreed", "dump". With "current " before it only
  # the leader answers, and everything accepted before the question is in the answer.
  read @1 (what :Text) -> (failure :Failure, json :Text);
  replaceVoter @2 (old :UInt64, new :UInt64) -> (failure :Failure);
}
