#pragma once

#include "hemlockchute/core/Errors.h"
#include "hemlockchute/state/CommandCodec.h"
#include "hemlockchute/state/Commands.h"

#include <memory>
#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    The agreed state: applies commands in the order of the log and answers each.

    It does no I/O and reads no clock: time comes in with each command. The same commands give the
    same state and the same answers on every keeper. Thread safety: one thread at a time.

    @see Command
*/
class StateMachine {
public:
    /** Bounds on what is kept. */
    struct Options {
        /** Longest answer kept in a run record; a longer one is kept without its body. */
        std::size_t maximumRunBodyBytes = 64U << 10U;
        /** Submit ids remembered, so that a resent submission gets its first answer. */
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
    /** Applies the command at the given place in the log. Precondition: the index is above lastApplied(). */
    Answer apply(LogIndex, const Command&);
    /** The place of the last command applied. */
    LogIndex lastApplied() const;

    //==============================================================================
    /** The document in force; never null, version 0 is empty. */
    DocumentPointer document() const;
    /** What a key's run came to, as of the last command applied. */
    RunAnswer run(const IdempotencyKey&) const;
    /** Who leads a data centre's placement. */
    TermAnswer term(const DataCentreName&) const;
    /** The permits a data centre holds, by model. */
    std::map<ModelName, unsigned> permits(const DataCentreName&) const;

    //==============================================================================
    /** The whole state as bytes. */
    ByteString snapshot() const;
    /** The state that snapshot() gave. */
    static Result<StateMachine, StateErrorCode> restore(std::string_view bytes, Options);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/** The group of keepers that a key's run record lives in. Thread safety: any thread. */
unsigned runShard(const IdempotencyKey&, unsigned groupCount);

} // namespace hemlockchute
