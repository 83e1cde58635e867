#pragma once

#include "hemlockchute/core/Errors.h"
#include "hemlockchute/state/Commands.h"

#include <string_view>

namespace hemlockchute {

enum class StateErrorCode {
    Malformed,
    VersionTooNew
};

/** Commands and answers as Cap'n Proto messages. Thread safety: any thread. */
ByteString encodeCommand(const Command&);
Result<Command, StateErrorCode> decodeCommand(std::string_view bytes);
ByteString encodeAnswer(const Answer&);
Result<Answer, StateErrorCode> decodeAnswer(std::string_view bytes);

} // namespace hemlockchute
