#pragma once

#include "hemlockchute/state/Commands.h"

#include <optional>
#include <set>

namespace hemlockchute {

//==============================================================================
/**
    The run records: what became of each call that may run at most once.

    A key is claimed by one attempt at a time. An attempt that was voided never claims, even when
    its claim arrives after the void. Records end their declared retention after their last change.
    Thread safety: one thread at a time.

    @see StateMachine
*/
class RunTable {
public:
    /** The attempt that holds a key, and what came of it. */
    struct Claim {
        AttemptId attempt;
        ServiceName service;
        Digest request;
        std::chrono::milliseconds retention {};
        /** From here on the claim reads as OutcomeUnknown if it is still in progress. */
        WallTime outcomeDeadline;
        WallTime expiry;
        /** Its state is InProgress, Done or OutcomeUnknown. */
        RunAnswer answer;
    };

    struct Record {
        std::optional<Claim> claim;
        /** Attempts that may no longer claim, each with the time of its own end. */
        std::map<AttemptId, WallTime> voided;
    };

    explicit RunTable(std::size_t maximumBodyBytes);

    /** Drops what has expired. Call before each of the commands below. */
    void removeExpired(WallTime now);
    RunAnswer claim(const ClaimRun&, WallTime now);
    RunAnswer recordOutcome(const RecordOutcome&, WallTime now);
    RunAnswer voidAttempt(const VoidRun&, WallTime now);
    RunAnswer abandon(const AbandonRun&, WallTime now);

    RunAnswer read(const IdempotencyKey&, WallTime now) const;

    const std::map<IdempotencyKey, Record>& records() const { return m_records; }
    /** Takes the place of all that is held. */
    void restore(std::map<IdempotencyKey, Record>);

private:
    /** The record of a key as far as it says something about an attempt. */
    Record* findRecord(const IdempotencyKey&, const AttemptId&);
    RunAnswer answer(const Record&, WallTime now) const;
    void extendRetention(const IdempotencyKey&, Claim&, WallTime now, Duration atLeast);
    void expire(const IdempotencyKey&, WallTime now);

    std::size_t m_maximumBodyBytes;
    std::map<IdempotencyKey, Record> m_records;
    /** When something of a record may end; an entry may be out of date, but never missing. */
    std::set<std::pair<WallTime, IdempotencyKey>> m_deadlines;
};

} // namespace hemlockchute
