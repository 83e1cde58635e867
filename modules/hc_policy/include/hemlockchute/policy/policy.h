/*
    hc_policy: scheduling, admission, load balancing, retry and placement decisions, as plain
    classes without I/O.

    Inputs are events and the current time; outputs are decisions for the caller to carry out.
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
