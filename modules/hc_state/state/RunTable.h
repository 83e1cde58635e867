#pragma once

#include "hemlockchute/state/Commands.h"

#include <optional>
#include <set>

namespace hemlockchute {

//==============================================================================
/**
    The run records: claim and outcome of each call that may run at most once.

    One attempt at a time holds the claim on an idempotency key. A voided attempt never gets the
    claim, even when its claim command arrives after the void. A record expires when its declared
    retention has passed since its last change. Thread safety: one thread at a time.

    @see StateMachine
*/
class RunTable {
public:
    /** The attempt that holds the claim on a key, and its outcome. */
    struct Claim {
        AttemptId attempt;
        ServiceName service;
        Digest request;
        std::chrono::milliseconds retention {};
        /** From this time on, a claim that is still in progress reads as OutcomeUnknown. */
        WallTime outcomeDeadline;
        WallTime expiry;
        /** Its state is InProgress, Done or OutcomeUnknown. */
        RunAnswer answer;
    };

    struct Record {
        std::optional<Claim> claim;
        /** Attempts that may no longer claim, each with the time at which its entry expires. */
        std::map<AttemptId, WallTime> voided;
    };

    explicit RunTable(std::size_t maximumBodyBytes);

    /** Removes the claims and voids that have expired. Call before each of the commands below. */
    void removeExpired(WallTime now);
    RunAnswer claim(const ClaimRun&, WallTime now);
    RunAnswer recordOutcome(const RecordOutcome&, WallTime now);
    RunAnswer voidAttempt(const VoidRun&, WallTime now);
    RunAnswer abandon(const AbandonRun&, WallTime now);

    RunAnswer read(const IdempotencyKey&, WallTime now) const;

    const std::map<IdempotencyKey, Record>& records() const { return m_records; }
    /** Replaces all records. */
    void restore(std::map<IdempotencyKey, Record>);

private:
    /** The record of a key; null when there is none or it holds only voids of other attempts. */
    Record* findRecord(const IdempotencyKey&, const AttemptId&);
    RunAnswer answer(const Record&, WallTime now) const;
    void extendRetention(const IdempotencyKey&, Claim&, WallTime now, Duration atLeast);
    void expire(const IdempotencyKey&, WallTime now);

    std::size_t m_maximumBodyBytes;
    std::map<IdempotencyKey, Record> m_records;
    /** The times at which part of a record may expire. Entries may be out of date, but none is missing. */
    std::set<std::pair<WallTime, IdempotencyKey>> m_deadlines;
};

} // namespace hemlockchute
