/*
    hc_peer: calls between the system's own processes.

    Every call has a deadline, every connection proves the cluster's key, sends heartbeats and is
    dialled anew when they are missed. On top stand the client of the keepers and the follower of
    the document.
*/
#pragma once

#include "hemlockchute/peer/DocumentFollower.h"
#include "hemlockchute/peer/KeeperClient.h"
#include "hemlockchute/peer/PeerClient.h"
#include "hemlockchute/peer/PeerMethod.h"
#include "hemlockchute/peer/PeerServer.h"
