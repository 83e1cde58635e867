#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Digest.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/core/Units.h"
#include "hemlockchute/document/DocumentParser.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace hemlockchute {

/** The author of a submission: a team, which may change only its own section, or an administrator, who may change any. */
struct Submitter {
    TeamName team;
    bool isAdministrator = false;

    friend bool operator==(const Submitter&, const Submitter&) = default;
};

//==============================================================================
/** Replaces the document, provided that the version in force is still `base`. */
struct SubmitDocument {
    SubmitId submitId;
    Submitter submitter;
    DocumentVersion base;
    std::string text;

    friend bool operator==(const SubmitDocument&, const SubmitDocument&) = default;
};

/** Requests the term in which a host leads a data centre's placement. */
struct AcquireTerm {
    DataCentreName dataCentre;
    HostName host;
    /** Identifies the attempt, so that a command that is delivered twice grants only one term. */
    std::string attempt;
    /** The hosts of the data centre that may take the next term. */
    std::vector<HostName> eligibleHosts;

    friend bool operator==(const AcquireTerm&, const AcquireTerm&) = default;
};

/** Renews a term before its lease ends. */
struct RenewTerm {
    DataCentreName dataCentre;
    HostName host;
    FencingNumber fencing;
    std::vector<HostName> eligibleHosts;

    friend bool operator==(const RenewTerm&, const RenewTerm&) = default;
};

/** Gives a term up before its lease ends, as at a graceful shutdown. Precondition: TermAnswer::wait of its grant has passed. */
struct ReleaseTerm {
    DataCentreName dataCentre;
    HostName host;
    FencingNumber fencing;

    friend bool operator==(const ReleaseTerm&, const ReleaseTerm&) = default;
};

/** Requests permits to load replicas of a model; `wanted` is the total count to hold afterwards. */
struct RequestPermits {
    DataCentreName dataCentre;
    FencingNumber fencing;
    ModelName model;
    unsigned wanted = 0;
    /** See ReturnPermits::sequence. */
    std::uint64_t sequence = 0;

    friend bool operator==(const RequestPermits&, const RequestPermits&) = default;
};

/** Returns permits after the unload was confirmed; `held` is the count that remains. */
struct ReturnPermits {
    DataCentreName dataCentre;
    FencingNumber fencing;
    ModelName model;
    unsigned held = 0;
    /**
        Increases with each command for one model within a term, so that a delayed or duplicate
        command has no effect after a later one. Zero skips this check; use it only where no
        earlier command can still be in flight.
    */
    std::uint64_t sequence = 0;

    friend bool operator==(const ReturnPermits&, const ReturnPermits&) = default;
};

/** Claims the single run that an idempotency key allows. */
struct ClaimRun {
    IdempotencyKey key;
    AttemptId attempt;
    ServiceName service;
    /** Digest of method, path and body; the same key with another digest is a conflict. */
    Digest request;
    /** How long the record is kept after its last change. */
    Duration retention = 24h;
    /** A claim without an outcome after this time reads as OutcomeUnknown, for example after a crash of its router. */
    Duration outcomeTimeout = 10min;

    friend bool operator==(const ClaimRun&, const ClaimRun&) = default;
};

/** Records the outcome of a claimed run. */
struct RecordOutcome {
    IdempotencyKey key;
    AttemptId attempt;
    unsigned status = 0;
    std::string contentType;
    ByteString body;
    /** True when the body exceeded the size limit and was left out. */
    bool bodyTooLong = false;

    friend bool operator==(const RecordOutcome&, const RecordOutcome&) = default;
};

/** Withdraws a claim when it is certain that no byte of the request was sent; also rejects a claim by this attempt that commits later. */
struct VoidRun {
    IdempotencyKey key;
    AttemptId attempt;

    friend bool operator==(const VoidRun&, const VoidRun&) = default;
};

/** Marks a claimed run whose outcome can no longer be learned. */
struct AbandonRun {
    IdempotencyKey key;
    AttemptId attempt;

    friend bool operator==(const AbandonRun&, const AbandonRun&) = default;
};

using CommandBody = std::variant<SubmitDocument, AcquireTerm, RenewTerm, ReleaseTerm, RequestPermits, ReturnPermits, ClaimRun, RecordOutcome, VoidRun, AbandonRun>;

/** A command as stored in the replicated log. */
struct Command {
    /** Wall-clock time of the keeper that proposed the command. StateMachine keeps the latest time seen, so its time never goes backwards. */
    WallTime time;
    CommandBody body;

    friend bool operator==(const Command&, const Command&) = default;
};

//==============================================================================
/** The answer to SubmitDocument. */
struct SubmitAnswer {
    enum class Verdict {
        Accepted,
        /** Another document was accepted since the base version. */
        Conflict,
        /** The document has faults; nothing changed. */
        Rejected,
        /** A section of another team was changed; nothing changed. */
        Forbidden
    };

    Verdict verdict = Verdict::Rejected;
    /** The version accepted, or the version in force. */
    DocumentVersion version;
    DocumentFaults faults;

    friend bool operator==(const SubmitAnswer&, const SubmitAnswer&) = default;
};

/** The answer to the commands about terms. */
struct TermAnswer {
    bool granted = false;
    /** Number of the last term of the data centre, whoever holds it. */
    FencingNumber fencing;
    HostName holder;
    /** When granted, the lease's length from the time the request was sent; otherwise the rest of the holder's lease. */
    Duration lease {};
    /** When granted after a term that was not given up, how long to wait from receipt before the first order. */
    Duration wait {};

    friend bool operator==(const TermAnswer&, const TermAnswer&) = default;
};

/** The answer to the commands about permits. */
struct PermitAnswer {
    /** False when the fencing number is not the data centre's current one; nothing changed. */
    bool accepted = false;
    /** Permits that the data centre holds now. */
    unsigned held = 0;
    /** Permits that it may keep. Below `held` after the cap was lowered: unload the difference and return the permits. */
    unsigned allowed = 0;

    friend bool operator==(const PermitAnswer&, const PermitAnswer&) = default;
};

/** The answer to the commands about runs. */
struct RunAnswer {
    enum class State {
        /** This attempt holds the claim: run the call now, once. */
        Claimed,
        /** Another attempt holds the claim and has no outcome yet: wait and ask again. */
        InProgress,
        /** The call ran; the answer holds its outcome. */
        Done,
        /** The call may have run, but its outcome is not known. */
        OutcomeUnknown,
        /** The claim was withdrawn before anything was sent; a new attempt may claim. */
        Void,
        /** The key was used for a different request. */
        KeyConflict,
        /** There is no such record. */
        None
    };

    State state = State::None;
    unsigned status = 0;
    std::string contentType;
    ByteString body;
    bool bodyTooLong = false;

    friend bool operator==(const RunAnswer&, const RunAnswer&) = default;
};

using Answer = std::variant<SubmitAnswer, TermAnswer, PermitAnswer, RunAnswer>;

} // namespace hemlockchute
