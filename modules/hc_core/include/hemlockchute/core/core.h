/*
    hc_core: the foundation of every other module.

    Identifiers and units as distinct types, errors per layer, injectable clocks, numbered log
    events, and the kernel: the plug-in registry and the start, reload and stop of a daemon.
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
