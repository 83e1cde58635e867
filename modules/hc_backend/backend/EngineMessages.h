#pragma once

#include "hemlockchute/backend/BackendProtocol.h"

#include <string>
#include <string_view>

namespace hemlockchute {

/** Reads an engine's answer to GET /v1/state. Thread safety: any thread. */
Result<EngineState, BackendErrorCode> parseEngineState(std::string_view json);
/** The body of POST /v1/orders. Thread safety: any thread. */
ByteString encodeEngineOrder(const EngineOrder&);
/** The body of POST /v1/infer. Thread safety: any thread. */
Result<ByteString, BackendErrorCode> encodeInferBody(InferRequest&);

//==============================================================================
/**
    Checks that the events of an answer belong to one attempt, and that its tokens come in order
    without gaps or duplicates.

    Thread safety: one thread at a time.
*/
class TokenEventValidator {
public:
    /** `firstIndex` is the index of the first token expected: the number of tokens already received. */
    TokenEventValidator(AttemptId, std::uint64_t firstIndex);

    /** Returns the event's token, nothing for the end marker, or an error for an event that is malformed, foreign or out of order. */
    Result<std::optional<TokenEvent>, BackendErrorCode> validate(std::string_view data);
    /** True once the end marker has arrived. */
    bool isDone() const { return m_done; }

private:
    AttemptId m_attempt;
    std::uint64_t m_nextIndex;
    bool m_done = false;
};

} // namespace hemlockchute
