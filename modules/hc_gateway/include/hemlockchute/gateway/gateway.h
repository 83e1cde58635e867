/*
    hc_gateway: the role "gateway".

    A reverse proxy: finds the route of each caller's request in the agreed configuration, waits
    until a backend server holds the model that it needs, forwards the request byte for byte and
    returns the response. Its state can be rebuilt from the coordinators; nothing is kept on disk.
*/
#pragma once
