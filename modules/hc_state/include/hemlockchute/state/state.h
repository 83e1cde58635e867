/*
    hc_state: the replicated state of the keepers.

    Commands are applied in the order of the replicated log, and each returns an answer. Every
    keeper that applies the same log holds the same state: the document, the data centres'
    controller terms, the replica permits and the run records.
*/
#pragma once

#include "hemlockchute/state/CommandCodec.h"
#include "hemlockchute/state/Commands.h"
#include "hemlockchute/state/StateMachine.h"
