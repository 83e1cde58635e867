/*
    hc_router: takes callers' requests and has backend servers answer them.

    Requests wait in a queue by rank, are dispatched to the engines that the controller's placement
    names, and end exactly once: with a whole answer, a refusal that says truly what was run, or
    because their caller left.
*/
#pragma once

#include "hemlockchute/router/DispatchTable.h"
#include "hemlockchute/router/RequestLifecycle.h"
#include "hemlockchute/router/Router.h"
#include "hemlockchute/router/RunRegistry.h"
