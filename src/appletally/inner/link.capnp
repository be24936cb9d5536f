# Messages between two nodes on a link: calls to the node beside an upstream, and claims.
# One message is one frame, see frame.h. Field numbers are never reused.
@0xd0c5a7e1b3f94a21;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("appletally::inner::wire");

struct LinkMessage {
  union {
    greet @0 :Greet;       # first message, from the dialing side
    greeted @1 :Greeted;   # accepting side's reply, with its proof
    proven @2 :Data;       # dialing side's proof
    admitted @3 :Void;     # from the accepting side: calls may be sent
    ping @4 :UInt64;
    pong @5 :UInt64;       # no longer sent; ignored
    call @6 :Call;
    cancel @7 :UInt64;     # call id: the caller disconnected or its deadline has passed
    answerHead @8 :AnswerHead;
    answerBody @9 :AnswerBody;
    answerEnd @10 :AnswerEnd;
    refused @11 :Refused;
    credit @12 :Credit;
    load @13 :Load;        # sent unsolicited when a change must reach callers at once
    claim @14 :Claim;      # a request, response or notification between a claim's owner and a keeper
    suspects @15 :List(SuspectRequest); # from the dialing side, while it reaches no control process; the other way they travel in load
    callBody @16 :CallBody; # a piece of a large request body; never more bytes than bodyCredit has allowed
    bodyCredit @17 :Credit; # from the accepting side: further bytes of a call's body that may be sent; none before its call has a slot
  }
}

struct Greet {
  cluster @0 :Text;
  host @1 :Text;
  nonce @2 :Data;
}

struct Greeted {
  host @0 :Text;
  nonce @1 :Data;
  mac @2 :Data;
  takesBodies @3 :Bool;    # understands callBody; false: an older node, which takes no large bodies
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Call {
  id @0 :UInt64;           # chosen by the dialing side, never reused on a link
  service @1 :Text;
  route @2 :Text;
  method @3 :Text;
  target @4 :Text;         # path and query
  headers @5 :List(Header);
  body @6 :Data;
  remainingMs @7 :Int64;   # until the caller's deadline, when the call was sent
  caller @8 :Text;
  key @9 :Text;            # Idempotency-Key; empty: none
  attempt @10 :UInt64;
  internal @11 :Bool;      # the caller is another service of the mesh
  configVersion @12 :UInt64; # used by the caller's node for routing
  depth @13 :UInt8;        # number of calls above this one in the call chain
  hasOld @14 :Bool;        # the next two fields are set
  oldFailures @15 :Float64; # recent failure ratio on this route of the version that a rollout replaces: 0 to 1
  oldMedianMs @16 :Float64;
  idempotent @17 :Bool;
  priority @18 :UInt8;     # config::Priority
  expectedMs @19 :Int64;   # usual run time at the upstream
  hasFullWorth @20 :Bool;
  fullWorthMs @21 :Int64;  # remaining time to the target latency; below 0: it has passed
  suspect @22 :SuspectRequest; # what the caller's node knows of this request on the upstream's version; absent: nothing
  bodyBytes @23 :UInt64;   # of a body that follows in callBody messages; 0: it is in `body`
  bodyDigest @24 :UInt64;  # XXH3 of that body
}

struct CallBody {
  id @0 :UInt64;
  data @1 :Data;
}

struct AnswerHead {
  id @0 :UInt64;
  status @1 :UInt16;
  headers @2 :List(Header);
  length @3 :Int64;        # of the body in bytes; -1: unknown
}

struct AnswerBody {
  id @0 :UInt64;
  data @1 :Data;
}

struct AnswerEnd {
  id @0 :UInt64;
  bodyBytes @1 :UInt64;    # sent in total; the receiver compares its own count
  load @2 :Load;
  runMicros @3 :UInt64;    # run time at the upstream
  usualRunMs @4 :UInt32;   # recent run time of the route at this upstream, over all callers; 0: unknown
  ownerMicros @5 :UInt64;  # from the call's arrival at the owner to the end of its run; 0: unknown
}

struct Refused {
  id @0 :UInt64;
  code @1 :UInt16;         # base::Code
  text @2 :Text;
  retryAfterMs @3 :Int64;
  load @4 :Load;
  usualRunMs @5 :UInt32;   # as in AnswerEnd
  suspect @6 :SuspectRequest; # what the owner knows of this request; absent: nothing
}

struct Credit {
  id @0 :UInt64;
  bytes @1 :UInt64;        # of the body that the receiver has forwarded
}

struct Load {
  running @0 :UInt32;
  waiting @1 :UInt32;
  slots @2 :UInt32;
  draining @3 :Bool;
  waitMs @4 :Int64;
  warmPerMille @5 :Int32;
  perSecond @6 :Float64;   # requests that may start in a second; 0: no limit
  rateLastsMs @7 :Int64;
  suspects @8 :List(SuspectRequest); # in unsolicited reports: those that have changed
}

# A request under which upstreams have ended, on one of their versions: config::SuspectRequest.
struct SuspectRequest {
  request @0 :UInt64;
  version @1 :Text;
  round @2 :UInt32;
  ends @3 :List(UpstreamEnd);
}

struct UpstreamEnd {
  id @0 :UInt64;
  order @1 :UInt8;
}

struct Claim {
  id @0 :UInt64;           # repeated in the response
  body @1 :Data;           # CBOR, see claim_codec.h
}
