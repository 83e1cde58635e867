/*
    hc_coordinator: the role "coordinator".

    Coordinators form a group among the hosts with a disk. It agrees on the route configuration; its
    leader also decides which models the backend servers hold, and gives them their orders.
*/
#pragma once
