@0xaf2b956a0335230d;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("hemlockchute::wire");

# What a connection offers first. Only a caller that proves the cluster's key gets a Session.
interface Gate {
  # Names the caller and challenges the server; the server proves the key first.
  hello @0 (cluster :Text, host :Text, role :Text, challenge :Data) -> (challenge :Data, proof :Data);

  # The caller's proof over both challenges.
  prove @1 (proof :Data) -> (session :Session);
}

# What an authentic peer may do.
interface Session {
  call @0 (method :UInt16, payload :Data, timeoutMs :UInt32) -> (result :CallResult);
  heartbeat @1 ();
}

struct CallResult {
  union {
    payload @0 :Data;
    rejected @1 :Text;
  }
}

struct HostVersion {
  host @0 :Text;
  version @1 :UInt64;
}

struct FollowRequest {
  version @0 :UInt64;
  digestHigh @1 :UInt64;
  digestLow @2 :UInt64;
  inForce @3 :List(HostVersion);
  isCheck @4 :Bool;
}

struct SectionChange {
  team @0 :Text;
  # Absent when the section is gone.
  union {
    removed @1 :Void;
    text @2 :Text;
  }
}

struct SectionDelta {
  baseVersion @0 :UInt64;
  version @1 :UInt64;
  digestHigh @2 :UInt64;
  digestLow @3 :UInt64;
  sections @4 :List(SectionChange);
}

struct FollowReply {
  version @0 :UInt64;
  union {
    nothingNew @1 :Void;
    delta @2 :SectionDelta;
    text @3 :Text;
  }
}

struct KeeperReply {
  kind @0 :UInt8;
  leader @1 :UInt64;
  answer @2 :Data;
}
