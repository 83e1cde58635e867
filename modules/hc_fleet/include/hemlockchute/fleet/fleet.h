/*
    hc_fleet: types and policies shared by gateways and coordinators.

    Route configurations, the list of backend servers, request metadata, the interface of platform
    plug-ins, the messages between gateways and coordinators, and the policies for model placement,
    server choice, retries, quotas of workspaces and prompt parts that crash servers. Only ListingPoller does I/O.
*/
#pragma once

#include "hemlockchute/fleet/CompressedConfiguration.h"
#include "hemlockchute/fleet/ConfigurationAssembler.h"
#include "hemlockchute/fleet/CoordinatorAddress.h"
#include "hemlockchute/fleet/EventStreamSplitter.h"
#include "hemlockchute/fleet/FleetMessages.h"
#include "hemlockchute/fleet/FleetPlatform.h"
#include "hemlockchute/fleet/ListedServer.h"
#include "hemlockchute/fleet/ListingPoller.h"
#include "hemlockchute/fleet/ModelPlacer.h"
#include "hemlockchute/fleet/PromptPartQuarantine.h"
#include "hemlockchute/fleet/QuotaPool.h"
#include "hemlockchute/fleet/RateGrantPool.h"
#include "hemlockchute/fleet/RequestMetadata.h"
#include "hemlockchute/fleet/ResultQueue.h"
#include "hemlockchute/fleet/RetryBudget.h"
#include "hemlockchute/fleet/RouteConfiguration.h"
#include "hemlockchute/fleet/ServerChooser.h"
#include "hemlockchute/fleet/ServerRateLimits.h"
#include "hemlockchute/fleet/WeightCacheEstimate.h"
#include "hemlockchute/fleet/Workspace.h"
