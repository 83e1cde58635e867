/*
    hc_state: the state that the keepers agree on.

    Commands go in by way of the agreed log, answers come out, and every keeper that applies the
    same log holds the same state: the document, the data centres' controller terms, the replica
    permits and the run records.
*/
#pragma once

#include "hemlockchute/state/CommandCodec.h"
#include "hemlockchute/state/Commands.h"
#include "hemlockchute/state/StateMachine.h"
