/*
    hc_settings: reads the daemons' TOML settings.

    A SettingsFile collects every fault, with its line, instead of stopping at the first.
    HostSettings holds the settings that the roles share.
*/
#pragma once

#include "hemlockchute/settings/HostSettings.h"
#include "hemlockchute/settings/SettingsFile.h"
