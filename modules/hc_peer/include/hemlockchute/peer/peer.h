/*
    hc_peer: calls between the system's own processes.

    Every call has a deadline. Every connection is authenticated with the cluster's key, and is
    replaced when it misses its heartbeats. KeeperClient and DocumentFollower are built on top.
*/
#pragma once

#include "hemlockchute/peer/DocumentFollower.h"
#include "hemlockchute/peer/KeeperClient.h"
#include "hemlockchute/peer/PeerClient.h"
#include "hemlockchute/peer/PeerMethod.h"
#include "hemlockchute/peer/PeerServer.h"
