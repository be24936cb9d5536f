# Messages about claims between owners' nodes and keepers; the body of a link's claim message.
# The structs correspond field by field to those of policy/claim_keeper.h.
@0xa6f1c93b7d0e5582;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("appletally::inner::wire");

struct ClaimMessage {
  union {
    ask @0 :ClaimAsk;
    finish @1 :ClaimFinish;
    release @2 :ClaimRelease;
    answer @3 :ClaimAnswer;
    noted @4 :ClaimRelease;
    catchUpAsk @5 :CatchUpAsk;
    catchUpAnswer @6 :CatchUpAnswer;
  }
}

struct ClaimKey {
  service @0 :Text;
  caller @1 :Data;
  key @2 :Data;
}

struct ClaimField {
  name @0 :Data;
  value @1 :Data;
}

struct ClaimOutcome {
  status @0 :UInt16;
  headers @1 :List(ClaimField);
  body @2 :Data;
  bodyKept @3 :Bool;
}

struct ClaimAsk {
  number @0 :UInt64;
  key @1 :ClaimKey;
  digest @2 :UInt64;
  attempt @3 :UInt64;
  runWithinMs @4 :Int64;
}

struct ClaimFinish {
  key @0 :ClaimKey;
  digest @1 :UInt64;
  attempt @2 :UInt64;
  outcome @3 :ClaimOutcome;
  leftToRunMs @4 :Int64;
}

struct ClaimRelease {
  key @0 :ClaimKey;
  attempt @1 :UInt64;
}

struct Seen {
  host @0 :Text;
  incarnation @1 :UInt64;
}

struct ClaimAnswer {
  key @0 :ClaimKey;
  attempt @1 :UInt64;
  reply @2 :UInt8;          # policy::ClaimReply
  number @3 :UInt64;
  incarnation @4 :UInt64;
  seen @5 :List(Seen);
  holder @6 :UInt64;
  overdue @7 :Bool;
  outcome @8 :ClaimOutcome; # absent: none
}

struct Keeper {
  host @0 :Text;
  ip @1 :Text;
  port @2 :UInt16;
}

struct KeeperSet {
  number @0 :UInt64;
  members @1 :List(Keeper);
  previous @2 :List(Keeper);
}

struct CatchUpAsk {
  host @0 :Text;
  incarnation @1 :UInt64;
  set @2 :KeeperSet;
  after @3 :ClaimKey;       # absent: request the first page
}

struct ClaimHolder {
  attempt @0 :UInt64;
  digest @1 :UInt64;
}

struct CaughtClaim {
  key @0 :ClaimKey;
  digest @1 :UInt64;
  holders @2 :List(ClaimHolder);
  outcome @3 :ClaimOutcome; # absent: none
  keepForMs @4 :Int64;
  overdueInMs @5 :Int64;
}

struct CatchUpAnswer {
  host @0 :Text;
  incarnation @1 :UInt64;
  asker @2 :UInt64;
  catchingUp @3 :Bool;
  after @4 :ClaimKey;       # absent: none
  claims @5 :List(CaughtClaim);
  last @6 :Bool;
}
