# Commands of the replicated log and their answers, as stored on disk and sent on the wire.
# For compatibility, fields and union members are only ever added, at the end.
@0xe1345fc125549037;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("hemlockchute::state_schema");

struct Digest {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Submitter {
  team @0 :Text;
  isAdministrator @1 :Bool;
}

struct SubmitDocument {
  submitId @0 :Text;
  submitter @1 :Submitter;
  base @2 :UInt64;
  text @3 :Text;
}

struct AcquireTerm {
  dataCentre @0 :Text;
  host @1 :Text;
  attempt @2 :Text;
  seekers @3 :List(Text);
}

struct RenewTerm {
  dataCentre @0 :Text;
  host @1 :Text;
  fencing @2 :UInt64;
  seekers @3 :List(Text);
}

struct ReleaseTerm {
  dataCentre @0 :Text;
  host @1 :Text;
  fencing @2 :UInt64;
}

struct ChangePermits {
  dataCentre @0 :Text;
  fencing @1 :UInt64;
  model @2 :Text;
  count @3 :UInt32;
  sequence @4 :UInt64;
}

struct ClaimRun {
  key @0 :Text;
  attempt @1 :Text;
  service @2 :Text;
  request @3 :Digest;
  retentionNanoseconds @4 :Int64;
  longestRunNanoseconds @5 :Int64;
}

struct RecordOutcome {
  key @0 :Text;
  attempt @1 :Text;
  status @2 :UInt32;
  contentType @3 :Text;
  body @4 :Data;
  bodyTooLong @5 :Bool;
}

struct RunAttempt {
  key @0 :Text;
  attempt @1 :Text;
}

struct Command {
  timeMilliseconds @0 :Int64;
  body :union {
    submitDocument @1 :SubmitDocument;
    acquireTerm @2 :AcquireTerm;
    renewTerm @3 :RenewTerm;
    releaseTerm @4 :ReleaseTerm;
    requestPermits @5 :ChangePermits;
    returnPermits @6 :ChangePermits;
    claimRun @7 :ClaimRun;
    recordOutcome @8 :RecordOutcome;
    voidRun @9 :RunAttempt;
    abandonRun @10 :RunAttempt;
  }
}

struct Fault {
  line @0 :UInt32;
  team @1 :Text;
  what @2 :Text;
}

struct SubmitAnswer {
  verdict @0 :UInt16;
  version @1 :UInt64;
  faults @2 :List(Fault);
}

struct TermAnswer {
  granted @0 :Bool;
  fencing @1 :UInt64;
  holder @2 :Text;
  leaseNanoseconds @3 :Int64;
  waitNanoseconds @4 :Int64;
}

struct PermitAnswer {
  accepted @0 :Bool;
  held @1 :UInt32;
  allowed @2 :UInt32;
}

struct RunAnswer {
  state @0 :UInt16;
  status @1 :UInt32;
  contentType @2 :Text;
  body @3 :Data;
  bodyTooLong @4 :Bool;
}

struct Answer {
  union {
    submit @0 :SubmitAnswer;
    term @1 :TermAnswer;
    permit @2 :PermitAnswer;
    run @3 :RunAnswer;
  }
}
