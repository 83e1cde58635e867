/*
    hc_http: HTTP/1.1 for callers, backend servers, the platform and operators.

    A server and a client on Boost.Beast with limits on time and memory, written as Boost.Asio
    coroutines. Beast types do not appear in the public headers.
*/
#pragma once

#include "hemlockchute/http/BufferBudget.h"
#include "hemlockchute/http/HttpClient.h"
#include "hemlockchute/http/HttpMessage.h"
#include "hemlockchute/http/HttpServer.h"
#include "hemlockchute/http/RequestBufferBudget.h"
#include "hemlockchute/http/WatchdogTimer.h"
