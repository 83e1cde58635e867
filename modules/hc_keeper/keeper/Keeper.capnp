@0xe1c7f4d25b8a9036;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("hemlockchute::keeperwire");

struct HostVersion {
  host @0 :Text;
  version @1 :UInt64;
}

struct MemberStatus {
  keeper @0 :UInt64;
  incarnation @1 :UInt64;
  isVoter @2 :Bool;
  matched @3 :UInt64;
}

struct TermStatus {
  dataCentre @0 :Text;
  granted @1 :Bool;
  fencing @2 :UInt64;
  holder @3 :Text;
  leaseNanoseconds @4 :Int64;
}

struct KeeperReport {
  keeper @0 :UInt64;
  identity @1 :Data;
  leader @2 :UInt64;
  term @3 :UInt64;
  committed @4 :UInt64;
  version @5 :UInt64;
  members @6 :List(MemberStatus);
  inForce @7 :List(HostVersion);
  terms @8 :List(TermStatus);
}

struct MemberChange {
  remove @0 :UInt64;
  add @1 :UInt64;
  addHost @2 :Text;
  addDataCentre @3 :Text;
  addPeer @4 :Text;
  timeoutNanoseconds @5 :Int64;
}

struct MemberChangeReply {
  done @0 :Bool;
  code @1 :UInt8;
  detail @2 :Text;
}
