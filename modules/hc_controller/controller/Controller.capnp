@0xb2acbfa3b1964d02;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("hemlockchute::wire");

struct OrderEntry {
  engine @0 :Text;
  id @1 :Text;
  fencing @2 :UInt64;
  kind @3 :UInt8;
  model @4 :Text;
  version @5 :Text;
  adapter @6 :Text;
  source @7 :UInt8;
  memory @8 :UInt64;
  lifetimeNs @9 :Int64;
}

struct OrderRecord {
  fencing @0 :UInt64;
  sequence @1 :UInt64;
  orders @2 :List(OrderEntry);
}

struct PromiseRequest {
  fencing @0 :UInt64;
  lengthNs @1 :Int64;
  # True when the holder has given the term up and asks for nothing.
  isReleased @2 :Bool;
}

struct PromiseReply {
  isPromised @0 :Bool;
}

struct ShareEntry {
  demand @0 :UInt32;
  taken @1 :UInt64;
  number @2 :UInt64;
  answers @3 :UInt64;
  lent @4 :UInt64;
}

struct ShareMessage {
  dataCentre @0 :Text;
  isLeader @1 :Bool;
  leader @2 :Text;
  # One for each limit, in the order of FleetShares::Limit.
  reports @3 :List(ShareEntry);
}
