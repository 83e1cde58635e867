/*
    hc_core: what every other module stands on.

    Identifiers and units as distinct types, errors per layer, time that can be injected, numbered
    log events, and the kernel: a registry in which plug-ins enter themselves and the frame in which
    a daemon starts, reloads and stops.
*/
#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Digest.h"
#include "hemlockchute/core/Errors.h"
#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/core/EventTable.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/core/Kernel.h"
#include "hemlockchute/core/LogQueue.h"
#include "hemlockchute/core/PluginRegistry.h"
#include "hemlockchute/core/RoleService.h"
#include "hemlockchute/core/ServerIncarnation.h"
#include "hemlockchute/core/Units.h"
