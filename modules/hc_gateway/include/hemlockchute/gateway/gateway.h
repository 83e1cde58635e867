/*
    hc_gateway: the role "gateway".

    Takes callers' requests, finds their route in the agreed configuration, waits for the model that
    they need, forwards them byte for byte to a backend server and passes the answer on. All that it
    knows can be rebuilt: it keeps nothing on disk.
*/
#pragma once
