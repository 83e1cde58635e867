/*
    hc_backend: the backend servers and the platform's list of them.

    Each protocol of model engines and plain services has a plug-in; the host list names the
    backend servers and tells which of them are leaving.
*/
#pragma once

#include "hemlockchute/backend/BackendProtocol.h"
#include "hemlockchute/backend/BackendServer.h"
#include "hemlockchute/backend/HostListClient.h"
#include "hemlockchute/backend/Placement.h"
