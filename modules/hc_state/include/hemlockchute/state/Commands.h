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

/** Who submits: one team, or an administrator, who may change any section. */
struct Submitter {
    TeamName team;
    bool isAdministrator = false;

    friend bool operator==(const Submitter&, const Submitter&) = default;
};

//==============================================================================
/** Submits a whole document on top of a base version. */
struct SubmitDocument {
    SubmitId submitId;
    Submitter submitter;
    DocumentVersion base;
    std::string text;

    friend bool operator==(const SubmitDocument&, const SubmitDocument&) = default;
};

/** Asks for the right to lead a data centre's placement. */
struct AcquireTerm {
    DataCentreName dataCentre;
    HostName host;
    /** Names this attempt, so that a command delivered twice grants once. */
    std::string attempt;
    /** The hosts of the data centre that may seek the next term. */
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

/** Gives a term up, as at a graceful shutdown. Precondition: TermAnswer::wait of its grant has passed. */
struct ReleaseTerm {
    DataCentreName dataCentre;
    HostName host;
    FencingNumber fencing;

    friend bool operator==(const ReleaseTerm&, const ReleaseTerm&) = default;
};

/** Asks for permits to load replicas of a model; `wanted` is the count to hold afterwards. */
struct RequestPermits {
    DataCentreName dataCentre;
    FencingNumber fencing;
    ModelName model;
    unsigned wanted = 0;
    /** As for ReturnPermits. */
    std::uint64_t sequence = 0;

    friend bool operator==(const RequestPermits&, const RequestPermits&) = default;
};

/** Gives permits back after the unload was confirmed; `held` is the count that remains. */
struct ReturnPermits {
    DataCentreName dataCentre;
    FencingNumber fencing;
    ModelName model;
    unsigned held = 0;
    /**
        Rises with each command of one term about one model, so that a command which was delayed
        or delivered twice changes nothing after a later one. Zero only where no earlier command
        can still be under way.
    */
    std::uint64_t sequence = 0;

    friend bool operator==(const ReturnPermits&, const ReturnPermits&) = default;
};

/** Claims the one run that an idempotency key stands for. */
struct ClaimRun {
    IdempotencyKey key;
    AttemptId attempt;
    ServiceName service;
    /** Digest of method, path and body: the same key with another request is a conflict. */
    Digest request;
    /** How long the record is kept after its last change. */
    Duration retention = 24h;
    /** A claim without an outcome for so long reads as OutcomeUnknown, as when its router died. */
    Duration outcomeTimeout = 10min;

    friend bool operator==(const ClaimRun&, const ClaimRun&) = default;
};

/** Records what became of a claimed run. */
struct RecordOutcome {
    IdempotencyKey key;
    AttemptId attempt;
    unsigned status = 0;
    std::string contentType;
    ByteString body;
    /** True when the answer was longer than the bound, so that only its status is kept. */
    bool bodyTooLong = false;

    friend bool operator==(const RecordOutcome&, const RecordOutcome&) = default;
};

/** Gives up a claim of which it is certain that no byte was sent; also voids a claim that commits later. */
struct VoidRun {
    IdempotencyKey key;
    AttemptId attempt;

    friend bool operator==(const VoidRun&, const VoidRun&) = default;
};

/** Marks a claimed run whose answer will never be known. */
struct AbandonRun {
    IdempotencyKey key;
    AttemptId attempt;

    friend bool operator==(const AbandonRun&, const AbandonRun&) = default;
};

using CommandBody = std::variant<SubmitDocument, AcquireTerm, RenewTerm, ReleaseTerm, RequestPermits, ReturnPermits, ClaimRun, RecordOutcome, VoidRun, AbandonRun>;

/** A command as it stands in the log. */
struct Command {
    /** Given by the keepers' leader when it takes the command in; never runs backwards in the log. */
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
    /** The holder's, whoever that is. */
    FencingNumber fencing;
    HostName holder;
    /** When granted, how long from the moment the request was sent; otherwise what is left of the holder's lease. */
    Duration lease {};
    /** When granted after another holder's term, how long from receipt to wait before the first order. */
    Duration wait {};

    friend bool operator==(const TermAnswer&, const TermAnswer&) = default;
};

/** The answer to the commands about permits. */
struct PermitAnswer {
    /** False when the fencing number is not the data centre's current one; nothing changed. */
    bool accepted = false;
    /** What the data centre holds now. */
    unsigned held = 0;
    /** What it may hold; below `held` when the cap was lowered: unload and give back. */
    unsigned allowed = 0;

    friend bool operator==(const PermitAnswer&, const PermitAnswer&) = default;
};

/** The answer to the commands about runs. */
struct RunAnswer {
    enum class State {
        /** The claim is this attempt's: run it now, once. */
        Claimed,
        /** Another attempt has claimed it and has not ended: wait and ask again. */
        InProgress,
        /** It ran; the outcome is here. */
        Done,
        /** It may have run; nothing more will be known. */
        OutcomeUnknown,
        /** The claim was given up before anything was sent; a new attempt may claim. */
        Void,
        /** The key was used for another request. */
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
