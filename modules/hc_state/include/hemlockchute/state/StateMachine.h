#pragma once

#include "hemlockchute/core/Errors.h"
#include "hemlockchute/state/CommandCodec.h"
#include "hemlockchute/state/Commands.h"

#include <memory>
#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    The replicated state: applies commands in log order and answers each.

    It is deterministic, so the same commands give the same state and the same answers on every
    keeper: it does no I/O and reads no clock, and takes the time from each command. Thread safety:
    one thread at a time.

    @see Command
*/
class StateMachine {
public:
    /** Limits on what is kept. */
    struct Options {
        /** Longest body kept in a run record; an answer with a longer one is kept without it. */
        std::size_t maximumRunBodyBytes = 64U << 10U;
        /** Submissions remembered, so that a resent one gets its first answer. */
        std::size_t rememberedSubmissions = 1024;
        /** Length of a controller's lease. */
        Duration termLease = 5s;

        Options withMaximumRunBodyBytes(std::size_t) const;
        Options withRememberedSubmissions(std::size_t) const;
        Options withTermLease(Duration) const;
    };

    explicit StateMachine(Options);
    ~StateMachine();
    StateMachine(StateMachine&&) noexcept;
    StateMachine& operator=(StateMachine&&) noexcept;

    //==============================================================================
    /** Applies the command at the given log index. Precondition: the index is above lastApplied(). */
    Answer apply(LogIndex, const Command&);
    /** The log index of the last command applied. */
    LogIndex lastApplied() const;

    //==============================================================================
    /** The document in force; never null, version 0 is empty. */
    DocumentPointer document() const;
    /** The run record of a key, as of the time of the last command applied. */
    RunAnswer run(const IdempotencyKey&) const;
    /** The last term of a data centre. `granted` is true while the term has a holder, even after its lease has ended. */
    TermAnswer term(const DataCentreName&) const;
    /** The permits a data centre holds, by model. */
    std::map<ModelName, unsigned> permits(const DataCentreName&) const;

    //==============================================================================
    /** Serialises the whole state. */
    ByteString snapshot() const;
    /** Restores a state from the bytes of snapshot(). */
    static Result<StateMachine, StateErrorCode> restore(std::string_view bytes, Options);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/** The index of the group of keepers that stores a key's run record. Precondition: there is a group. Thread safety: any thread. */
unsigned runShard(const IdempotencyKey&, unsigned groupCount);

} // namespace hemlockchute
