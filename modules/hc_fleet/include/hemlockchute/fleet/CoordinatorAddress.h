#pragma once

#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/settings/SettingsFile.h"

namespace hemlockchute {

/** Encodes a coordinator's IPv4 address and port as its id, and decodes them again. Thread safety: any thread. */
KeeperId keeperIdOf(const Endpoint&);
Endpoint endpointOf(KeeperId);

} // namespace hemlockchute
