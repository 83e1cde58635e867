#pragma once

#include "hemlockchute/core/Errors.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/core/Units.h"

#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace hemlockchute {

/** A keeper in one of its lives; a new or emptied data folder is a new incarnation. */
struct ReplicaId {
    KeeperId keeper;
    IncarnationId incarnation;

    friend auto operator<=>(const ReplicaId&, const ReplicaId&) = default;
};

/** Who votes and who only learns. */
struct Membership {
    std::set<ReplicaId> voters;
    std::set<ReplicaId> learners;

    friend bool operator==(const Membership&, const Membership&) = default;
};

/** One entry of the agreed log. */
struct LogEntry {
    enum class Kind : std::uint8_t {
        /** Written by a new leader, so that entries of earlier terms can commit. */
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
    /** When the leader sent this, on its own clock; comes back in the reply and confirms leadership since then. */
    std::uint64_t sentAt = 0;
    /** Up to where the receiver has said in this term that its log matches. */
    LogIndex acknowledged;
};

struct AppendReply {
    bool accepted = false;
    /** Highest index known to match, or where to try next. */
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
    /** As AppendRequest's. */
    std::uint64_t sentAt = 0;
};

struct SnapshotReply {
    LogIndex lastIndex;
    std::uint64_t received = 0;
    std::uint64_t sentAt = 0;
};

/** The leader of this term leads no more, and its lease is over. */
struct LeadRelease {
    /** Who stands for election at once; the others may vote for it. */
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
    /** A membership change is in progress, or the change is not one step. */
    ChangeRefused,
    StateUnusable
};

/** Messages, memberships and entries as Cap'n Proto messages. Thread safety: any thread. */
ByteString encodeMessage(const AgreementMessage&);
Result<AgreementMessage, AgreementErrorCode> decodeMessage(std::string_view bytes);
ByteString encodeMembership(const Membership&);
Result<Membership, AgreementErrorCode> decodeMembership(std::string_view bytes);
ByteString encodeEntry(const LogEntry&);
Result<LogEntry, AgreementErrorCode> decodeEntry(std::string_view bytes);

} // namespace hemlockchute
