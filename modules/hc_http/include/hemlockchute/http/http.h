/*
    hc_http: HTTP/1.1 for callers, backend servers, the platform and operators.

    A server and a client over Boost.Beast, each bounded in time and memory, written as coroutines
    on Boost.Asio. Beast itself stays inside the module.
*/
#pragma once

#include "hemlockchute/http/HttpClient.h"
#include "hemlockchute/http/HttpMessage.h"
#include "hemlockchute/http/HttpServer.h"
