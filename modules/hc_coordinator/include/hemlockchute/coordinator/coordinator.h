/*
    hc_coordinator: the role "coordinator".

    Coordinators run on hosts with a disk and form a Raft group that replicates the route
    configuration. The leader also decides which models the backend servers hold, and sends them
    load and unload orders.
*/
#pragma once
