#pragma once

#include "hemlockchute/core/Errors.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/core/Units.h"

#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace hemlockchute {

/** Identifies a replica by keeper and incarnation. A new or emptied data folder starts a new incarnation. */
struct ReplicaId {
    KeeperId keeper;
    IncarnationId incarnation;

    friend auto operator<=>(const ReplicaId&, const ReplicaId&) = default;
};

/** The replicas of a group: voters count towards the quorum, learners only receive the log. */
struct Membership {
    std::set<ReplicaId> voters;
    std::set<ReplicaId> learners;

    friend bool operator==(const Membership&, const Membership&) = default;
};

/** One entry of the replicated log. */
struct LogEntry {
    enum class Kind : std::uint8_t {
        /** A no-op that a new leader appends, so that entries of earlier terms can commit. */
        Empty = 0,
        Command = 1,
        Membership = 2
    };

    LogIndex index;
    AgreementTerm term;
    Kind kind = Kind::Empty;
    ByteString payload;

    friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

struct VoteRequest {
    bool isPreVote = false;
    LogIndex lastIndex;
    AgreementTerm lastTerm;
};

struct VoteReply {
    bool isPreVote = false;
    bool granted = false;
};

struct AppendRequest {
    LogIndex previousIndex;
    AgreementTerm previousTerm;
    std::vector<LogEntry> entries;
    LogIndex committed;
    /**
        The send time in nanoseconds on the leader's clock; the schema calls it `round`. The reply
        echoes it and so confirms the leadership as of that time.
    */
    std::uint64_t sentAt = 0;
    /** Highest index that the receiver has acknowledged in this term. */
    LogIndex acknowledged;
};

struct AppendReply {
    bool accepted = false;
    /** Highest matching index if accepted, otherwise the index after which the leader should retry. */
    LogIndex matched;
    std::uint64_t sentAt = 0;
};

struct SnapshotChunk {
    LogIndex lastIndex;
    AgreementTerm lastTerm;
    Membership membership;
    std::uint64_t offset = 0;
    ByteString bytes;
    bool isLast = false;
    /** See AppendRequest::sentAt. */
    std::uint64_t sentAt = 0;
};

struct SnapshotReply {
    LogIndex lastIndex;
    std::uint64_t received = 0;
    std::uint64_t sentAt = 0;
};

/** Announces that the leader of this term has stepped down and given up its lease. */
struct LeadRelease {
    /** Starts an election at once; the other voters need not wait for the lease to expire. */
    ReplicaId successor;
};

using AgreementBody = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply, LeadRelease>;

/** One message between keepers. */
struct AgreementMessage {
    ReplicaId from;
    ReplicaId to;
    AgreementTerm term;
    AgreementBody body;
};

enum class AgreementErrorCode {
    Malformed,
    NotLeader,
    /** Another membership change is in progress, or the wanted one is not a valid change of one member. */
    ChangeRefused,
    StateUnusable
};

/** Cap'n Proto encoding of messages, memberships and log entries. Thread safety: any thread. */
ByteString encodeMessage(const AgreementMessage&);
Result<AgreementMessage, AgreementErrorCode> decodeMessage(std::string_view bytes);
ByteString encodeMembership(const Membership&);
Result<Membership, AgreementErrorCode> decodeMembership(std::string_view bytes);
ByteString encodeEntry(const LogEntry&);
Result<LogEntry, AgreementErrorCode> decodeEntry(std::string_view bytes);

} // namespace hemlockchute
