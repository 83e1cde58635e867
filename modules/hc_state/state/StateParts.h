#pragma once

#include "hemlockchute/state/StateMachine.h"
#include "state/DocumentState.h"
#include "state/PermitTable.h"
#include "state/RunTable.h"
#include "state/TermTable.h"

namespace hemlockchute {

/** All that the state machine holds. Thread safety: one thread at a time. */
struct StateParts {
    explicit StateParts(const StateMachine::Options& options)
        : document(options.rememberedSubmissions)
        , terms(options.termLease)
        , runs(options.maximumRunBodyBytes)
    {
    }

    LogIndex lastApplied;
    /** The time of the last command applied; never runs backwards. */
    WallTime time;
    DocumentState document;
    TermTable terms;
    PermitTable permits;
    RunTable runs;
};

/** The parts as a Cap'n Proto message. Thread safety: as the parts'. */
ByteString encodeSnapshot(const StateParts&);
/** Replaces what the parts hold. On an error they are in no defined state. */
Result<void, StateErrorCode> decodeSnapshot(std::string_view bytes, StateParts&);

} // namespace hemlockchute
