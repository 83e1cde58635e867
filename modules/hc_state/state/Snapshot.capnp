# A snapshot of the whole replicated state. For compatibility, fields are only ever added, at the end.
@0x96c8f9439cff7eee;

using Cxx = import "/capnp/c++.capnp";
using Command = import "Command.capnp";
$Cxx.namespace("hemlockchute::state_schema");

struct Submission {
  id @0 :Text;
  submitter @1 :Command.Submitter;
  digest @2 :Command.Digest;
  answer @3 :Command.SubmitAnswer;
}

struct TermRecord {
  dataCentre @0 :Text;
  fencing @1 :UInt64;
  holder @2 :Text;
  leaseEndMilliseconds @3 :Int64;
  seekers @4 :List(Text);
  grantedAttempts @5 :List(Text);
}

struct PermitRecord {
  model @0 :Text;
  dataCentre @1 :Text;
  held @2 :UInt32;
  fencing @3 :UInt64;
  sequence @4 :UInt64;
}

struct VoidedAttempt {
  attempt @0 :Text;
  expiryMilliseconds @1 :Int64;
}

struct RunRecord {
  key @0 :Text;
  hasClaim @1 :Bool;
  attempt @2 :Text;
  service @3 :Text;
  request @4 :Command.Digest;
  retentionMilliseconds @5 :Int64;
  overdueMilliseconds @6 :Int64;
  expiryMilliseconds @7 :Int64;
  answer @8 :Command.RunAnswer;
  voided @9 :List(VoidedAttempt);
}

struct Snapshot {
  format @0 :UInt32;
  lastApplied @1 :UInt64;
  timeMilliseconds @2 :Int64;
  documentVersion @3 :UInt64;
  documentText @4 :Text;
  submissions @5 :List(Submission);
  terms @6 :List(TermRecord);
  permits @7 :List(PermitRecord);
  runs @8 :List(RunRecord);
}
