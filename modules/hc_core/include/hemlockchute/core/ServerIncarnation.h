#pragma once

#include "hemlockchute/core/Identifiers.h"

#include <cstdint>

namespace hemlockchute {

/** One life of a backend server; ids and addresses are used again. Thread safety: a plain value. */
struct ServerIncarnation {
    BackendServerName server;
    /** When it began, in milliseconds since 1970. */
    std::int64_t startedAt = 0;

    friend auto operator<=>(const ServerIncarnation&, const ServerIncarnation&) = default;
};

} // namespace hemlockchute
