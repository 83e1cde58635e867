/*
    hc_backend: the backend servers and the platform's list of them.

    One plug-in per protocol speaks to model engines and plain services; the host list says which
    servers there are and which are leaving.
*/
#pragma once

#include "hemlockchute/backend/BackendProtocol.h"
#include "hemlockchute/backend/BackendServer.h"
#include "hemlockchute/backend/HostListClient.h"
#include "hemlockchute/backend/Placement.h"
