/*
    hc_settings: reads the daemons' TOML settings.

    A SettingsFile collects every fault, with its line, instead of stopping at the first; the
    structures here are what the roles share.
*/
#pragma once

#include "hemlockchute/settings/HostSettings.h"
#include "hemlockchute/settings/SettingsFile.h"
