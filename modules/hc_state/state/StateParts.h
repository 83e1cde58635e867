#pragma once

#include "hemlockchute/state/StateMachine.h"
#include "state/DocumentState.h"
#include "state/PermitTable.h"
#include "state/RunTable.h"
#include "state/TermTable.h"

namespace hemlockchute {

/** The tables that make up the replicated state. Thread safety: one thread at a time. */
struct StateParts {
    explicit StateParts(const StateMachine::Options& options)
        : document(options.rememberedSubmissions)
        , terms(options.termLease)
        , runs(options.maximumRunBodyBytes)
    {
    }

    LogIndex lastApplied;
    /** The latest time of the commands applied; never goes backwards. */
    WallTime time;
    DocumentState document;
    TermTable terms;
    PermitTable permits;
    RunTable runs;
};

/** Encodes the parts as a Cap'n Proto message. Thread safety: one thread at a time. */
ByteString encodeSnapshot(const StateParts&);
/** Replaces the contents of the parts, which are unspecified after an error. */
Result<void, StateErrorCode> decodeSnapshot(std::string_view bytes, StateParts&);

} // namespace hemlockchute
