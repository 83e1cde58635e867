@0xa948fdb4d3a9f3e8;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("hemlockchute::wire");

struct AdapterCount {
    adapter @0 :Text;
    waiting @1 :UInt32;
}

struct ModelDemand {
    model @0 :Text;
    waiting @1 :UInt32;
    bestRankOrder @2 :UInt32;
    oldestWaitNanoseconds @3 :Int64;
    arrivals @4 :UInt32;
    adapters @5 :List(AdapterCount);
}

struct DemandReport {
    router @0 :Text;
    models @1 :List(ModelDemand);
}

struct PlacedModel {
    model @0 :Text;
    adapters @1 :List(Text);
}

struct PlacedEngine {
    name @0 :Text;
    endpoint @1 :Text;
    protocol @2 :Text;
    takesNewWork @3 :Bool;
    running @4 :UInt32;
    queued @5 :UInt32;
    slots @6 :UInt32;
    lagNanoseconds @7 :Int64;
    models @8 :List(PlacedModel);
}

struct ModelReady {
    model @0 :Text;
    nanoseconds @1 :Int64;
}

struct PlacementView {
    isLeader @0 :Bool;
    leader @1 :Text;
    engines @2 :List(PlacedEngine);
    readyIn @3 :List(ModelReady);
}
