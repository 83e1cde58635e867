@0xd1a1f0a7c4e25b91;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("hemlockchute::wire");

struct ReplicaId {
  keeper @0 :UInt64;
  incarnation @1 :UInt64;
}

struct Membership {
  voters @0 :List(ReplicaId);
  learners @1 :List(ReplicaId);
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  payload @3 :Data;
}

struct VoteRequest {
  isPreVote @0 :Bool;
  lastIndex @1 :UInt64;
  lastTerm @2 :UInt64;
}

struct VoteReply {
  isPreVote @0 :Bool;
  granted @1 :Bool;
}

struct LeadRelease {
  successor @0 :ReplicaId;
}

struct AppendRequest {
  previousIndex @0 :UInt64;
  previousTerm @1 :UInt64;
  entries @2 :List(LogEntry);
  committed @3 :UInt64;
  round @4 :UInt64;
  acknowledged @5 :UInt64;
}

struct AppendReply {
  accepted @0 :Bool;
  matched @1 :UInt64;
  round @2 :UInt64;
}

struct SnapshotChunk {
  lastIndex @0 :UInt64;
  lastTerm @1 :UInt64;
  membership @2 :Membership;
  offset @3 :UInt64;
  bytes @4 :Data;
  isLast @5 :Bool;
  round @6 :UInt64;
}

struct SnapshotReply {
  lastIndex @0 :UInt64;
  received @1 :UInt64;
  round @2 :UInt64;
}

struct AgreementMessage {
  from @0 :ReplicaId;
  to @1 :ReplicaId;
  term @2 :UInt64;
  union {
    voteRequest @3 :VoteRequest;
    voteReply @4 :VoteReply;
    appendRequest @5 :AppendRequest;
    appendReply @6 :AppendReply;
    snapshotChunk @7 :SnapshotChunk;
    snapshotReply @8 :SnapshotReply;
    leadRelease @9 :LeadRelease;
  }
}

struct ReplicaSnapshot {
  lastIndex @0 :UInt64;
  lastTerm @1 :UInt64;
  membership @2 :Membership;
  state @3 :Data;
}

struct HardState {
  term @0 :UInt64;
  hasVoted @1 :Bool;
  votedFor @2 :ReplicaId;
}

struct KeeperIdentity {
  incarnation @0 :UInt64;
  hasBegun @1 :Bool;
  initialMembership @2 :Membership;
}
