#pragma once

#include "hemlockchute/core/Identifiers.h"

#include <cstdint>

namespace hemlockchute {

/** Identifies one incarnation of a backend server, since names and addresses are reused. Thread safety: a plain value. */
struct ServerIncarnation {
    BackendServerName server;
    /** Start time in milliseconds since 1970. */
    std::int64_t startedAt = 0;

    friend auto operator<=>(const ServerIncarnation&, const ServerIncarnation&) = default;
};

} // namespace hemlockchute
