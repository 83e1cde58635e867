/*
    hc_router: accepts callers' requests and dispatches them to backend servers.

    Requests are queued by rank, dispatched to the engines that the controller's placement
    names, and end exactly once: with a complete answer, with a refusal that states whether the
    request may have run, or because their caller disconnected.
*/
#pragma once

#include "hemlockchute/router/DispatchTable.h"
#include "hemlockchute/router/RequestLifecycle.h"
#include "hemlockchute/router/Router.h"
#include "hemlockchute/router/RunRegistry.h"
