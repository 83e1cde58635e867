#pragma once

#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/settings/SettingsFile.h"

namespace hemlockchute {

/** The id of the coordinator at an IPv4 address and port; the address can be read from it again. Thread safety: any thread. */
KeeperId keeperIdOf(const Endpoint&);
Endpoint endpointOf(KeeperId);

} // namespace hemlockchute
