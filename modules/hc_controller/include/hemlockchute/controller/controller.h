/*
    hc_controller: the role "controller".

    One controller per entry host; one leads per data centre. It turns what requests wait for into
    orders to engines. Who may lead is decided by LeaseKeeper, what may be true of the engines by
    OrderBook; both do no I/O.
*/
#pragma once

#include "hemlockchute/controller/LeaseKeeper.h"
#include "hemlockchute/controller/OrderBook.h"
