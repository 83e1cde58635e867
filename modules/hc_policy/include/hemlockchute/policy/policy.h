/*
    hc_policy: the decisions under load and faults, as plain classes without I/O.

    Which request goes next, which is refused, which backend server takes it, what is tried again,
    and which models are loaded where. An event and `now` go in, effects come out.
*/
#pragma once

#include "hemlockchute/policy/EjectionTable.h"
#include "hemlockchute/policy/PlacementPlanner.h"
#include "hemlockchute/policy/RateShare.h"
#include "hemlockchute/policy/RequestQueue.h"
#include "hemlockchute/policy/RetryBudget.h"
#include "hemlockchute/policy/ServerNotices.h"
#include "hemlockchute/policy/ServerPicker.h"
#include "hemlockchute/policy/SlotReserve.h"
