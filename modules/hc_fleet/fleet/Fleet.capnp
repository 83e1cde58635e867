@0xd3a9417be05c62f1;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("hemlockchute::fleetwire");

struct Demand {
  service @0 :Text;
  model @1 :Text;
  adapter @2 :Text;
  waiting @3 :UInt32;
  active @4 :UInt32;
  arrivals @5 :UInt32;
  refused @6 :UInt32;
  rank @7 :UInt32;
}

# Parallel lists of equal length, unless empty: server handles, requests at each server, and prompt tokens still to process.
struct Loads {
  servers @0 :List(UInt32);
  requests @1 :List(UInt32);
  unreadTokens @2 :List(UInt32);
  # Tokens that the requests take of each server's memory; empty if the sender does not count them.
  heldTokens @3 :List(UInt32);
}

struct ServerLife {
  server @0 :Text;
  startedAt @1 :Int64;
}

struct ServerCrash {
  server @0 :ServerLife;
  parts @1 :List(UInt64);
  sentNanosecondsAgo @2 :Int64;
  endedNanosecondsAgo @3 :Int64;
}

struct PartProgress {
  part @0 :UInt64;
  nanosecondsAgo @1 :Int64;
}

struct PromptPartReport {
  crashes @0 :List(ServerCrash);
  progress @1 :List(PartProgress);
  refused @2 :List(UInt64);
  quarantined @3 :List(SuspectPart);
  refusedTogether @4 :List(List(UInt64));
}

struct SuspectPart {
  part @0 :UInt64;
  isQuarantined @1 :Bool;
  nanosecondsUntilTrial @2 :Int64;
  failedTrials @3 :UInt32;
}

struct RateLimit {
  server @0 :ServerLife;
  isInForce @1 :Bool;
  perSecond @2 :Float64;
  sentNanosecondsAgo @3 :Int64;
  receivedNanosecondsAgo @4 :Int64;
}

struct RateDemand {
  server @0 :ServerLife;
  rank @1 :UInt32;
  requests @2 :UInt32;
}

struct RateGrant {
  server @0 :ServerLife;
  rank @1 :UInt32;
  requests @2 :UInt32;
  remainingNanoseconds @3 :Int64;
  waiting @4 :UInt32;
}

struct QuotaReport {
  workspace @0 :Text;
  held @1 :UInt64;
  waiting @2 :UInt64;
  refused @3 :UInt64;
  reserve @4 :UInt64;
  returned @5 :UInt64;
  requestCost @6 :UInt64;
}

struct QuotaGrant {
  workspace @0 :Text;
  granted @1 :UInt64;
  isExhausted @2 :Bool;
  nanosecondsUntilRoom @3 :Int64;
  isScarce @4 :Bool;
}

struct FollowRequest {
  host @0 :Text;
  configuration @1 :UInt64;
  epoch @2 :UInt64;
  revision @3 :UInt64;
  demands @4 :List(Demand);
  loads @5 :Loads;
  gateways @6 :UInt32;
  relay @7 :UInt64;
  dataCentre @8 :Text;
  isLast @9 :Bool;
  leaving @10 :List(ServerLife);
  promptParts @11 :PromptPartReport;
  ended @12 :List(ServerLife);
  rateLimits @13 :List(RateLimit);
  rateDemands @14 :List(RateDemand);
  quotaReports @15 :List(QuotaReport);
  # The version of which parts have arrived, and how many of its compressed bytes.
  configurationPartOf @16 :UInt64;
  configurationOffset @17 :UInt64;
}

struct HeldModel {
  model @0 :Text;
  adapters @1 :List(Text);
}

struct Server {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  dataCentre @3 :Text;
  startedAt @4 :Int64;
  slots @5 :UInt32;
  isLeaving @6 :Bool;
  models @7 :List(HeldModel);
  handle @8 :UInt32;
  revision @9 :UInt64;
}

struct Departure {
  server @0 :Text;
  revision @1 :UInt64;
}

struct Relay {
  coordinator @0 :UInt64;
  dataCentre @1 :Text;
}

struct Expectation {
  service @0 :Text;
  model @1 :Text;
  remainingNanoseconds @2 :Int64;
}

struct FollowReply {
  isCurrent @0 :Bool;
  leader @1 :UInt64;
  coordinators @2 :List(UInt64);
  version @3 :UInt64;
  configuration @4 :Data;
  epoch @5 :UInt64;
  revision @6 :UInt64;
  servers @7 :List(Server);
  expectations @8 :List(Expectation);
  loads @9 :Loads;
  gateways @10 :UInt32;
  isWhole @11 :Bool;
  gone @12 :List(Departure);
  listAgeNanoseconds @13 :Int64;
  hasMore @14 :Bool;
  ageNanoseconds @15 :Int64;
  relays @16 :List(Relay);
  followers @17 :UInt32;
  suspectParts @18 :List(SuspectPart);
  trialParts @19 :List(UInt64);
  rateLimits @20 :List(RateLimit);
  rateGrants @21 :List(RateGrant);
  # Below 0 if the leader could not confirm the version.
  confirmedNanosecondsAgo @22 :Int64 = -1;
  quotaGrants @23 :List(QuotaGrant);
  # Of the whole compressed body of which `configuration` is a part; 0 without one.
  configurationSize @24 :UInt64;
  configurationOffset @25 :UInt64;
}

struct ConfigurationBody {
  version @0 :UInt64;
  body @1 :Data;
}
