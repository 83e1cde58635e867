/*
    hc_fleet: what gateways and coordinators share.

    Route configurations, the list of backend servers, the metadata of a request, the interface that
    a platform's plug-in translates to, the messages between gateways and coordinators, and the
    decisions about placing models, picking servers and resending. Only ListingPoller does I/O.
*/
#pragma once

#include "hemlockchute/fleet/CoordinatorAddress.h"
#include "hemlockchute/fleet/EventStreamSplitter.h"
#include "hemlockchute/fleet/FleetMessages.h"
#include "hemlockchute/fleet/FleetPlatform.h"
#include "hemlockchute/fleet/ListedServer.h"
#include "hemlockchute/fleet/ListingPoller.h"
#include "hemlockchute/fleet/ModelPlacer.h"
#include "hemlockchute/fleet/RequestMetadata.h"
#include "hemlockchute/fleet/ResultQueue.h"
#include "hemlockchute/fleet/RetryBudget.h"
#include "hemlockchute/fleet/RouteConfiguration.h"
#include "hemlockchute/fleet/ServerChooser.h"
#include "hemlockchute/fleet/WeightCacheEstimate.h"
